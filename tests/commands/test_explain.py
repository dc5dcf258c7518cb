from __future__ import annotations

import json
from pathlib import Path

import pytest

from lavenderrun.commands import main


def write(path: Path, *lines: dict[str, object]) -> str:
    path.write_text("".join(json.dumps(line) + "\n" for line in lines) + '{"request": "a", "cut')
    return str(path)


def make(at: float, kind: str, request: str = "a", **fields: object) -> dict[str, object]:
    text = f"call: {kind}"
    return {"timestamp": at, "message_type": f"call:{kind}", "text": text, "request": request} | {
        **fields
    }


def test_lines_of_all_logs_are_printed_in_order(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    first = write(tmp_path / "one.log", make(10.5, "answered", member="s1"), make(9.0, "x", "b"))
    second = write(tmp_path / "two.log", make(10.0, "admitted", configuration=7))
    assert main(["explain", "a", first, second]) == 0
    head, *lines, end = capsys.readouterr().out.splitlines()
    assert head.startswith("call a, first seen 1970-01-01T00:00:10")
    assert [line.split("  ")[1:] for line in (text.strip() for text in lines)] == [
        ["two.log", "call: admitted", "configuration=7"],
        ["one.log", "call: answered", "member=s1"],
    ]
    assert end == "ended in one.log: the whole answer was passed on"
    assert main(["explain", "a", "--json", first]) == 0
    assert json.loads(capsys.readouterr().out)["member"] == "s1"


def test_missing_lines_and_logs_are_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = write(tmp_path / "one.log", make(1.0, "send"))
    assert main(["explain", "a", log]) == 0
    assert "no line tells how it ended" in capsys.readouterr().out
    assert main(["explain", "c", log]) == 1
    assert "in none of 1 logs" in capsys.readouterr().err
    assert main(["explain", "a", str(tmp_path / "none.log")]) == 2
    assert "can not be read" in capsys.readouterr().err


# the end of a request without a whole answer had to be guessed from its lines
def test_each_log_that_knows_the_end_tells_it_with_the_lines_that_it_lacks(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    first = write(tmp_path / "one.log", make(1.0, "cut", detail="engine lost", last="2"))
    refused = make(2.0, "refused", reason="no_room", outcome="not-run", call_lines_dropped=3)
    second = write(tmp_path / "two.log", refused)
    third = write(tmp_path / "three.log", make(3.0, "send"))
    assert main(["explain", "a", first, second, third]) == 0
    assert capsys.readouterr().out.splitlines()[-3:] == [
        "ended in one.log: broken off after its answer had begun  detail=engine lost last=2",
        "ended in two.log: refused  reason=no_room outcome=not-run",
        "lacks lines in two.log: 3 were dropped",
    ]


def test_servers_that_wanted_no_calls_are_named_with_the_age_and_the_source_of_their_notice(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    leaving = {"member": "s1", "says": "leaving", "told_by": "front-2", "age_ms": 1250}
    rest = {"member": "s2", "says": "rest", "told_by": "front-1", "age_ms": 400, "left_ms": 600}
    line = make(1.0, "notices", notices=[{**leaving, "left_ms": None}, rest])
    assert main(["explain", "a", write(tmp_path / "front-1.log", line)]) == 0
    assert [text.strip() for text in capsys.readouterr().out.splitlines()[1:4]] == [
        "0.0 ms  front-1.log  call: notices",
        "s1 said it is leaving; told to front-2 1250 ms before",
        "s2 asked for no calls, 600 ms left; told to front-1 400 ms before",
    ]
