"""Command line of the daemon: runs a node, or checks its settings."""

import signal
from pathlib import Path
from typing import Annotated, Any

import typer

from chestnutstair.log import configure_logging
from chestnutstair.node import Node
from chestnutstair.settings import read_settings
from chestnutstair.startup import exit_after_bind_error, get_settings_or_exit
from chestnutstair.state.deadline import SystemClock

__all__ = ["app", "main"]

STOP_POLL_SECONDS = 0.2

app = typer.Typer(
    help="The daemon that runs on every entry VM.", no_args_is_help=True
)
SettingsFile = Annotated[Path, typer.Argument(help="The JSON settings file.")]


@app.command()
def check(path: SettingsFile) -> None:
    """Check the settings and list every mistake; exit 2 if there are any."""
    get_settings_or_exit(read_settings(path), path)
    print(f"{path}: no mistakes")


@app.command()
def run(path: SettingsFile) -> None:
    """Serve until SIGTERM or SIGINT; exit 3 if an address cannot be bound."""
    settings = get_settings_or_exit(read_settings(path), path)
    configure_logging(settings.log.level, settings.name, settings.zone)
    clock = SystemClock()
    node = Node(settings, clock)

    def stop(*_: Any) -> None:
        node.begin_stop()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        node.start()
    except OSError as error:
        exit_after_bind_error(error)
    while not node.is_stopping():
        clock.sleep(STOP_POLL_SECONDS)
    node.stop()


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
