from __future__ import annotations

import ast
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[1] / "src" / "lavenderrun"
IO_LIBRARIES = {"asyncio", "eliot", "grpc", "http", "io", "os", "pathlib", "random", "socket"}
IO_LIBRARIES |= {"subprocess", "threading", "time", "urllib", "aioprometheus"}


def imported(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


@pytest.mark.parametrize("package", ["decisions", "types"])
def test_decisions_and_types_import_no_io_library(package: str) -> None:
    for path in (SOURCE / package).glob("*.py"):
        roots = {name.split(".")[0] for name in imported(path)}
        assert not roots & IO_LIBRARIES, path
        if package == "decisions":
            assert "twisted" not in roots, path


def test_packages_import_from_each_others_public_module_only() -> None:
    for path in SOURCE.rglob("*.py"):
        own = f"lavenderrun.{path.relative_to(SOURCE).parts[0]}"
        for name in imported(path):
            parts = name.split(".")
            private = parts[0] == "lavenderrun" and any(p.startswith("_") for p in parts[2:])
            assert not private or name.startswith(own), f"{path} imports {name}"
