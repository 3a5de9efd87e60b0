"""Commands on pools."""

import typer

from chestnutstair.commands.output import get_cli
from chestnutstair.protocol.operators import PoolReport

__all__ = ["app"]

app = typer.Typer(help="Show the pools.")


@app.command("list")
def list_pools(context: typer.Context) -> None:
    """List the pools with their VMs and slots."""
    cli = get_cli(context)
    reports = cli.unwrap(cli.client.get(tuple[PoolReport, ...], "/pools"))
    columns = ("pool", "kind", "service", "VMs", "serving", "slots", "spare")
    rows = [
        (
            report.pool.name,
            report.pool.kind,
            report.pool.service,
            report.vm_count,
            report.vm_count - report.unavailable,
            report.vm_count * report.pool.slots_per_vm,
            "yes" if report.pool.spare else "no",
        )
        for report in reports
    ]
    cli.print_rows(reports, columns, rows)
