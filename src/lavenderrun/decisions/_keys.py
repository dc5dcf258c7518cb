"""Adds a key to a document or removes one."""

from __future__ import annotations

from collections.abc import Callable

from lavenderrun.types import Account, AccountId, Document, KeyDigest


def grant_key(document: Document, account: AccountId, digest: KeyDigest) -> Document | None:
    """Return the document with the key added to *account*.

    Returns ``None`` when the document has no such account or another account has the key.
    """
    if any(digest in other.keys for other in document.accounts):
        return document if _holds(document, account, digest) else None
    return _replace_keys(document, account, lambda keys: [*keys, digest])


def withdraw_key(document: Document, account: AccountId, digest: KeyDigest) -> Document | None:
    """Return the document without the key, ``None`` when *account* does not have it."""
    if not _holds(document, account, digest):
        return None
    return _replace_keys(document, account, lambda keys: [key for key in keys if key != digest])


def _holds(document: Document, account: AccountId, digest: KeyDigest) -> bool:
    return any(other.id == account and digest in other.keys for other in document.accounts)


def _replace_keys(
    document: Document, account: AccountId, change: Callable[[list[KeyDigest]], list[KeyDigest]]
) -> Document | None:
    if all(other.id != account for other in document.accounts):
        return None

    def replace(other: Account) -> Account:
        if other.id != account:
            return other
        return other.model_copy(update={"keys": change(other.keys)})

    return document.model_copy(update={"accounts": [replace(a) for a in document.accounts]})
