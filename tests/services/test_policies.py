from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest

from lavenderrun.kernel import Kernel, UnknownNameError
from lavenderrun.services import PolicyNames


@dataclass
class Settings:
    policies: dict[str, str] = field(default_factory=dict)


def make(**policies: str) -> Kernel:
    clock: Any = None
    return Kernel(clock, Settings(policies))


def test_provided_policies_override_those_of_the_settings() -> None:
    kernel = make(queue="fair", placement="shortest")
    assert PolicyNames.from_kernel(kernel).placement == "shortest"
    kernel.provide("policies", PolicyNames(queue="fifo"))
    assert PolicyNames.from_kernel(kernel) == PolicyNames(queue="fifo")


def test_a_part_without_policies_is_refused() -> None:
    with pytest.raises(UnknownNameError, match="'placment': one of limits, placement"):
        PolicyNames.from_kernel(make(placment="power"))
