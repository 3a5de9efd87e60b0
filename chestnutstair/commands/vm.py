"""Commands on VMs."""

from typing import Annotated

import typer

from chestnutstair.commands.output import format_time, get_cli
from chestnutstair.protocol.operators import VmReport

__all__ = ["app"]

app = typer.Typer(help="Show the VMs.")


@app.command("list")
def list_vms(
    context: typer.Context,
    pool: Annotated[
        str, typer.Option(help="Show only VMs that are in this pool now.")
    ] = "",
) -> None:
    """List the VMs with their declared and present state."""
    cli = get_cli(context)
    reports = cli.unwrap(cli.client.get(tuple[VmReport, ...], "/vms"))
    reports = [
        report for report in reports if pool in ("", report.status.pool)
    ]
    columns = ("VM", "pool", "declared", "zone", "rack", "phase", "cleaned")
    rows = [
        (
            report.vm.name,
            report.status.pool,
            report.vm.pool,
            report.vm.zone,
            report.vm.rack,
            report.status.phase,
            format_time(report.status.cleaned_at),
        )
        for report in reports
    ]
    cli.print_rows(reports, columns, rows)
