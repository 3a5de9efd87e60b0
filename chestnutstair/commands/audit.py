"""Commands on the audit trail."""

from typing import Annotated

import typer

from chestnutstair.commands.output import format_time, get_cli
from chestnutstair.protocol.operators import AuditPage, RefusalReport
from chestnutstair.state.change import ChangeRecord, TicketChange
from chestnutstair.state.codec import encode_value

__all__ = ["app"]

app = typer.Typer(help="Show the audit trail of all changes.")


@app.command("list")
def list_records(
    context: typer.Context,
    after: Annotated[
        int, typer.Option(help="Show changes after this revision.")
    ] = 0,
    limit: Annotated[
        int, typer.Option(help="Largest number of changes to show.")
    ] = 50,
) -> None:
    """List committed changes, oldest first."""
    cli = get_cli(context)
    query = {"after": after, "limit": limit}
    page = cli.unwrap(cli.client.get(AuditPage, "/audit", query))
    columns = ("revision", "recorded", "author", "change", "of")
    rows = [
        (
            record.revision,
            format_time(record.recorded_at),
            record.author,
            record.change.kind,
            _describe_change(record),
        )
        for record in page.records
    ]
    cli.print_rows(page, columns, rows)
    if len(page.records) == limit:
        hint = f"more: chestnutstair audit list --after {page.next_after}"
        typer.echo(hint, err=True)


@app.command("refusals")
def list_refusals(context: typer.Context) -> None:
    """List the latest refused tickets, oldest first."""
    cli = get_cli(context)
    answer_type = tuple[RefusalReport, ...]
    refusals = cli.unwrap(cli.client.get(answer_type, "/refusals"))
    columns = ("ticket", "refused", "author", "failure", "detail")
    rows = [
        (
            item.ticket,
            format_time(item.refused_at),
            item.author,
            item.failure,
            item.detail,
        )
        for item in refusals
    ]
    cli.print_rows(refusals, columns, rows)


def _describe_change(record: ChangeRecord) -> str:
    """Return one line that describes the change."""
    match record.change:
        case TicketChange(ticket=ticket):
            return f"ticket {ticket.number}: {ticket.reason}"
        case change:
            parts = encode_value(change)
            del parts["kind"]
            filled = [key for key in parts if parts[key] not in ("", None)]
            return " ".join(f"{key}={parts[key]}" for key in filled)
