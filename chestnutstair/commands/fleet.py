"""Commands for the whole fleet: pause, resume and status."""

import getpass
from collections.abc import Iterator
from typing import Annotated

import typer

from chestnutstair.commands.output import get_cli
from chestnutstair.protocol.operators import (
    PauseReceipt,
    PauseRequest,
    StatusReport,
)
from chestnutstair.state.codec import encode_json

__all__ = ["pause", "resume", "show_status"]

Author = Annotated[
    str, typer.Option(help="Recorded author; by default, the user's name.")
]


def pause(context: typer.Context, author: Author = "") -> None:
    """Pause planned drains and moves."""
    _set_paused(context, "/pause", author)


def resume(context: typer.Context, author: Author = "") -> None:
    """Resume planned drains and moves."""
    _set_paused(context, "/resume", author)


def _set_paused(context: typer.Context, path: str, author: str) -> None:
    cli = get_cli(context)
    request = PauseRequest(author or getpass.getuser())
    outcome = cli.client.post(PauseReceipt, path, encode_json(request))
    receipt = cli.unwrap(outcome)
    state = "stopped" if receipt.paused else "going on"
    line = f"planned drains and moves: {state}, revision {receipt.revision}"
    cli.print_value(receipt, [line])


def show_status(context: typer.Context) -> None:
    """Show the answering daemon's state and the daemons it considers alive."""
    cli = get_cli(context)
    report = cli.unwrap(cli.client.get(StatusReport, "/status"))
    cli.print_value(report, _describe(report))


def _describe(report: StatusReport) -> Iterator[str]:
    yield f"daemon: {report.vm} in {report.zone}"
    yield f"ready: {'yes' if report.ready else 'no'}"
    yield f"ticket: {report.ticket}, revision {report.revision}"
    state = "stopped" if report.paused else "going on"
    yield f"planned drains and moves: {state}"
    for member in report.members:
        yield (
            f"live: {member.name} in {member.zone} at {member.address}, "
            f"revision {member.revision}"
        )
