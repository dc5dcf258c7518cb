"""Encoders and decoders, which make no decisions."""

from __future__ import annotations

from lavenderrun.codecs import _claim_rows as _claim_rows
from lavenderrun.codecs import _entry_rows as _entry_rows
from lavenderrun.codecs import _quarantine_rows as _quarantine_rows
from lavenderrun.codecs._admin import (
    AcceptedVersion,
    AdminError,
    AdminErrorBody,
    AdminFault,
    ConflictBody,
    GrantedKey,
    Readiness,
    Validation,
    WithdrawnKey,
    encode_admin,
    make_conflict,
    make_faults,
)
from lavenderrun.codecs._api_answers import (
    DONE_EVENT,
    AnswerCodec,
    encode_error_event,
    encode_models,
)
from lavenderrun.codecs._api_errors import ApiError, encode_error, list_error_headers
from lavenderrun.codecs._api_headers import parse_idempotency_key, parse_key, strip_headers
from lavenderrun.codecs._api_requests import ApiForm, ModelCall, parse_chat, parse_completion
from lavenderrun.codecs._document import (
    FileFormat,
    digest_document,
    encode_document,
    make_schema,
    read_document,
)
from lavenderrun.codecs._engine import (
    CancelCall,
    DecodeCall,
    DecodeEvent,
    DecodeEventParser,
    EngineProtocolError,
    ExportReply,
    FaultReply,
    LoadedReply,
    LoadReply,
    OrderCall,
    PrefillCall,
    ReleaseCall,
    decode_body,
    encode_body,
    encode_decode_event,
)
from lavenderrun.codecs._faults import Fault, FaultList
from lavenderrun.codecs._lease_rows import LEASE_TABLE
from lavenderrun.codecs._rate_slice_rows import RATE_SLICE_TABLE
from lavenderrun.codecs._rows import ROWS, RowCodec, RowError, row
from lavenderrun.codecs._settings import read_settings
from lavenderrun.codecs._statuses import find_status
from lavenderrun.codecs._stored import (
    StoredDocumentError,
    decode_document_copy,
    decode_stored_document,
    encode_document_copy,
    encode_stored_document,
    make_stored_document,
)
from lavenderrun.codecs._wire import WireCodec, WireError

__all__ = [
    "DONE_EVENT",
    "LEASE_TABLE",
    "RATE_SLICE_TABLE",
    "ROWS",
    "AcceptedVersion",
    "AdminError",
    "AdminErrorBody",
    "AdminFault",
    "AnswerCodec",
    "ApiError",
    "ApiForm",
    "CancelCall",
    "ConflictBody",
    "DecodeCall",
    "DecodeEvent",
    "DecodeEventParser",
    "EngineProtocolError",
    "ExportReply",
    "Fault",
    "FaultList",
    "FaultReply",
    "FileFormat",
    "GrantedKey",
    "LoadReply",
    "LoadedReply",
    "ModelCall",
    "OrderCall",
    "PrefillCall",
    "Readiness",
    "ReleaseCall",
    "RowCodec",
    "RowError",
    "StoredDocumentError",
    "Validation",
    "WireCodec",
    "WireError",
    "WithdrawnKey",
    "decode_body",
    "decode_document_copy",
    "decode_stored_document",
    "digest_document",
    "encode_admin",
    "encode_body",
    "encode_decode_event",
    "encode_document",
    "encode_document_copy",
    "encode_error",
    "encode_error_event",
    "encode_models",
    "encode_stored_document",
    "find_status",
    "list_error_headers",
    "make_conflict",
    "make_faults",
    "make_schema",
    "make_stored_document",
    "parse_chat",
    "parse_completion",
    "parse_idempotency_key",
    "parse_key",
    "read_document",
    "read_settings",
    "row",
    "strip_headers",
]
