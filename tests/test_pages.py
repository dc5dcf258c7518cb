from __future__ import annotations

import re
from pathlib import Path

import pytest

from lavenderrun.codecs import FaultList, FileFormat, read_document, read_settings
from lavenderrun.gateway import GATEWAY_METRICS
from lavenderrun.services import ADMIN_ENDPOINTS, METRICS, READINESS_CHECKS, STATUS_SECTIONS
from lavenderrun.services._record import LOG_TEXTS
from lavenderrun.types import AgentSettings, EntrySettings

ROOT = Path(__file__).parents[1]
PAGES = ROOT / "docs" / "operating"
LOG_LINE = re.compile(
    r'(?:log_message\(|\blog\(|_log\(|text=|"text": )\s*(?:f?"[a-z_:{}]+",\s*)?f?"([a-z_]+): '
)


def find_example(page: str, kind: str) -> str:
    blocks = re.findall(rf"^```toml {kind}\n(.*?)^```", (PAGES / page).read_text(), re.M | re.S)
    assert len(blocks) == 1
    return str(blocks[0])


@pytest.mark.parametrize("kind", [EntrySettings, AgentSettings])
def test_examples_of_settings_are_read(kind: type[EntrySettings] | type[AgentSettings]) -> None:
    name = kind.__name__.removesuffix("Settings").lower()
    found = read_settings(find_example("settings.md", name), kind)
    assert not isinstance(found, FaultList), found


def test_the_example_of_a_document_is_read() -> None:
    found = read_document(find_example("document.md", "document"), FileFormat.TOML)
    assert not isinstance(found, FaultList), found


def test_every_metric_is_on_its_page_and_no_other() -> None:
    text = (PAGES / "metrics.md").read_text()
    assert set(re.findall(r"^\| `(lavenderrun_[a-z_]+)`", text, re.M)) == set(
        METRICS.names()
    ) | set(GATEWAY_METRICS.names())


def test_every_log_prefix_is_on_its_page() -> None:
    used = {sentence.partition(":")[0] for sentence in LOG_TEXTS.values()}
    for folder in ("services", "daemons", "kernel", "gateway", "platform"):
        for path in (ROOT / "src" / "lavenderrun" / folder).glob("*.py"):
            used |= set(LOG_LINE.findall(path.read_text()))
    listed = set(re.findall(r"^\| `([a-z_]+):`", (PAGES / "logs.md").read_text(), re.M))
    assert listed == used


def test_every_call_section_and_check_is_on_its_page() -> None:
    text = (PAGES / "admin.md").read_text()
    for name in ADMIN_ENDPOINTS.names():
        assert f"`{name}`" in text
    for name in [*STATUS_SECTIONS.names(), *READINESS_CHECKS.names()]:
        assert f"`{name}`" in text


def test_every_page_is_in_the_index() -> None:
    index = (ROOT / "docs" / "OPERATIONS.md").read_text()
    assert all(f"(operating/{page.name})" in index for page in PAGES.glob("*.md"))
