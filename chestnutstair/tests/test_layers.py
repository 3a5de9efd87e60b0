"""Tests that modules import only from the layers below their own."""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent
LAYERS = (
    "platform",
    "transport",
    "protocol",
    "scheduling",
    "coordination",
    "state",
)
OUTSIDE = ("standins", "tests", "tools")


def list_imports(path: Path) -> Iterator[str]:
    """Yield the names of all modules that the file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            yield node.module or ""
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


class LayersTest(unittest.TestCase):
    """LAYERS lists the layers from the outermost to the innermost."""

    def test_no_module_imports_from_above(self) -> None:
        for rank, layer in enumerate(LAYERS):
            above = (*LAYERS[:rank], *OUTSIDE, "node", "cli", "settings")
            for path in sorted((PACKAGE / layer).glob("*.py")):
                wrong = [
                    name
                    for name in list_imports(path)
                    for other in above
                    if f"{name}.".startswith(f"chestnutstair.{other}.")
                ]
                self.assertEqual(wrong, [], path.name)

    def test_nothing_but_tools_and_tests_imports_standins(self) -> None:
        for path in sorted(PACKAGE.rglob("*.py")):
            if path.parent.name in OUTSIDE:
                continue
            wrong = [name for name in list_imports(path) if "standins" in name]
            self.assertEqual(wrong, [], path.name)
