"""Writes the sample settings and tickets under samples/."""

import json
from pathlib import Path
from typing import Any

from chestnutstair.state.codec import encode_value
from tools.deployments import (
    ENTRY_VM_COUNT,
    PAPAGALAKI,
    ROSALEDA,
    Deployment,
    build_settings,
    build_ticket,
)

__all__ = ["main"]

SAMPLES = Path(__file__).resolve().parent.parent / "samples"


def _write(path: Path, value: Any) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(encode_value(value), indent=2) + "\n")


def _write_deployment(deployment: Deployment) -> None:
    folder = SAMPLES / deployment.name
    _write(folder / "ticket-1.json", build_ticket(deployment))
    for index in range(ENTRY_VM_COUNT):
        _write(
            folder / f"entry-{index}.json", build_settings(deployment, index)
        )


def main() -> None:
    """Write the samples of both deployments."""
    for deployment in (PAPAGALAKI, ROSALEDA):
        _write_deployment(deployment)


if __name__ == "__main__":
    main()
