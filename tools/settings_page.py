"""Writes docs/settings.md from the classes that read the settings."""

import dataclasses
import inspect
import json
import sys
import typing
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from chestnutstair.fleet_settings import FleetSettings
from chestnutstair.settings import DaemonSettings
from chestnutstair.state.codec import encode_value

__all__ = ["build_page", "main"]

PAGE = Path(__file__).resolve().parent.parent / "docs" / "settings.md"
DAEMON_HEADER = """# Settings of a daemon

One JSON file for each daemon. `chestnutstaird check FILE` lists every
mistake in it, each with its path; unknown keys are mistakes too. Samples:
`samples/papagalaki/entry-0.json` and `samples/rosaleda/entry-0.json`.
Durations are in seconds and sizes in bytes unless a name says otherwise.

This page is written by `python -m tools.settings_page`.
"""

NODE_HEADER = """# Settings of a scheduler node

One JSON file for each node that runs on the users' platform, made from
`deploy/settings.json`. `python -m chestnutstair.fleetd check FILE` lists
every mistake in it. Unknown keys are left alone, as the platform may add
fields.
"""


def _name_type(hint: Any) -> str:
    while typing.get_origin(hint) is typing.Annotated:
        hint = typing.get_args(hint)[0]
    if typing.get_origin(hint) is typing.Literal:
        return "one of " + ", ".join(map(str, typing.get_args(hint)))
    return getattr(hint, "__name__", str(hint)).replace("tuple", "list")


def _describe_default(field: dataclasses.Field) -> str:
    if field.default is not dataclasses.MISSING:
        return f"`{json.dumps(encode_value(field.default))}`"
    if field.default_factory is not dataclasses.MISSING:
        return f"`{json.dumps(encode_value(field.default_factory()))}`"
    return "required"


def _build_section(settings_class: type, path: str) -> Iterator[str]:
    hints = typing.get_type_hints(settings_class, include_extras=True)
    fields = dataclasses.fields(settings_class)
    nested = {
        field.name: hints[field.name]
        for field in fields
        if dataclasses.is_dataclass(hints[field.name])
    }
    yield f"## {f'`{path}`' if path else 'The file itself'}"
    yield ""
    yield inspect.cleandoc(settings_class.__doc__ or "")
    yield ""
    yield "| setting | type | default |"
    yield "| --- | --- | --- |"
    for field in fields:
        if field.name not in nested:
            name = _name_type(hints[field.name])
            yield f"| `{field.name}` | {name} | {_describe_default(field)} |"
    yield ""
    for name, inner in nested.items():
        yield from _build_section(inner, f"{path}.{name}" if path else name)


def build_page() -> str:
    """Return the whole page."""
    daemon = "\n".join(_build_section(DaemonSettings, ""))
    node = "\n".join(_build_section(FleetSettings, ""))
    return f"{DAEMON_HEADER}\n{daemon}\n{NODE_HEADER}\n{node}"


def main() -> int:
    """Write the page."""
    PAGE.write_text(build_page())
    return 0


if __name__ == "__main__":
    sys.exit(main())
