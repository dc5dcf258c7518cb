"""Headers of the callers' API: API key, idempotency key and headers to forward."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from lavenderrun.codecs._api_errors import ApiError
from lavenderrun.types import HOP_BY_HOP, IdempotencyKey, Refusal

MAX_KEY_LENGTH = 512  # characters
MAX_IDEMPOTENCY_KEY_LENGTH = 255  # characters

KEY_HEADER = "authorization"

_BEARER = re.compile(r"bearer +([A-Za-z0-9._~+/=-]+)", re.IGNORECASE)
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]+")


def parse_key(values: Sequence[str]) -> str | None:
    """Return the bearer key of the ``Authorization`` headers, ``None`` when there is none.

    :raises ApiError: when the header holds no bearer key; the message never contains its value.
    """
    if not values:
        return None
    if len(values) > 1:
        raise ApiError(Refusal.NO_KEY, "Authorization: sent more than once.", "Authorization")
    match = _BEARER.fullmatch(values[0].strip())
    if match is None or len(match[1]) > MAX_KEY_LENGTH:
        message = "Authorization: must be 'Bearer KEY'."
        raise ApiError(Refusal.NO_KEY, message, "Authorization")
    return match[1]


def parse_idempotency_key(values: Sequence[str]) -> IdempotencyKey | None:
    """Return the value of the ``Idempotency-Key`` headers, ``None`` when there is none.

    :raises ApiError: when it is repeated, empty, too long or not visible ASCII.
    """
    if not values:
        return None
    name = "Idempotency-Key"
    if len(values) > 1:
        raise ApiError(Refusal.BAD_REQUEST, f"{name}: sent more than once.", name)
    value = values[0].strip()
    if len(value) > MAX_IDEMPOTENCY_KEY_LENGTH or not _IDEMPOTENCY_KEY.fullmatch(value):
        message = f"{name}: must be 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} visible ASCII characters."
        raise ApiError(Refusal.BAD_REQUEST, message, name)
    return IdempotencyKey(value)


def strip_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the end-to-end headers without the key.

    Headers that a ``Connection`` header names are hop-by-hop as well.
    """
    pairs = list(headers)
    dropped = set(HOP_BY_HOP) | {KEY_HEADER}
    for name, value in pairs:
        if name.lower() == "connection":
            dropped.update(token.strip().lower() for token in value.split(","))
    return [(name, value) for name, value in pairs if name.lower() not in dropped]
