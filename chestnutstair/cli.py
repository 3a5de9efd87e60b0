"""The command-line client for operators."""

from typing import Annotated

import typer

from chestnutstair.commands import (
    audit,
    budget,
    drain,
    fleet,
    job,
    logs,
    pool,
    ticket,
    vm,
)
from chestnutstair.commands.client import OperatorClient
from chestnutstair.commands.exitcode import EXIT_CODE_HELP
from chestnutstair.commands.output import Cli, OutputFormat
from chestnutstair.state.deadline import SystemClock

__all__ = ["app", "main"]

app = typer.Typer(
    name="chestnutstair",
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
    epilog=EXIT_CODE_HELP,
)
app.add_typer(ticket.app, name="ticket", no_args_is_help=True)
app.add_typer(pool.app, name="pool", no_args_is_help=True)
app.add_typer(vm.app, name="vm", no_args_is_help=True)
app.add_typer(job.app, name="job", no_args_is_help=True)
app.add_typer(drain.app, name="drain", no_args_is_help=True)
app.add_typer(budget.app, name="budget", no_args_is_help=True)
app.add_typer(audit.app, name="audit", no_args_is_help=True)
app.add_typer(logs.app, name="logs", no_args_is_help=True)
app.command("pause")(fleet.pause)
app.command("resume")(fleet.resume)
app.command("status")(fleet.show_status)


@app.callback()
def configure(
    context: typer.Context,
    address: Annotated[
        list[str] | None,
        typer.Option(
            help="IP:port of a daemon's admin server. May be repeated: the "
            "next address is tried if one cannot serve the call.",
            envvar="CHESTNUTSTAIR_ADDRESS",
        ),
    ] = None,
    output: Annotated[
        OutputFormat, typer.Option(help="Format of results and errors.")
    ] = OutputFormat.TABLE,
    timeout: Annotated[
        float,
        typer.Option(
            help="Timeout of a call in seconds, for all addresses together."
        ),
    ] = 10.0,
) -> None:
    """Manage the capacity and maintenance of a fleet."""
    client = OperatorClient(address or (), timeout, SystemClock())
    context.obj = Cli(client, output)


def main() -> None:
    """Run the client."""
    app()


if __name__ == "__main__":
    main()
