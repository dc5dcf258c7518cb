from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.codecs import (
    FaultList,
    FileFormat,
    digest_document,
    encode_document,
    make_schema,
    read_document,
)
from lavenderrun.types import Document

DIGEST = "sha256:" + "a" * 64
GOOD = f"""\
retry_share = 0.1

[[accounts]]
id = "talleres"
rate = {{ requests_per_second=5, request_burst=10, tokens_per_second=900, token_burst=4000 }}
keys = [
  "{DIGEST}",
]

[[models]]
name = "acta"

[[model_routes]]
name = "summaries"
model = "acta"
accounts = ["talleres"]
  [model_routes.targets]
  first_token = 0.5

[[plain_routes]]
name = "orders"
prefix = "/orders"
service = "order-desk"
repeatability = "at_most_once"

[[backends]]
id = "d1"
group = "acta"
role = "decode"
data_centre = "talca"
agent = "127.0.0.1:7001"

[[backends]]
id = "p1"
group = "order-desk"
role = "plain"
data_centre = "chillan"
agent = "127.0.0.1:7002"

[[links]]
source = "talca"
target = "chillan"
bytes_per_second = 1e9
"""


def read_good() -> Document:
    document = read_document(GOOD, FileFormat.TOML)
    assert isinstance(document, Document), document
    return document


def fault_lines(text: str, form: FileFormat = FileFormat.TOML) -> list[str]:
    found = read_document(text, form)
    assert isinstance(found, FaultList)
    return [str(fault) for fault in found.faults]


def test_toml_and_its_canonical_json_are_the_same_document() -> None:
    document = read_good()
    encoded = encode_document(document)
    again = read_document(encoded, FileFormat.JSON)
    assert again == document
    assert isinstance(again, Document)
    assert digest_document(encode_document(again)) == digest_document(encoded)
    assert json.loads(encoded)["model_routes"][0]["targets"]["first_token"] == 0.5


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('model = "acta"', 'model = "other"', "line 15: model_routes[0].model: unknown model"),
        (
            'accounts = ["talleres"]',
            'accounts = ["nobody"]',
            "line 16: model_routes[0].accounts[0]: unknown client account",
        ),
        ('group = "order-desk"', 'group = "x"', "unknown service"),
        ('target = "chillan"', 'target = "temuco"', "line 42: links[0].target: unknown data"),
        ("127.0.0.1:7002", "127.0.0.1:7001", "backends[1].agent: agent address is used twice"),
        ('id = "p1"', 'id = "d1"', "line 34: backends[1].id: backend server id is used twice"),
        ('name = "orders"', 'name = "summaries"', "plain_routes[0].name: route name is used"),
        ("first_token = 0.5", "first_token = -1", "line 18: model_routes[0].targets.first_token"),
        ("first_token = 0.5", 'first_token = "PT1S"', "must be a number of seconds"),
        ("retry_share = 0.1", "retry_share = nan", "line 1: retry_share"),
        (f'"{DIGEST}",', f'"{DIGEST}",\n"{DIGEST}",', "line 8: accounts[0].keys[1]: key digest"),
        ("request_burst=10, ", "", "line 5: accounts[0].rate.request_burst: field required"),
        ('service = "order-desk"', 'service = "order-desk"\npatience = 0.1', "patience is below"),
        ('name = "acta"', 'name = "acta"\ncolour = "red"', "line 12: models[0].colour: extra"),
        ('id = "d1"', 'id = "d1', "line 27: not valid TOML"),
    ],
)
def test_a_fault_names_field_and_line(old: str, new: str, fault: str) -> None:
    lines = fault_lines(GOOD.replace(old, new, 1))
    assert any(fault in line for line in lines), lines


def test_every_fault_is_reported_at_once() -> None:
    text = GOOD.replace('model = "acta"', 'model = "x"').replace("1e9", "0").replace("= 0.1", "= 7")
    assert len(fault_lines(text)) == 3


def test_two_routes_may_share_a_prefix_only_with_other_methods() -> None:
    route = '\n[[plain_routes]]\nname="o2"\nservice="order-desk"\nprefix="/orders/"\n'
    assert "another route takes this prefix" in fault_lines(GOOD + route)[0]
    with_methods = GOOD.replace('prefix = "/orders"', 'prefix = "/orders"\nmethods = ["POST"]')
    assert isinstance(
        read_document(f'{with_methods}{route}methods=["GET"]', FileFormat.TOML), Document
    )


def test_json_faults_have_lines_and_repeated_fields_are_refused() -> None:
    assert fault_lines('{\n "retry_share": 3\n}', FileFormat.JSON)[0].startswith(
        "line 2: retry_share"
    )
    assert (
        "given twice"
        in fault_lines('{"retry_share": 0.1,\n"retry_share": 0.2}', FileFormat.JSON)[0]
    )
    assert fault_lines('{\n"a": }', FileFormat.JSON) == ["line 2: not valid JSON: Expecting value"]


def test_a_key_in_place_of_a_digest_is_not_echoed() -> None:
    for text in (GOOD.replace(DIGEST, "marker-key"), GOOD.replace(f'"{DIGEST}"', "marker-key")):
        assert "marker-key" not in "".join(fault_lines(text))


def test_schema_has_titles_and_units() -> None:
    schema = make_schema()
    patience = schema["$defs"]["ModelRoute"]["properties"]["patience"]
    assert patience["type"] == "number"
    assert patience["unit"] == "seconds"
    assert patience["title"] == "Patience"
    assert patience["default"] == 30.0


LEAVES = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
FIELDS = st.sampled_from(["id", "name", "keys", "accounts", "targets", "patience", "\ud800"])
ITEMS = st.dictionaries(FIELDS, LEAVES | st.lists(LEAVES, max_size=2), max_size=4)
SECTIONS = st.sampled_from([*Document.model_fields, "other"])


@given(st.binary(), st.sampled_from(FileFormat))
def test_any_bytes_give_a_document_or_faults(data: bytes, form: FileFormat) -> None:
    assert isinstance(read_document(data, form), Document | FaultList)


@given(st.dictionaries(SECTIONS, st.lists(ITEMS, max_size=3) | LEAVES, max_size=4))
def test_any_json_gives_a_document_or_faults(data: Any) -> None:
    assert isinstance(read_document(json.dumps(data), FileFormat.JSON), Document | FaultList)


@given(st.integers(0, len(GOOD)), st.integers(0, 40), st.text(max_size=4))
def test_a_damaged_file_gives_a_document_or_faults(at: int, cut: int, put: str) -> None:
    text = GOOD[:at] + put + GOOD[at + cut :]
    found = read_document(text, FileFormat.TOML)
    assert isinstance(found, Document | FaultList)
    if isinstance(found, FaultList):
        assert all(0 <= fault.line <= text.count("\n") + 1 for fault in found.faults)


@pytest.mark.parametrize("form", FileFormat)
def test_deep_nesting_and_huge_numbers_are_faults(form: FileFormat) -> None:
    for text in ("a = " + "[" * 9000, "[" * 90000, "a = " + "1" * 9000, "1" * 9000):
        assert isinstance(read_document(text, form), FaultList)
