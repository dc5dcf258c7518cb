"""Endpoints of the operators' API for the document and the keys of its client accounts."""

from __future__ import annotations

import re
import secrets
from typing import Any, Final

from twisted.internet.defer import Deferred, ensureDeferred

from lavenderrun.codecs import (
    AcceptedVersion,
    FaultList,
    FileFormat,
    GrantedKey,
    Validation,
    WithdrawnKey,
    encode_admin,
    encode_document,
    make_conflict,
    make_faults,
    read_document,
)
from lavenderrun.decisions import digest_key, grant_key, withdraw_key
from lavenderrun.kernel import Kernel
from lavenderrun.services._admin_endpoints import (
    AdminCall,
    AdminCallError,
    AdminReply,
    register_endpoint,
)
from lavenderrun.types import (
    AccountId,
    Document,
    DocumentConflict,
    DocumentKeeper,
    DocumentVersion,
    KeyDigest,
    StoredDocument,
    Submitted,
)

KEY_BYTES: Final = 24
KEY_PREFIX: Final = "lr-"
MAX_SUBMISSIONS: Final = 5
"""Submissions of one key change when other operators change the document meanwhile."""

VERSION_PATTERN = re.compile(r'"?(\d{1,18})"?')
TOML_CONTENT_TYPE: Final = "application/toml"


@register_endpoint("GET /admin/document")
def get_document(kernel: Kernel, _call: AdminCall) -> AdminReply:
    """Return the document in force with its version as the ``ETag``."""
    stored = _find_stored_document(kernel)
    version = stored.revision.version
    return AdminReply(200, encode_document(stored.document), [_make_etag(version)])


@register_endpoint("PUT /admin/document")
def put_document(kernel: Kernel, call: AdminCall) -> Deferred[AdminReply]:
    """Replace the version of the document that ``If-Match`` names."""
    base_version = _read_base_version(call)
    return ensureDeferred(_submit_document(kernel, call, base_version, _read_document(call)))


@register_endpoint("POST /admin/document/validate")
def validate_document(_kernel: Kernel, call: AdminCall) -> AdminReply:
    """Return all faults of a document without submitting it."""
    found = read_document(call.body, _find_format(call))
    faults = make_faults(found.faults) if isinstance(found, FaultList) else []
    return AdminReply(422 if faults else 200, encode_admin(Validation(not faults, faults)))


@register_endpoint("POST /admin/accounts/ID/keys")
def post_key(kernel: Kernel, call: AdminCall) -> Deferred[AdminReply]:
    """Grant a new key to a client account; only this answer ever shows the key itself."""
    return ensureDeferred(_grant_key(kernel, call, AccountId(call.parts[0])))


@register_endpoint("DELETE /admin/accounts/ID/keys/DIGEST")
def delete_key(kernel: Kernel, call: AdminCall) -> Deferred[AdminReply]:
    """Withdraw the key with the given digest from a client account."""
    account, digest = AccountId(call.parts[0]), KeyDigest(call.parts[1])
    return ensureDeferred(_withdraw_key(kernel, call, account, digest))


async def _submit_document(
    kernel: Kernel, call: AdminCall, base_version: DocumentVersion, document: Document
) -> AdminReply:
    keeper = kernel.find("document", DocumentKeeper)
    result = await keeper.submit(document, call.operator, base_version)
    if isinstance(result, DocumentConflict):
        message = f"Version {base_version} was replaced; version {result.current} stands."
        body = make_conflict("document_changed", message, result)
        return AdminReply(412, encode_admin(body), [_make_etag(result.current)])
    accepted = AcceptedVersion(result.version, result.digest, result.confirmed)
    return AdminReply(200, encode_admin(accepted), [_make_etag(result.version)])


async def _grant_key(kernel: Kernel, call: AdminCall, account: AccountId) -> AdminReply:
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    digest = digest_key(key)
    result = await _submit_change(
        kernel, call, lambda document: grant_key(document, account, digest)
    )
    if isinstance(result, AdminReply):
        return result
    body = GrantedKey(account, key, digest, result.version, result.confirmed)
    no_store = ("Cache-Control", "no-store")
    return AdminReply(201, encode_admin(body), [_make_etag(result.version), no_store])


async def _withdraw_key(
    kernel: Kernel, call: AdminCall, account: AccountId, digest: KeyDigest
) -> AdminReply:
    result = await _submit_change(
        kernel, call, lambda document: withdraw_key(document, account, digest)
    )
    if isinstance(result, AdminReply):
        return result
    body = WithdrawnKey(account, digest, result.version, result.confirmed)
    return AdminReply(200, encode_admin(body), [_make_etag(result.version)])


async def _submit_change(kernel: Kernel, call: AdminCall, change: Any) -> Submitted | AdminReply:
    """Apply *change* to the newest version and submit it, again after each conflict."""
    keeper = kernel.find("document", DocumentKeeper)
    conflicts: list[DocumentConflict] = []
    while len(conflicts) < MAX_SUBMISSIONS:
        stored = _find_stored_document(kernel)
        changed = change(stored.document)
        if changed is None:
            raise AdminCallError(404, "unknown_key", "There is no such client account or key.")
        result = await keeper.submit(changed, call.operator, stored.revision.version)
        if isinstance(result, Submitted):
            return result
        conflicts.append(result)
    message = "Other operators change the document at the same time; try again."
    return AdminReply(409, encode_admin(make_conflict("document_busy", message, conflicts[-1])))


def _find_stored_document(kernel: Kernel) -> StoredDocument:
    stored = kernel.find("document", DocumentKeeper).stored
    if stored is None:
        message = "No document is in force on this host; submit the first one as version 0."
        raise AdminCallError(404, "no_document", message)
    return stored


def _read_document(call: AdminCall) -> Document:
    found = read_document(call.body, _find_format(call))
    if isinstance(found, FaultList):
        faults = make_faults(found.faults)
        message = f"The document has {len(faults)} faults; nothing was written."
        raise AdminCallError(422, "bad_document", message, faults)
    return found


def _find_format(call: AdminCall) -> FileFormat:
    content_types = [
        value.partition(";")[0].strip().lower() for value in call.find_headers("Content-Type")
    ]
    return FileFormat.TOML if TOML_CONTENT_TYPE in content_types else FileFormat.JSON


def _read_base_version(call: AdminCall) -> DocumentVersion:
    values = call.find_headers("If-Match")
    if not values:
        message = "If-Match: is missing; send the version that the document is based on."
        raise AdminCallError(428, "no_version", message)
    match = VERSION_PATTERN.fullmatch(values[0].strip())
    if match is None or len(values) > 1:
        raise AdminCallError(400, "bad_version", "If-Match: must be one version.")
    return DocumentVersion(int(match[1]))


def _make_etag(version: DocumentVersion) -> tuple[str, str]:
    return "ETag", f'"{version}"'
