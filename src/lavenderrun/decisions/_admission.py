"""Admission: finds the client account of a key and the route of a request."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from typing import Final

from lavenderrun.decisions._paths import RouteTable, normalize_path
from lavenderrun.decisions._tokens import estimate_tokens
from lavenderrun.dispatch import MAX_SHARED_PARTS, digest_key
from lavenderrun.types import (
    AccountId,
    AdmittedModel,
    AdmittedPlain,
    Document,
    Fingerprint,
    KeyDigest,
    ModelRequest,
    Outcome,
    PartId,
    PlainRequest,
    Refusal,
    Refused,
    Step,
)

OPEN_ROUTE_WEIGHT: Final = 1.0
MAX_KEY_CHARACTERS: Final = 512
PLACEHOLDER_DIGEST: Final = KeyDigest("sha256:" + "0" * 64)


@dataclass(frozen=True)
class _KeyOwner:
    account: AccountId
    weight: float
    digest: KeyDigest


class AdmissionIndex:
    """Lookup tables for one version of the document.

    A key is hashed before the lookup, so that the time of the lookup reveals nothing about stored
    keys. Digests are compared in constant time, also when no stored digest matches.
    """

    def __init__(self, document: Document) -> None:
        self._owners = {
            digest: _KeyOwner(account.id, account.weight, digest)
            for account in document.accounts
            for digest in account.keys
        }
        self._model_routes = {route.model: route for route in document.model_routes}
        self._plain_routes = RouteTable(document.plain_routes)

    @property
    def digests(self) -> dict[KeyDigest, AccountId]:
        """Return the account of each key digest."""
        return {digest: owner.account for digest, owner in self._owners.items()}

    def owns(self, account: AccountId, digest: KeyDigest) -> bool:
        """Tell whether the key of *digest* belongs to *account*."""
        owner = self._owners.get(digest)
        return owner is not None and owner.account == account

    def admit_model(self, request: ModelRequest) -> AdmittedModel | Refused:
        """Return the account and the route of a model request, or its refusal."""
        owner = self._find_owner(request.key)
        if isinstance(owner, Refused):
            return owner
        route = self._model_routes.get(request.model)
        if route is None:
            return _refuse(Refusal.UNKNOWN_MODEL, "no route to this model")
        if route.accounts and owner.account not in route.accounts:
            return _refuse(Refusal.ROUTE_NOT_ALLOWED, "route not open to this client account")
        if estimate_tokens(request.prompt) > route.max_prompt_tokens:
            detail = f"prompt is longer than {route.max_prompt_tokens} tokens"
            return _refuse(Refusal.TOO_LARGE, detail)
        content = _hash(request.prompt.encode("utf-8", "surrogatepass"))
        fingerprint = _fingerprint(owner.account, route.name, content)
        return AdmittedModel(owner.account, owner.digest, owner.weight, fingerprint, route)

    def admit_plain(self, request: PlainRequest) -> AdmittedPlain | Refused:
        """Return the account and the route of a plain request, or its refusal."""
        path = normalize_path(request.path)
        if path is None:
            return _refuse(Refusal.BAD_REQUEST, "path is ambiguous")
        route = self._plain_routes.find(path, request.method)
        if route is None:
            return _refuse(Refusal.UNKNOWN_PATH, "no route for this path and method")
        if len(request.body) > route.max_body:
            return _refuse(Refusal.TOO_LARGE, f"body is larger than {route.max_body} bytes")
        content = _hash(
            f"{request.method} {request.path}\n".encode("utf-8", "surrogatepass"), request.body
        )
        if route.open:
            fingerprint = _fingerprint("", route.name, content)
            return AdmittedPlain(None, None, OPEN_ROUTE_WEIGHT, fingerprint, route)
        owner = self._find_owner(request.key)
        if isinstance(owner, Refused):
            return owner
        if route.accounts and owner.account not in route.accounts:
            return _refuse(Refusal.ROUTE_NOT_ALLOWED, "route not open to this client account")
        fingerprint = _fingerprint(owner.account, route.name, content)
        return AdmittedPlain(owner.account, owner.digest, owner.weight, fingerprint, route)

    def _find_owner(self, key: str | None) -> _KeyOwner | Refused:
        if key is None:
            return _refuse(Refusal.NO_KEY, "a key is needed")
        if not key or len(key) > MAX_KEY_CHARACTERS:
            return _refuse(Refusal.UNKNOWN_KEY, "key is not known")
        digest = digest_key(key)
        owner = self._owners.get(digest)
        stored = PLACEHOLDER_DIGEST if owner is None else owner.digest
        if not hmac.compare_digest(stored, digest) or owner is None:
            return _refuse(Refusal.UNKNOWN_KEY, "key is not known")
        return owner


def find_shared_parts(prompt: str) -> tuple[PartId, ...]:
    """Return the parts of a prompt that other requests may have too: all its lines but the last."""
    lines = prompt.split("\n", MAX_SHARED_PARTS)[:-1]
    shared = (line.encode("utf-8", "surrogatepass") for line in lines if line)
    return tuple(dict.fromkeys(PartId(_hash(line)[:16]) for line in shared))


def _hash(*parts: bytes) -> str:
    content = hashlib.sha256()
    for part in parts:
        content.update(part)
    return content.hexdigest()


def _fingerprint(account: str, route: str, content: str) -> Fingerprint:
    return Fingerprint(_hash(f"{account}\n{route}\n{content}".encode())[:32])


def _refuse(refusal: Refusal, detail: str) -> Refused:
    return Refused(refusal, Outcome.NOT_RUN, Step.ADMISSION, detail=detail)
