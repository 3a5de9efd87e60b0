"""Commands on change tickets."""

import json
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

import typer
from result import Err, Ok, Result

from chestnutstair.commands.client import ClientFailure
from chestnutstair.commands.exitcode import ExitCode
from chestnutstair.commands.output import (
    Cli,
    exit_with,
    format_time,
    get_cli,
)
from chestnutstair.protocol.operators import (
    Difference,
    ErrorAnswer,
    TicketReceipt,
    TicketReport,
)
from chestnutstair.state.codec import (
    DecodeFailure,
    decode_json,
    encode_json,
    encode_value,
)
from chestnutstair.state.deadline import Deadline, SystemClock
from chestnutstair.state.ticket import Ticket

__all__ = ["app"]

app = typer.Typer(help="File change tickets and show their status.")

POLL_SECONDS = 0.5


@app.command("file")
def file_ticket(
    context: typer.Context,
    file: Annotated[
        str, typer.Argument(help="A JSON file, or - for standard input.")
    ] = "-",
    dry_run: Annotated[
        bool, typer.Option(help="Only show what the ticket would change.")
    ] = False,
) -> None:
    """File a ticket; filing the same one again is safe."""
    cli = get_cli(context)
    body = encode_json(_read_ticket(cli, file))
    if dry_run:
        _show_differences(cli, body)
        return
    receipt = cli.unwrap(cli.client.post(TicketReceipt, "/tickets", body))
    state = "had been accepted before" if receipt.repeated else "accepted"
    cli.print_value(
        receipt,
        [
            f"ticket {receipt.ticket} {state}, revision {receipt.revision}",
            f"next: chestnutstair ticket wait {receipt.ticket}",
        ],
    )


def _read_ticket(cli: Cli, file: str) -> Ticket:
    try:
        text = sys.stdin.read() if file == "-" else Path(file).read_text()
    except (OSError, UnicodeDecodeError) as error:
        detail = {"file": file, "reason": str(error)}
        hint = "name a readable JSON file, or - for standard input"
        cli.print_error(ErrorAnswer("UnreadableFile", detail, hint))
        exit_with(ExitCode.USAGE)
    match decode_json(Ticket, text):
        case Ok(ticket):
            return ticket
        case Err(DecodeFailure(mistakes)):
            detail = {"mistakes": encode_value(mistakes)}
            hint = "correct the ticket and file it again"
            cli.print_error(ErrorAnswer("DecodeFailure", detail, hint))
    exit_with(ExitCode.REFUSED)


def _show_differences(cli: Cli, body: bytes) -> None:
    outcome = cli.client.post(
        tuple[Difference, ...], "/tickets", body, {"dry_run": 1}
    )
    differences = cli.unwrap(outcome)
    rows = [(item.path, *_format_changes(item)) for item in differences]
    cli.print_rows(differences, ("path", "before", "after"), rows)


def _format_changes(item: Difference) -> tuple[str, str]:
    """Return the texts before and after, without unchanged fields."""
    match item.before, item.after:
        case (dict() as before, dict() as after):
            changed = [key for key in after if before.get(key) != after[key]]
            return (
                _format_value({key: before.get(key) for key in changed}),
                _format_value({key: after[key] for key in changed}),
            )
    return _format_value(item.before), _format_value(item.after)


def _format_value(value: Any) -> str:
    return "-" if value is None else json.dumps(value)


@app.command("list")
def list_tickets(
    context: typer.Context,
    after: Annotated[
        int, typer.Option(help="Show tickets after this number.")
    ] = 0,
    limit: Annotated[
        int, typer.Option(help="Largest number of tickets to show.")
    ] = 50,
) -> None:
    """List accepted tickets, oldest first."""
    cli = get_cli(context)
    query = {"after": after, "limit": limit}
    outcome = cli.client.get(tuple[TicketReport, ...], "/tickets", query)
    reports = cli.unwrap(outcome)
    columns = (
        "ticket",
        "author",
        "recorded",
        "in force",
        "lagging",
        "pending moves",
        "reason",
    )
    rows = [
        (
            report.number,
            report.author,
            format_time(report.recorded_at),
            "yes" if report.in_force else "no",
            len(report.lagging),
            len(report.pending_moves),
            report.reason,
        )
        for report in reports
    ]
    cli.print_rows(reports, columns, rows)


@app.command("show")
def show_ticket(context: typer.Context, number: int) -> None:
    """Show a ticket and the entry VMs that have not confirmed it."""
    cli = get_cli(context)
    report = cli.unwrap(_fetch_report(cli, number))
    cli.print_value(report, _describe(report))


@app.command("wait")
def wait_for_ticket(
    context: typer.Context,
    number: int,
    timeout: Annotated[
        float, typer.Option(help="Give up after this many seconds.")
    ] = 30.0,
) -> None:
    """Wait until every live entry VM has the ticket in force."""
    cli = get_cli(context)
    clock = SystemClock()
    deadline = Deadline.after(clock, timeout)
    while True:
        outcome = _fetch_report(cli, number, deadline)
        match outcome:
            case Ok(TicketReport(in_force=True) as report):
                cli.print_value(report, _describe(report))
                return
        if deadline.has_passed(clock):
            report = cli.unwrap(outcome)
            _print_not_in_force(cli, report)
            exit_with(ExitCode.NOT_IN_FORCE)
        time.sleep(min(POLL_SECONDS, deadline.get_remaining_seconds(clock)))


def _print_not_in_force(cli: Cli, report: TicketReport) -> None:
    detail = {
        "ticket": report.number,
        "lagging": [
            f"{item.vm} in {item.zone}: {item.reason}, at revision "
            f"{item.revision}, since {format_time(item.since)}"
            for item in report.lagging
        ],
    }
    hint = (
        "the ticket stays accepted; wait again, and check the entry VMs "
        "that lag"
    )
    cli.print_error(ErrorAnswer("TicketNotInForce", detail, hint))


def _fetch_report(
    cli: Cli, number: int, command_deadline: Deadline | None = None
) -> Result[Any, ClientFailure]:
    path = f"/tickets/{number}"
    return cli.client.get(
        TicketReport, path, command_deadline=command_deadline
    )


def _describe(report: TicketReport) -> Iterator[str]:
    yield f"ticket {report.number} by {report.author}: {report.reason}"
    recorded = format_time(report.recorded_at)
    yield f"recorded {recorded} at revision {report.revision}"
    yield f"in force: {'yes' if report.in_force else 'no'}"
    yield f"confirmed: {', '.join(report.confirmed) or 'none'}"
    for item in report.lagging:
        yield (
            f"lagging: {item.vm} in {item.zone}, {item.reason}, at revision "
            f"{item.revision}, since {format_time(item.since)}"
        )
    for vm in report.pending_moves:
        yield f"pending move: {vm}"
