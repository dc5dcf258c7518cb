from __future__ import annotations

import pytest

from lavenderrun.codecs import FaultList, read_settings
from lavenderrun.types import AgentSettings, EntrySettings

ENTRY = """\
[host]
id = "entry-1"
data_centre = "talca"
listen = "127.0.0.1:7000"

[store]
url = "http://127.0.0.1:7001"
attempt_timeout = 0.5

[admin]
listen = "127.0.0.1:7002"
operators = { ana = "sha256:%s" }
""" % ("b" * 64)


def test_a_file_becomes_settings() -> None:
    settings = read_settings(ENTRY, EntrySettings)
    assert isinstance(settings, EntrySettings), settings
    assert settings.store.attempt_timeout.total_seconds() == 0.5
    assert list(settings.admin.operators) == ["ana"]


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('data_centre = "talca"', "", "line 1: host.data_centre: field required"),
        ("127.0.0.1:7000", "127.0.0.1:70000", "line 4: host.listen: must be an IP number"),
        ("127.0.0.1:7000", "localhost:7000", "line 4: host.listen: must be an IP number"),
        ("127.0.0.1:7000", "127.0.0.1:0", "line 4: host.listen: needs a port"),
        ("attempt_timeout = 0.5", "attempt_timeout = 0", "line 8: store.attempt_timeout"),
        ("http://127.0.0.1:7001", "table:7001", "line 7: store.url: must be http://"),
        ("[store]", "[stores]", "store: field required"),
        ("[host]", 'boot = "x"\n[host]', "line 1: boot: extra inputs"),
        ("[admin]", '[admin]\ncertificate = "a"', "line 10: admin.private_key: is missing"),
        ("[host]", '[host]\nauthority = "a"', "line 1: host.certificate: is missing"),
        ('"entry-1"', "entry-1", "line 2: not valid TOML"),
    ],
)
def test_a_fault_names_field_and_line(old: str, new: str, fault: str) -> None:
    found = read_settings(ENTRY.replace(old, new, 1), EntrySettings)
    assert isinstance(found, FaultList), found
    lines = [str(each) for each in found.faults]
    assert any(fault in line for line in lines), lines


def test_every_fault_is_reported_and_no_secret_echoed() -> None:
    text = ENTRY.replace("sha256:", "marker-key").replace("7000", "x").replace("0.5", "-1")
    found = read_settings(text, EntrySettings)
    assert isinstance(found, FaultList)
    assert {each.path for each in found.faults} >= {
        "admin.operators.ana",
        "host.listen",
        "store.attempt_timeout",
    }
    assert "marker" not in "".join(map(str, found.faults))


def test_an_agents_file_needs_its_own_sections() -> None:
    found = read_settings(ENTRY, AgentSettings)
    assert isinstance(found, FaultList)
    assert {"serves", "backend", "store", "admin"} <= {each.path for each in found.faults}
