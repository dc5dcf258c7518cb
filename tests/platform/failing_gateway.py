"""Starts a gateway in which one method raises an unexpected error while a file is there."""

from __future__ import annotations

import os
import runpy
import sys
from importlib import import_module
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]


class UnexpectedError(Exception):
    """An error that no code expects."""


def make_failing(method: str, failure: Path) -> None:
    module, _, name = method.partition(":")
    owner_name, _, method_name = name.partition(".")
    owner: Any = getattr(import_module(module), owner_name)
    proper = getattr(owner, method_name)

    def run(*args: Any, **kwargs: Any) -> Any:
        if failure.exists():
            failure.unlink()
            raise UnexpectedError
        return proper(*args, **kwargs)

    setattr(owner, method_name, run)


if __name__ == "__main__":
    sys.path.insert(0, str(ROOT / "src"))
    make_failing(os.environ["FAILING_METHOD"], Path(os.environ["FAILURE_FILE"]))
    sys.argv[0] = str(ROOT / "deploy" / "gateway.py")
    runpy.run_path(sys.argv[0], run_name="__main__")
