from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache
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
    for folder in ("services", "daemons", "kernel", "gateway", "http_server", "platform"):
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


CITED_FROM = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
CODE = ("src", "tests", "deploy", "bench", "pyproject.toml")
PATH = re.compile(r"[\w.*-]*/[\w./*-]*|[\w*-]+\.(?:py|pyi|md|toml|txt|json|svg)")


def list_code_files() -> Iterator[Path]:
    for name in CODE:
        top = ROOT / name
        for path in [top, *top.rglob("*")]:
            if path.is_file() and path.suffix != ".pyc" and path != Path(__file__):
                yield path


@cache
def read_code() -> str:
    return "\n".join(path.read_text(errors="replace") for path in list_code_files())


@cache
def find_words() -> frozenset[str]:
    return frozenset(re.findall(r"\w+", read_code()))


@cache
def find_members() -> dict[str, frozenset[str]]:
    found: dict[str, set[str]] = {}
    for path in (ROOT / "src").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                words = re.findall(r"\w+", ast.unparse(node))
                found.setdefault(node.name, set()).update(words)
    return {name: frozenset(words) for name, words in found.items()}


def drop_old_names(text: str) -> str:
    kept = []
    old: int | None = None
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.split("|")]
        if len(cells) < 3:
            old = None
        elif "old" in cells:
            old = cells.index("old")
        elif old is not None:
            del cells[old]
        kept.append("|".join(cells))
    return "\n".join(kept)


def find_citations(page: Path) -> list[str]:
    text = re.sub(r"^ *```.*?^ *```$", "", page.read_text(), flags=re.M | re.S)
    if page.parent.name == "changelog":
        text = drop_old_names(text)
    return [" ".join(cited.split()) for cited in re.findall(r"`([^`]+)`", text)]


def is_path_there(path: str, page: Path) -> bool:
    for base in (ROOT, ROOT / "src" / "lavenderrun", ROOT / "docs", page.parent):
        if "*" in path and any(base.glob(path)):
            return True
        if "*" not in path and (base / path).exists():
            return True
    # made by a run or a build, or the key of a stored row: the code names it as a whole
    is_file_in_a_folder = "/" in path and Path(path).suffix != ""
    pattern = rf"(?<![\w/]){re.escape(path)}(?![\w/])"
    return not is_file_in_a_folder and re.search(pattern, read_code()) is not None


def is_identifier(word: str) -> bool:
    return "_" in word.strip("_") or word != word.lower()


def find_missing(cited: str, page: Path) -> list[str]:
    if " " in cited:
        words = re.findall(r"\S+", cited.replace('"', " "))
        names = [word for word in words if PATH.fullmatch(word) and "_" in word]
        missing = [name for name in names if not is_path_there(name, page)]
        others = " ".join(word for word in words if word not in names)
        return missing + [
            word
            for word in re.findall(r"\w+", others)
            if "_" in word.strip("_") and word not in find_words()
        ]
    if re.fullmatch(r"[\d.:]+", cited):
        return []
    if PATH.fullmatch(cited):
        return [] if is_path_there(cited, page) else [cited]
    if re.fullmatch(r"[\w-]+(\.[\w-]+)+(\(.*\))?", cited):
        owner, *parts = re.sub(r"\(.*", "", cited).split(".")
        if owner not in find_words() or (owner[0].isupper() and owner not in find_members()):
            return [cited]
        members = find_members().get(owner, find_words())
        return [word for word in re.findall(r"\w+", " ".join(parts)) if word not in members]
    words = re.findall(r"\w+", cited)
    if "-" in cited and "_" not in cited:
        pattern = rf"(?<![\w-]){re.escape(cited)}(?![\w-])"
        return [] if re.search(pattern, read_code(), re.I) else [cited]
    if len(words) == 1 and not is_identifier(words[0]) and "(" not in cited:
        return []
    return [word for word in words if word not in find_words()]


@pytest.mark.parametrize("page", CITED_FROM, ids=lambda page: str(page.relative_to(ROOT)))
def test_every_cited_name_is_in_the_code(page: Path) -> None:
    missing = {cited: find_missing(cited, page) for cited in find_citations(page)}
    assert not {cited: words for cited, words in missing.items() if words}


@pytest.mark.parametrize("page", CITED_FROM, ids=lambda page: str(page.relative_to(ROOT)))
def test_every_link_leads_to_a_page(page: Path) -> None:
    targets = re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
    assert not [target for target in targets if not (page.parent / target).exists()]


@cache
def find_sentences() -> tuple[frozenset[str], tuple[re.Pattern[str], ...]]:
    texts: set[str] = set()
    patterns = set()
    for path in (ROOT / "src" / "lavenderrun").rglob("*.py"):
        nodes = list(ast.walk(ast.parse(path.read_text())))
        own = {node.value for node in nodes if isinstance(node, ast.Constant)}
        own_texts = {value for value in own if isinstance(value, str)}
        texts |= own_texts
        # a placeholder stands for one word, or for another text of the same module
        filled = "|".join(map(re.escape, sorted(text for text in own_texts if " " in text)))
        for node in nodes:
            if not isinstance(node, ast.JoinedStr) or not isinstance(node.values[0], ast.Constant):
                continue
            parts = [
                re.escape(str(part.value))
                if isinstance(part, ast.Constant)
                else f"(?:\\S+|{filled})"
                for part in node.values
            ]
            # a placeholder alone after the prefix would match every word
            if len(parts) > 2 or not re.fullmatch(r"[a-z_]+: ", str(node.values[0].value)):
                patterns.add("".join(parts))
    return frozenset(texts), tuple(map(re.compile, patterns))


def is_sentence_written(sentence: str) -> bool:
    texts, patterns = find_sentences()
    if sentence in texts or any(pattern.fullmatch(sentence) for pattern in patterns):
        return True
    prefix, _, rest = sentence.partition(": ")
    return prefix == "call" and rest in texts


def list_log_prefixes() -> list[str]:
    return re.findall(r"^\| `([a-z_]+):`", (PAGES / "logs.md").read_text(), re.M)


@pytest.mark.parametrize("page", CITED_FROM, ids=lambda page: str(page.relative_to(ROOT)))
def test_every_quoted_log_line_is_written_by_the_code(page: Path) -> None:
    prefixes = "|".join(list_log_prefixes())
    quoted = [cited for cited in find_citations(page) if re.match(rf"({prefixes}): ", cited)]
    # examples of `lavenderrun explain` show sentence and fields, apart by two spaces
    quoted += re.findall(r"\.log  (.+?)(?:  |$)", page.read_text(), re.M)
    assert not [sentence for sentence in quoted if not is_sentence_written(sentence)]


@pytest.mark.parametrize(
    "page",
    [page for page in CITED_FROM if page.parent.name in {"operating", "incidents"}],
    ids=lambda page: page.name,
)
def test_every_sentence_in_a_table_is_written_by_the_code(page: Path) -> None:
    missing = []
    for line in re.findall(r"^\|.*\|$", page.read_text(), re.M):
        found = re.match(r"\| `([a-z_]+):` ", line)
        prefixes = [found[1]] if found else list_log_prefixes()
        for cited in re.findall(r"`([a-z][A-Za-z ,']* [A-Za-z ,:']+)`", line):
            sentences = [cited, *(f"{prefix}: {cited}" for prefix in prefixes)]
            if not any(map(is_sentence_written, sentences)):
                missing.append(cited)
    assert not missing
