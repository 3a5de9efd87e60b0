"""Commands on jobs."""

import typer

from chestnutstair.commands.output import get_cli
from chestnutstair.protocol.operators import JobReport

__all__ = ["app"]

app = typer.Typer(help="Show the jobs.")


@app.command("list")
def list_jobs(context: typer.Context) -> None:
    """List the jobs with the stages of their tasks."""
    cli = get_cli(context)
    reports = cli.unwrap(cli.client.get(tuple[JobReport, ...], "/jobs"))
    columns = ("job", "team", "pool", "urgency", "tasks", "blocked")
    rows = [
        (
            report.job.name,
            report.job.team,
            report.job.pool,
            report.job.urgency,
            _describe_tasks(report),
            report.blocked,
        )
        for report in reports
    ]
    cli.print_rows(reports, columns, rows)


def _describe_tasks(report: JobReport) -> str:
    parts = [f"{count} {stage}" for stage, count in report.tasks.items()]
    if report.job.cancelled:
        parts.append("cancelled")
    return ", ".join(parts)
