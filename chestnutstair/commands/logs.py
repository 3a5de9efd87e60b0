"""Commands that search the logs of the scheduler (fleetd) on all nodes."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated, Any

import typer

__all__ = ["app", "collect_job_lines"]

app = typer.Typer(help="Search the scheduler's logs.", no_args_is_help=True)

# Fields that most lines have; all others are printed as `name=value`.
COMMON_FIELDS = frozenset(
    ("time", "level", "logger", "message", "entry_vm", "zone", "job", "task")
)


@app.callback()
def explain() -> None:
    """Search the scheduler's logs."""


def _parse_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue  # a line of another program, or a truncated one
        if isinstance(fields, dict):
            yield fields


def _is_about_job(fields: dict[str, Any], job: str) -> bool:
    task = str(fields.get("task", ""))
    return fields.get("job") == job or task.partition(".")[0] == job


def _format_line(fields: dict[str, Any]) -> str:
    details = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in COMMON_FIELDS
    )
    task = str(fields.get("task", "")).partition(".")[2]
    where = f"{fields.get('entry_vm', '')} {task}".strip()
    message = fields.get("message", "")
    return f"{fields.get('time', '')} {where}: {message} {details}".rstrip()


def collect_job_lines(lines: Iterable[str], job: str) -> list[str]:
    """Return the log lines about a job and its tasks, sorted by time."""
    matching = [
        fields for fields in _parse_lines(lines) if _is_about_job(fields, job)
    ]
    matching.sort(key=lambda fields: str(fields.get("time", "")))
    return [_format_line(fields) for fields in matching]


def _read_files(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        with path.open(errors="replace") as stream:
            yield from stream


@app.command()
def job(
    name: Annotated[str, typer.Argument(help="The job's id.")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(
            help="Log files of the nodes; by default, standard input."
        ),
    ] = None,
) -> None:
    """Print the log lines about one job; exit with 1 if there are none."""
    try:
        job_lines = collect_job_lines(_read_files(files or []), name)
    except OSError as error:
        print(f"cannot read: {error}", file=sys.stderr)
        raise typer.Exit(2) from error
    for line in job_lines:
        print(line)
    if not job_lines:
        raise typer.Exit(1)
