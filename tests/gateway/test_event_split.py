from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.gateway._event_split import MAX_EVENT_PIECES, EventSplitter

EVENTS = [b"id: 1\ndata: a\n\n", b"id: 2\r\ndata: b\r\n\r\n", b": hint\n\n", b"data: c\nid: 4\n\n"]


@given(st.lists(st.integers(0, 58), max_size=12))
def test_only_whole_events_are_returned_wherever_the_stream_is_cut(cuts: list[int]) -> None:
    stream = b"".join(EVENTS)
    splitter, out = EventSplitter(), []
    edges = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    for start, end in pairwise(edges):
        out.append(splitter.add(stream[start:end]))
        # the bytes returned so far end with a whole event
        assert any(b"".join(out) == b"".join(EVENTS[:count]) for count in range(5))
    assert b"".join(out) == stream
    assert splitter.is_between_events
    assert splitter.last_id == "4"


# ids were found after LF only, so a resumed stream repeated events of servers that end lines by CR
@pytest.mark.parametrize("end", [b"\r", b"\n", b"\r\n"])
@given(sizes=st.lists(st.integers(1, 30), min_size=1, max_size=12))
def test_lines_may_end_by_any_of_the_three_ends_wherever_the_stream_is_cut(
    end: bytes, sizes: list[int]
) -> None:
    events = [event.replace(b"\r\n", b"\n").replace(b"\n", end) for event in EVENTS]
    stream, splitter, out, start = b"".join(events), EventSplitter(), b"", 0
    for size in [*sizes, len(stream)]:
        out += splitter.add(stream[start : start + size])
        start += size
        count = next(n for n in range(5) if out == b"".join(events[:n]))
        # the third event has no id
        assert splitter.last_id == [None, "1", "2", "2", "4"][count]
    assert out == stream
    assert splitter.is_between_events


def test_a_partial_event_is_dropped_when_its_connection_is_lost() -> None:
    splitter = EventSplitter()
    assert splitter.add(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert not splitter.is_between_events
    splitter.drop_partial_event()
    assert splitter.add(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.last_id == "2"


def test_an_unfinished_event_is_bounded_in_pieces_and_slow_sound_streams_are_not() -> None:
    splitter = EventSplitter()
    for number in range(3):
        for byte in f"id: {number}\ndata: {'x' * 4000}\n\n".encode():
            splitter.add(bytes([byte]))
            assert not splitter.is_oversized
    for _ in range(MAX_EVENT_PIECES):
        splitter.add(b"x")
    assert not splitter.is_oversized
    splitter.add(b"x")
    assert splitter.is_oversized


def test_events_after_a_break_must_not_repeat_earlier_ones() -> None:
    splitter = EventSplitter()
    assert splitter.add(b"id: 9\ndata: a\n\n")
    splitter.note_break()
    assert splitter.add(b"id: 9\ndata: a\n\nid: 10\ndata: b\n\n") == b""
    assert splitter.has_repeated
    splitter.note_break()
    assert not splitter.has_repeated
    assert splitter.add(b"id: 10\ndata: b\n\n")
    assert not splitter.has_repeated
    assert splitter.last_id == "10"
