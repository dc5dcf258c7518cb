from __future__ import annotations

import fcntl
import json
import os
from datetime import UTC, datetime, timedelta

from twisted.internet.task import Clock as FakeTime

from lavenderrun.gateway import BoundedLog
from lavenderrun.kernel import ReactorClock

START = datetime(2026, 1, 1, tzinfo=UTC)


CONCURRENT = 50
LINES_OF_A_CALL = 5


def make_log(time: FakeTime, descriptor: int) -> BoundedLog:
    return BoundedLog(ReactorClock(time, START, zero=0.0), descriptor)


def read_lines(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()]


def test_a_full_pipe_drops_lines_instead_of_blocking() -> None:
    reading, writing = os.pipe()
    fcntl.fcntl(writing, 1031, 16384)  # F_SETPIPE_SZ
    log = make_log(FakeTime(), writing)
    for number in range(200):
        log.write({"n": number, "text": "x" * 100})
    assert log.dropped > 0
    kept = len(read_lines(reading))
    assert kept + log.dropped == 200
    log.write({"n": 200})
    notice, last = read_lines(reading)
    assert notice["message_type"] == "log:dropped"
    assert notice["n"] == log.dropped
    assert last["n"] == 200
    os.close(reading)
    os.close(writing)


def test_lines_are_limited_in_rate_and_length() -> None:
    reading, writing = os.pipe()
    fcntl.fcntl(writing, 1031, 1 << 20)
    time = FakeTime()
    log = make_log(time, writing)
    for _ in range(2500):
        log.write({})
    assert log.dropped == 500
    time.advance(timedelta(seconds=0.1).total_seconds())
    for _ in range(50):
        log.write({})
    assert log.dropped == 510
    assert len(read_lines(reading)) == 2040 + 1
    time.advance(1)
    log.write({"text": "y" * 9000})
    os.set_blocking(reading, False)
    notice, line = os.read(reading, 1 << 20).splitlines()
    assert json.loads(notice)["n"] == 10
    assert len(line) == 4095
    os.close(reading)
    os.close(writing)


def make_story(number: int) -> list[dict[str, object]]:
    """Return the lines of a call; the server of each tenth one fails."""
    failed = number % 10 == 0
    story: list[dict[str, object]] = [
        {"message_type": "call:admitted"},
        {"message_type": "call:seat"},
        {"message_type": "call:send", "attempt": 1},
        {"message_type": "call:attempt", "result": "reset" if failed else "served"},
        {"message_type": "call:refused" if failed else "call:answered"},
    ]
    return [{"timestamp": number, "request": f"r{number}", **line} for line in story]


def write_calls(log: BoundedLog, calls: int) -> None:
    """Write the lines of calls of which some run at the same time."""
    for block in range(0, calls, CONCURRENT):
        stories = [make_story(number) for number in range(block, block + CONCURRENT)]
        for lines in zip(*stories, strict=True):
            for line in lines:
                log.write(line)


# under load, lines were missing in the middle of what the log told of a call
def test_lines_of_a_call_are_dropped_together_except_those_of_failures() -> None:
    reading, writing = os.pipe()
    fcntl.fcntl(writing, 1031, 1 << 20)
    log = make_log(FakeTime(), writing)
    write_calls(log, 1000)
    lines: dict[object, list[dict[str, object]]] = {}
    for line in read_lines(reading):
        lines.setdefault(line.get("request"), []).append(line)
    lines.pop(None, None)
    stories = [
        number for number in range(1000) if len(lines.get(f"r{number}", ())) == LINES_OF_A_CALL
    ]
    assert len(stories) >= 200
    for number in range(1000):
        if number in stories:
            assert "call_lines_dropped" not in lines[f"r{number}"][-1]
        elif number % 10 == 0:
            failed, refused = lines[f"r{number}"]
            assert (failed["message_type"], failed["result"]) == ("call:attempt", "reset")
            assert (refused["message_type"], refused["call_lines_dropped"]) == ("call:refused", 3)
        else:
            assert f"r{number}" not in lines
    assert log.dropped == LINES_OF_A_CALL * 1000 - sum(map(len, lines.values()))
    os.close(reading)
    os.close(writing)


# the notice had no timestamp, so whoever sorts the lines by time put it elsewhere
def test_the_notice_of_dropped_lines_has_the_time_of_the_line_after_it() -> None:
    reading, writing = os.pipe()
    fcntl.fcntl(writing, 1031, 1 << 20)
    time = FakeTime()
    log = make_log(time, writing)
    for _ in range(2001):
        log.write({"timestamp": 7.0})
    time.advance(1)
    log.write({"timestamp": 8.5, "n": 1})
    notice, last = read_lines(reading)[-2:]
    assert (notice["message_type"], notice["n"], notice["timestamp"]) == ("log:dropped", 1, 8.5)
    assert last["n"] == 1
    os.close(reading)
    os.close(writing)


def test_a_closed_reader_raises_nothing() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    log = make_log(FakeTime(), writing)
    log.write({"n": 1})
    assert log.dropped == 1
    os.close(writing)
