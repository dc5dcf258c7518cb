"""Which texts of prompts are held responsible for crashes, against a model of servers."""

from __future__ import annotations

import sys
from datetime import UTC, datetime, timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.decisions import find_texts
from lavenderrun.dispatch import CrashingTexts, ServerCrash, TextReport
from lavenderrun.types import Incarnation, TextId

START = datetime(2026, 1, 1, tzinfo=UTC)
MAX_CALLS_OF_TEXT = 6
DEADLY = "weld the <|end|> seam"


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def record(texts: CrashingTexts, number: int, prompt: str) -> None:
    """Record crash *number* of a request that ran from that second on for 0.1 s."""
    crash = ServerCrash(Incarnation(f"s{number}"), at(number), at(number + 0.1))
    texts.record_crash(find_texts(prompt), crash, at(number + 0.1))


def is_crashing(texts: CrashingTexts, prompt: str, seconds: float) -> bool:
    return texts.find_crashing(find_texts(prompt), at(seconds)) is not None


def find_after_three(texts: CrashingTexts) -> None:
    for number in range(3):
        assert not is_crashing(texts, f"coil {number} {DEADLY}", number)
        record(texts, number, f"coil {number} of {DEADLY} in plant {number}")


def test_a_text_inside_a_line_is_found_after_three_separate_crashes() -> None:
    texts = CrashingTexts()
    find_after_three(texts)
    assert is_crashing(texts, f"coil 8 of {DEADLY} in plant 8", 3)


# a word that all requests have is no reason to refuse those without the crashing text
def test_requests_with_the_words_beside_a_crashing_text_are_not_refused() -> None:
    texts = CrashingTexts()
    find_after_three(texts)
    assert not is_crashing(texts, "coil 8 of the seam in plant 8", 3)


# the words of a sound request that ran on the same server are in the crash, too
def test_requests_that_lost_their_server_to_another_one_are_not_refused() -> None:
    texts = CrashingTexts()
    for number in range(3):
        record(texts, number, f"coil {number} of {DEADLY}")
        sound = ServerCrash(Incarnation(f"sound{number}"), at(number), at(number + 0.1))
        texts.record_crash(find_texts("wire rod summary"), sound, at(number + 0.1))
    assert not is_crashing(texts, "wire rod summary", 3)


def test_an_answer_clears_a_text_here_and_at_other_hosts() -> None:
    texts, peer = CrashingTexts(), CrashingTexts()
    find_after_three(texts)
    peer.apply_report(texts.make_report(at(3)), at(3))
    prompt = f"coil 8 of {DEADLY} in plant 8"
    assert is_crashing(peer, prompt, 3)
    cleared = texts.record_answer(find_texts(prompt), at(4))
    peer.apply_report(TextReport([], dict.fromkeys(cleared, 0.0)), at(4))
    for host in (texts, peer):
        assert not is_crashing(host, prompt, 4)


def test_a_text_that_was_answered_takes_five_crashes() -> None:
    texts = CrashingTexts()
    record(texts, 0, DEADLY)
    texts.record_answer(find_texts(DEADLY), at(0.5))
    for number in range(1, 6):
        assert not is_crashing(texts, DEADLY, number)
        record(texts, number, DEADLY)
    assert is_crashing(texts, DEADLY, 6)


def test_servers_that_end_at_the_same_time_count_once() -> None:
    texts = CrashingTexts()
    for number in range(5):
        crash = ServerCrash(Incarnation(f"s{number}"), at(0), at(0.1 + number / 100))
        texts.record_crash(find_texts(DEADLY), crash, at(1))
    assert not is_crashing(texts, DEADLY, 1)


def test_a_text_is_allowed_again_after_the_quarantine_and_found_by_the_next_crash() -> None:
    texts = CrashingTexts()
    find_after_three(texts)
    prompt = f"coil 8 of {DEADLY} in plant 8"
    assert is_crashing(texts, prompt, 590)
    assert not is_crashing(texts, prompt, 610)
    record(texts, 620, prompt)
    assert is_crashing(texts, prompt, 621)


def test_a_flood_of_unlike_crashes_does_not_displace_a_found_text() -> None:
    texts = CrashingTexts()
    find_after_three(texts)
    for number in range(200):
        record(texts, 10 + number // 10, " ".join(f"{number}w{word}" for word in range(50)))
    assert is_crashing(texts, f"coil 8 of {DEADLY} in plant 8", 30)
    assert len(texts.make_report(at(30)).crashes) <= 32


def test_one_long_prompt_keeps_few_texts_and_the_same_on_every_host() -> None:
    shared = " ".join(f"shared{word}" for word in range(300))
    first, second = (
        find_texts(" ".join(f"{name}{word}" for word in range(20_000)) + shared) for name in "ab"
    )
    assert len(first) == len(second) == 2048
    assert first & second


# each comparison intersected the texts of all crashes for each suspect text: 0.3 s a request
def test_a_request_is_compared_with_many_crashes_in_few_steps() -> None:
    texts = CrashingTexts()
    vocabulary = [f"w{number}" for number in range(1500)]
    random_source = Random(1)
    for number in range(32):
        record(texts, number, " ".join([DEADLY, *random_source.choices(vocabulary, k=3000)]))
    prompt = find_texts(" ".join(random_source.choices(vocabulary, k=3000)))
    assert texts.find_crashing(prompt, at(33)) is None
    calls = 0

    def count(frame: object, event: str, _: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        texts.find_crashing(prompt, at(33))
    finally:
        sys.setprofile(None)
    assert calls < MAX_CALLS_OF_TEXT * len(prompt)


AGES = st.floats(allow_nan=True, allow_infinity=True)
TEXTS = st.integers(0, 9).map(TextId)
CRASHES = st.lists(
    st.tuples(st.text(max_size=80).map(Incarnation), AGES, AGES, st.lists(TEXTS, max_size=4))
)


@given(CRASHES, st.dictionaries(TEXTS, AGES))
def test_no_report_of_another_host_breaks_anything(
    crashes: list[tuple[Incarnation, float, float, list[TextId]]], answered: dict[TextId, float]
) -> None:
    texts = CrashingTexts()
    texts.apply_report(TextReport(crashes, answered), START)
    texts.find_crashing([TextId(number) for number in range(10)], START)
    assert len(texts.make_report(START).crashes) <= 32


@pytest.mark.parametrize("crashes_of_other_causes", [0.0, 0.05])
def test_sound_requests_are_not_refused_and_crashing_ones_are_found(
    crashes_of_other_causes: float,
) -> None:
    vocabulary = ["ladle", "heat", "cast", "coil", "die", "bath", "pass", "gauge", "rod", "drawn"]
    for seed in range(30):
        random_source, texts, deadly_crashes = Random(seed), CrashingTexts(), 0
        for step in range(300):
            words = random_source.choices(vocabulary, k=12)
            is_deadly = random_source.random() < 0.1
            if is_deadly:
                words.insert(random_source.randrange(12), DEADLY)
            prompt = " ".join(words)
            if is_crashing(texts, prompt, step):
                assert is_deadly, (seed, step)
            elif is_deadly or random_source.random() < crashes_of_other_causes:
                record(texts, step, prompt)
                deadly_crashes += is_deadly
            if not is_deadly:
                # one that lost its server is sent again
                texts.record_answer(find_texts(prompt), at(step + 0.2))
        assert deadly_crashes <= 8, seed
