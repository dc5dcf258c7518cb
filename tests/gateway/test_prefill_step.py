"""How a prompt leaves a silent prefill engine."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import MagicMock

import pytest
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.dispatch import CallRequirements, SilenceTracker
from lavenderrun.gateway import _prefill, _prefill_move
from lavenderrun.gateway._prefill import PrefillStep
from lavenderrun.gateway._prefill_run import PrefillRun
from lavenderrun.kernel import ReactorClock
from lavenderrun.types import BackendId, HeldCache

START = datetime(2026, 1, 1, tzinfo=UTC)
SILENT, OTHER = BackendId("pre-1"), BackendId("pre-2")
SUSPICION, CERTAINTY, REVIEW = 1.2, 1.7, 0.3
CACHE: Any = SimpleNamespace(source="pre-1", handle="h1")


class Run(PrefillRun):
    """A run whose end the test plays."""

    def __init__(
        self, _1: Any, _2: Any, _3: Any, member: Any, on_end: Callable[[PrefillRun], None]
    ) -> None:
        self.member, self._on_end, self.expected = member, on_end, timedelta(0)
        self.cache: HeldCache | None = None
        self.is_ended = self.is_left_silent = False

    @property
    def has_head(self) -> bool:
        return self.cache is not None

    def send(self, make_context: Any) -> None:
        pass

    def abandon(self) -> None:
        self.is_ended = True

    def give_up_silent(self, *, is_engine_silent: bool) -> None:
        self.is_ended = self.is_left_silent = True

    def end(self, cache: HeldCache | None) -> None:
        assert not self.is_ended
        self.cache, self.is_ended = cache, True
        self._on_end(self)


class Prompts:
    """Prompts at one prefill engine, beside further ones."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.reactor, self.tracker = FakeReactor(), SilenceTracker()
        self.clock = ReactorClock(self.reactor, START, zero=0.0)
        self.engines, self.may_compute = [SILENT], False
        self.runs: list[Run] = []
        self.steps: list[PrefillStep] = []
        self.done: list[tuple[int, HeldCache | None]] = []
        self.view = MagicMock(prefill_silence=self.tracker, place=self.place)
        self.view.health.is_paused.return_value = False

        def make_run(*args: Any) -> Run:
            self.runs.append(Run(*args))
            return self.runs[-1]

        for module in (_prefill, _prefill_move):
            monkeypatch.setattr(module, "PrefillRun", make_run)

    def place(self, _service: Any, _policy: str, need: CallRequirements) -> Any:
        free = [engine for engine in self.engines if engine not in need.tried]
        return SimpleNamespace(id=free[0]) if free else None

    def send(self) -> PrefillStep:
        route = SimpleNamespace(objective=timedelta(seconds=0.5), gap_objective=None)
        now, number = self.clock.now(), len(self.steps)
        admitted: Any = SimpleNamespace(
            service="llm",
            arrived=now,
            deadline=now + timedelta(seconds=10),
            access=SimpleNamespace(route=route),
            call=SimpleNamespace(size=SimpleNamespace(prompt=5)),
        )
        services = MagicMock(clock=self.clock, view=self.view, random_source=Random(1))
        step = PrefillStep(
            services,
            admitted,
            MagicMock(),
            lambda: self.may_compute,
            lambda cache: self.done.append((number, cache)),
        )
        self.steps.append(step)
        step.start(MagicMock())
        return step

    def wait(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            self.reactor.advance(0.05)


@pytest.fixture
def prompts(monkeypatch: pytest.MonkeyPatch) -> Prompts:
    return Prompts(monkeypatch)


# a silent prefill was given up at the certainty, and its decode slot with it
def test_a_silent_prefill_is_kept_while_no_engine_takes_the_prompt(prompts: Prompts) -> None:
    prompts.send()
    prompts.wait(CERTAINTY + 3)
    assert not prompts.done
    assert not prompts.runs[0].is_ended
    prompts.runs[0].end(CACHE)
    assert prompts.done == [(0, CACHE)]


# a silent prefill was given up before another engine had the prompt
@pytest.mark.parametrize("first", [0, 1])
def test_whichever_prefill_engine_answers_first_goes_on(prompts: Prompts, first: int) -> None:
    prompts.engines.append(OTHER)
    prompts.send()
    prompts.wait(SUSPICION + REVIEW)
    assert [run.member.id for run in prompts.runs] == [SILENT, OTHER]
    assert not any(run.is_ended for run in prompts.runs)
    prompts.runs[first].end(CACHE)
    assert all(run.is_ended for run in prompts.runs)
    assert prompts.done == [(0, CACHE)]


@pytest.mark.parametrize("lost", [0, 1])
def test_a_prompt_goes_on_at_the_engine_that_is_left(prompts: Prompts, lost: int) -> None:
    prompts.engines.append(OTHER)
    prompts.send()
    prompts.wait(SUSPICION + REVIEW)
    prompts.runs[lost].end(None)
    assert not prompts.done
    prompts.runs[1 - lost].end(CACHE)
    assert prompts.done == [(0, CACHE)]


def test_a_move_to_a_prefill_engine_that_is_silent_too_ends(prompts: Prompts) -> None:
    prompts.engines.append(OTHER)
    prompts.send()
    prompts.wait(SUSPICION + REVIEW + SUSPICION + REVIEW)
    silent, other = prompts.runs
    assert other.is_ended
    assert not silent.is_ended
    assert not prompts.done
    prompts.may_compute = True
    prompts.wait(1)
    assert prompts.done == [(0, None)]


# all prompts of a silent engine left it at once at the certainty: a move ended as it began
@pytest.mark.parametrize("engines", [[], [OTHER]])
def test_as_many_prompts_leave_a_silent_engine_as_other_engines_took_on_and_one(
    prompts: Prompts, engines: list[BackendId]
) -> None:
    prompts.may_compute = True
    for _ in range(4):
        prompts.send()
    prompts.engines += engines

    def count_moving() -> int:
        return sum(step.is_left for step in prompts.steps) + len(prompts.runs) - 4

    prompts.wait(CERTAINTY + REVIEW)
    assert count_moving() == 1
    prompts.wait(REVIEW)
    assert count_moving() == 1
    if engines:
        prompts.runs[-1].end(CACHE)
    else:
        (first,) = (step for step in prompts.steps if step.is_left)
        first.end_left(is_taken=True)
    assert len(prompts.done) == 1
    prompts.wait(REVIEW)
    assert count_moving() == (3 if engines else 2)


# what a silent engine had computed was lost as soon as the decode engine had the prompt
@pytest.mark.parametrize("end", ["answered", "taken", "given up", "abandoned"])
def test_a_prefill_that_was_left_goes_on_until_the_decode_engine_has_answered(
    prompts: Prompts, end: str
) -> None:
    prompts.may_compute = True
    step = prompts.send()
    step.on_late = late = MagicMock()
    prompts.wait(SUSPICION + REVIEW)
    assert prompts.done == [(0, None)]
    assert not prompts.runs[0].is_ended
    if end == "answered":
        prompts.runs[0].end(CACHE)
    elif end == "abandoned":
        step.abandon()
    else:
        step.end_left(is_taken=end == "taken")
    step.end_left(is_taken=True)
    assert prompts.runs[0].is_ended
    assert prompts.runs[0].is_left_silent is (end == "taken")
    assert late.call_count == (end == "answered")
    assert not prompts.tracker.list_silent(timedelta(0), prompts.clock.now())


# all prompts of a silent engine stayed there when the decode engine of one of them was lost, too
def test_a_prompt_whose_decode_engine_does_not_answer_holds_up_no_other(prompts: Prompts) -> None:
    prompts.may_compute = True
    for _ in range(2):
        prompts.send()
    prompts.wait(CERTAINTY + SUSPICION)
    assert [step.is_left for step in prompts.steps].count(True) == 2
    for step in prompts.steps:
        step.end_left(is_taken=True)
    assert all(run.is_left_silent for run in prompts.runs)
    assert not prompts.tracker.list_silent(timedelta(0), prompts.clock.now())


def test_a_step_that_is_abandoned_cancels_both_runs(prompts: Prompts) -> None:
    prompts.engines.append(OTHER)
    step = prompts.send()
    prompts.wait(SUSPICION + REVIEW)
    step.abandon()
    assert all(run.is_ended for run in prompts.runs)
    assert not prompts.tracker.list_silent(timedelta(0), prompts.clock.now())
