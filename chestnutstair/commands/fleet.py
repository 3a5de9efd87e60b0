"""Commands on the whole fleet: pause, resume and status."""

import getpass
import json
from collections.abc import Iterator
from typing import Annotated, Any

import typer

from chestnutstair.commands.output import get_cli

__all__ = ["pause", "resume", "show_status"]

Author = Annotated[
    str, typer.Option(help="Who asks; by default, the user's name.")
]


def pause(context: typer.Context, author: Author = "") -> None:
    """Start no more planned drains and moves."""
    _ask(context, "/pause", author)


def resume(context: typer.Context, author: Author = "") -> None:
    """Let planned drains and moves go on."""
    _ask(context, "/resume", author)


def _ask(context: typer.Context, path: str, author: str) -> None:
    cli = get_cli(context)
    body = json.dumps({"author": author or getpass.getuser()}).encode()
    answer = cli.unwrap(cli.client.post(dict[str, Any], path, body))
    cli.print_value(answer, _describe(answer))


def show_status(context: typer.Context) -> None:
    """Show how the daemon that answers sees the fleet."""
    cli = get_cli(context)
    answer = cli.unwrap(cli.client.get(dict[str, Any], "/status"))
    cli.print_value(answer, _describe(answer))


def _describe(answer: dict[str, Any]) -> Iterator[str]:
    for key, value in answer.items():
        if isinstance(value, (dict, list)):
            value = json.dumps(value)
        yield f"{key}: {value}"
