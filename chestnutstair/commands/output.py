"""Output of the commands: tables, JSON and errors."""

import json
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import StrEnum
from http import HTTPStatus
from typing import Any, NoReturn

import typer
from result import Err, Ok, Result
from rich.console import Console
from rich.table import Table

from chestnutstair.commands.client import (
    ClientFailure,
    OperatorClient,
    RefusalFailure,
    UnansweredFailure,
    UnreachableFailure,
    UnreadableFailure,
)
from chestnutstair.commands.exitcode import ExitCode
from chestnutstair.protocol.operators import ErrorAnswer
from chestnutstair.state.codec import encode_value

__all__ = [
    "Cli",
    "OutputFormat",
    "exit_with",
    "format_time",
    "get_cli",
]

PIPE_WIDTH = 240  # columns, if the output is not a terminal


class OutputFormat(StrEnum):
    """The format of results and errors."""

    TABLE = "table"
    JSON = "json"


@dataclass(frozen=True)
class Cli:
    """The client and the output format that the global options choose."""

    client: OperatorClient
    output: OutputFormat

    def unwrap(self, outcome: Result[Any, ClientFailure]) -> Any:
        """Return the value, or print the failure and exit with its code."""
        match outcome:
            case Ok(value):
                return value
            case Err(failure):
                self.exit_with_failure(failure)

    def exit_with_failure(self, failure: ClientFailure) -> NoReturn:
        """Print the failure with a hint, and exit with its code."""
        code, answer = explain_failure(failure)
        self.print_error(answer)
        exit_with(code)

    def print_error(self, answer: ErrorAnswer) -> None:
        """Print an error to standard error."""
        if self.output is OutputFormat.JSON:
            print(json.dumps(encode_value(answer)), file=sys.stderr)
            return
        print(f"error: {answer.error}", file=sys.stderr)
        for key, value in answer.detail.items():
            for line in _split_detail(value):
                print(f"  {key}: {line}", file=sys.stderr)
        if answer.hint:
            print(f"next: {answer.hint}", file=sys.stderr)

    def print_value(self, value: Any, lines: Iterable[str]) -> None:
        """Print a result: `value` as JSON, or `lines` as text."""
        if self.output is OutputFormat.JSON:
            _print_json(value)
            return
        for line in lines:
            print(line)

    def print_rows(
        self,
        value: Any,
        columns: Sequence[str],
        rows: Iterable[Sequence[object]],
    ) -> None:
        """Print a list: `value` as JSON, or `rows` as a table."""
        if self.output is OutputFormat.JSON:
            _print_json(value)
            return
        table = Table(box=None, pad_edge=False)
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        width = None if sys.stdout.isatty() else PIPE_WIDTH
        console = Console(width=width, markup=False, highlight=False)
        console.print(table)


def _print_json(value: Any) -> None:
    print(json.dumps(encode_value(value), indent=2))


def _split_detail(value: Any) -> list[str]:
    """Return one line for each item of a list, or one for another value."""
    if not isinstance(value, list):
        return [str(value)]
    lines = []
    for item in value:
        match item:
            case {"path": path, "problem": problem}:
                lines.append(f"{path}: {problem}")
            case _:
                lines.append(str(item))
    return lines


def _choose_refusal_code(status: int) -> ExitCode:
    match status:
        case HTTPStatus.NOT_FOUND:
            return ExitCode.NOT_FOUND
        case HTTPStatus.CONFLICT:
            return ExitCode.CONFLICT
        case HTTPStatus.SERVICE_UNAVAILABLE:
            return ExitCode.UNAVAILABLE
        case _ if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return ExitCode.UNKNOWN_OUTCOME
    return ExitCode.REFUSED


def explain_failure(failure: ClientFailure) -> tuple[ExitCode, ErrorAnswer]:
    """Return the exit code and the error to print."""
    detail = encode_value(failure)
    match failure:
        case RefusalFailure(status=status, answer=answer, retry_after=seconds):
            code = _choose_refusal_code(status)
            hint = answer.hint
            if code is ExitCode.UNAVAILABLE and not hint:
                hint = f"run the same command again in {seconds or 'some'} s"
            return code, ErrorAnswer(answer.error, answer.detail, hint)
        case UnreachableFailure():
            code = ExitCode.UNREACHABLE
            hint = "check --address, or give that of another entry VM"
        case UnansweredFailure():
            code = ExitCode.UNKNOWN_OUTCOME
            hint = "run the same command again; this is safe"
        case UnreadableFailure():
            code = ExitCode.UNREADABLE
            hint = "check that --address is a daemon's admin address"
    return code, ErrorAnswer(type(failure).__name__, detail, hint)


def exit_with(code: ExitCode) -> NoReturn:
    """Exit the command with the code."""
    raise typer.Exit(code.value)


def get_cli(context: typer.Context) -> Cli:
    """Return the client and output format of the command.

    Raises typer.BadParameter if no address was given.
    """
    cli = context.obj
    assert isinstance(cli, Cli)
    if not cli.client.addresses:
        problem = "give at least one, or set CHESTNUTSTAIR_ADDRESS"
        raise typer.BadParameter(problem, context, param_hint="--address")
    return cli


def format_time(epoch_seconds: float) -> str:
    """Format a time in UTC; 0 is `never`."""
    if not epoch_seconds:
        return "never"
    moment = datetime.fromtimestamp(epoch_seconds, UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")
