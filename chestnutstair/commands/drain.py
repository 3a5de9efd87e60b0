"""Commands on drains."""

import typer

from chestnutstair.commands.output import format_time, get_cli
from chestnutstair.protocol.operators import DrainReport

__all__ = ["app"]

app = typer.Typer(help="Show the drains.")


@app.command("list")
def list_drains(context: typer.Context) -> None:
    """List the VMs that are being drained, cleaned or moved."""
    cli = get_cli(context)
    reports = cli.unwrap(cli.client.get(tuple[DrainReport, ...], "/drains"))
    columns = ("VM", "pool", "phase", "operation", "step deadline")
    rows = [
        (
            report.vm,
            report.status.pool,
            report.status.phase,
            report.status.operation,
            format_time(report.status.step_deadline),
        )
        for report in reports
    ]
    cli.print_rows(reports, columns, rows)
