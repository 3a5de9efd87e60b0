"""Commands on availability budgets."""

import typer

from chestnutstair.commands.output import get_cli
from chestnutstair.protocol.operators import PoolReport

__all__ = ["app"]

app = typer.Typer(help="Show the availability budgets.")


@app.command("list")
def list_budgets(context: typer.Context) -> None:
    """List how many VMs each pool may still lose, fewest first."""
    cli = get_cli(context)
    reports = cli.unwrap(cli.client.get(tuple[PoolReport, ...], "/pools"))
    reports = sorted(reports, key=lambda report: report.budget_left)
    columns = ("pool", "VMs", "budget", "unavailable", "left")
    rows = [
        (
            report.pool.name,
            report.vm_count,
            report.pool.availability_budget,
            report.unavailable,
            report.budget_left,
        )
        for report in reports
    ]
    cli.print_rows(reports, columns, rows)
