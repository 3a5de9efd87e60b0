"""Runs the benchmarks named on the command line, or all of MEASUREMENTS."""

import subprocess
import sys

__all__ = ["main"]

MEASUREMENTS = (
    "requests",
    "keys",
    "configuration",
    "idle",
    "maintenance",
    "placement",
    "lookahead",
)


def main() -> int:
    """Run each benchmark in a separate process; return 1 if one failed."""
    names = sys.argv[1:] or MEASUREMENTS
    unknown = set(names) - set(MEASUREMENTS)
    if unknown:
        sys.exit(
            f"unknown benchmarks: {sorted(unknown)}; known: {MEASUREMENTS}"
        )
    failed = 0
    for name in names:
        print(f"== {name}", flush=True)
        command = [sys.executable, "-m", f"tools.bench_{name}"]
        failed += bool(subprocess.run(command, check=False).returncode)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
