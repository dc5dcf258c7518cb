"""The document as TOML and JSON, its canonical bytes and its JSON Schema."""

from __future__ import annotations

import hashlib
import json
import re
import tomllib
from datetime import timedelta
from enum import Enum
from typing import Any, Final, NoReturn, TypeVar

from pydantic import BaseModel, ValidationError
from pydantic.json_schema import GenerateJsonSchema

from lavenderrun.codecs._faults import Fault, FaultList, convert_errors, make_fault, make_fault_list
from lavenderrun.codecs._lines import FieldLines, locate_json, locate_toml
from lavenderrun.codecs._references import check_references
from lavenderrun.types import Document

MAX_FILE_BYTES: Final = 4 << 20
T = TypeVar("T", bound=BaseModel)

TOML_LOCATION = re.compile(r" \(at line (\d+), column \d+\)$")


class FileFormat(Enum):
    """Format of an operator's file."""

    TOML = "toml"
    JSON = "json"


def read_document(text: str | bytes, file_format: FileFormat) -> Document | FaultList:
    """Return the document in *text*, or all faults in it."""
    parsed = parse(text, file_format)
    if isinstance(parsed, FaultList):
        return parsed
    data, lines = parsed
    document = build(Document, data, lines)
    faults = [make_fault(path, message, lines) for path, message in check_references(data)]
    if isinstance(document, FaultList):
        faults.extend(document.faults)
    if isinstance(document, FaultList) or faults:
        return make_fault_list(faults)
    return document


def parse(
    text: str | bytes, file_format: FileFormat
) -> tuple[dict[str, Any], FieldLines] | FaultList:
    """Return the plain data and the lines of its fields, or the syntax fault."""
    if len(text) > MAX_FILE_BYTES:
        return make_fault_list([Fault("", 0, f"larger than {MAX_FILE_BYTES} bytes")])
    try:
        decoded = text if isinstance(text, str) else text.decode("utf-8")
        data, repeated = _load(decoded, file_format)
        lines = locate_toml(decoded) if file_format is FileFormat.TOML else locate_json(decoded)
    except RecursionError:
        return make_fault_list([Fault("", 0, "nested too deeply")])
    except UnicodeDecodeError as error:
        return make_fault_list([Fault("", _find_line(error), "not valid UTF-8")])
    except ValueError as error:
        return make_fault_list([_make_syntax_fault(error, text)])
    if not isinstance(data, dict):
        return make_fault_list([Fault("", 1, "must be an object")])
    if repeated:
        return make_fault_list(
            make_fault(path, "field is given twice", lines) for path in lines.repeated
        )
    return data, lines


def build(kind: type[T], data: dict[str, Any], lines: FieldLines) -> T | FaultList:
    """Return *data* as an instance of *kind*, or all faults in it."""
    try:
        return kind.model_validate(data)
    except ValidationError as error:
        return make_fault_list(convert_errors(error, lines))


def encode_document(document: Document) -> bytes:
    """Return the canonical JSON of *document*: equal documents give equal bytes."""
    data = document.model_dump(mode="json")
    return json.dumps(data, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode()


def digest_document(encoded: bytes) -> str:
    """Return the SHA-256 digest of canonical bytes."""
    return "sha256:" + hashlib.sha256(encoded).hexdigest()


def make_schema() -> dict[str, Any]:
    """Return the document's JSON Schema for editors' forms; durations are numbers of seconds."""
    schema = Document.model_json_schema(schema_generator=_DocumentSchema)
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    return schema


class _DocumentSchema(GenerateJsonSchema):
    def encode_default(self, dft: Any) -> Any:
        if isinstance(dft, timedelta):
            return dft.total_seconds()
        return super().encode_default(dft)


def _load(text: str, file_format: FileFormat) -> tuple[Any, bool]:
    """Return the plain data and whether an object names a field twice."""
    if file_format is FileFormat.TOML:
        return tomllib.loads(text), False
    repeated = False

    def collect(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        nonlocal repeated
        item = dict(pairs)
        repeated = repeated or len(item) < len(pairs)
        return item

    data = json.loads(text, parse_constant=_refuse_constant, object_pairs_hook=collect)
    return data, repeated


def _refuse_constant(name: str) -> NoReturn:
    msg = f"{name} is not a JSON number"
    raise ValueError(msg)


def _make_syntax_fault(error: ValueError, text: str | bytes) -> Fault:
    if isinstance(error, json.JSONDecodeError):
        return Fault("", error.lineno, f"not valid JSON: {error.msg}")
    if not isinstance(error, tomllib.TOMLDecodeError):
        return Fault("", 0, "holds a number that is out of range")
    location = TOML_LOCATION.search(str(error))
    if location is None:
        newline: Any = "\n" if isinstance(text, str) else b"\n"
        return Fault("", text.count(newline) + 1, "not valid TOML: the text ends too soon")
    return Fault(
        "", int(location[1]), f"not valid TOML: {_hide_values(str(error)[: location.start()])}"
    )


def _hide_values(message: str) -> str:
    """Remove quoted text, which may be part of a key."""
    return re.sub(r"(['\"]).{2,}\1", "...", message)


def _find_line(error: UnicodeDecodeError) -> int:
    return error.object[: error.start].count(b"\n") + 1
