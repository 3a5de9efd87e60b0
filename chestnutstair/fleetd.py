"""Command line of the scheduler: runs a node, or checks its settings."""

import logging
import signal
from pathlib import Path
from typing import Annotated, Any

import typer
from result import Err, Ok

import chestnutstair.early_signals  # noqa: F401
from chestnutstair.fleet_node import FleetNode
from chestnutstair.fleet_settings import read_fleet_settings
from chestnutstair.log import configure_queued_logging
from chestnutstair.startup import exit_after_bind_error, get_settings_or_exit
from chestnutstair.state.deadline import SystemClock

__all__ = ["app", "main"]

logger = logging.getLogger(__name__)

STOP_POLL_SECONDS = 0.05

app = typer.Typer(
    help="The scheduler that runs on every entry VM.", no_args_is_help=True
)
SettingsFile = Annotated[
    Path,
    typer.Argument(
        help="The JSON settings file.", envvar="CHESTNUTSTAIR_SETTINGS"
    ),
]


@app.command()
def check(path: SettingsFile) -> None:
    """Check the settings and list every mistake; exit 2 if there are any."""
    get_settings_or_exit(read_fleet_settings(path), path)
    print(f"{path}: no mistakes")


class _SignalFlags:
    """Signal handlers; they only set flags, as they must not acquire locks."""

    def __init__(self, node: FleetNode) -> None:
        self._node = node
        self.reload_requested = False

    def stop(self, *_: Any) -> None:
        """Begin a graceful stop."""
        self._node.begin_stop()

    def request_reload(self, *_: Any) -> None:
        """Request that the main loop reload the settings."""
        self.reload_requested = True


def _reload(path: Path) -> None:
    match read_fleet_settings(path):
        case Ok(settings):
            logging.getLogger().setLevel(settings.log_level.upper())
            logger.info(
                "settings reloaded", extra={"level": settings.log_level}
            )
        case Err(failure):
            logger.error(
                "settings not reloaded",
                extra={"mistakes": [str(item) for item in failure.mistakes]},
            )


@app.command()
def run(path: SettingsFile) -> None:
    """Serve until SIGTERM or SIGINT; exit 3 if an address cannot be bound."""
    settings = get_settings_or_exit(read_fleet_settings(path), path)
    log = configure_queued_logging(
        settings.log_level, settings.name, settings.zone
    )
    clock = SystemClock()
    node = FleetNode(settings, clock)
    signals = _SignalFlags(node)
    signal.signal(signal.SIGTERM, signals.stop)
    signal.signal(signal.SIGINT, signals.stop)
    signal.signal(signal.SIGHUP, signals.request_reload)
    try:
        node.start()
    except OSError as error:
        exit_after_bind_error(error)
    while not node.is_stopping():
        clock.sleep(STOP_POLL_SECONDS)
        if signals.reload_requested:
            signals.reload_requested = False
            _reload(path)
    node.stop()
    log.stop()


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
