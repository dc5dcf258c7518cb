"""Bodies of model requests in the callers' API."""

from __future__ import annotations

import re
from collections.abc import Callable
from enum import Enum
from typing import Annotated, Literal, TypeVar

import msgspec

from lavenderrun.codecs._api_errors import ApiError
from lavenderrun.types import ModelName, Refusal

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 1 << 20

T = TypeVar("T")


class ApiForm(Enum):
    """Form of a model request: text completion or chat."""

    COMPLETION = "completion"
    CHAT = "chat"


class ModelCall(msgspec.Struct, frozen=True):
    """A validated body of a model request.

    :param stream: whether the answer is sent as server-sent events.
    """

    form: ApiForm
    model: ModelName
    prompt: str
    max_tokens: int
    stream: bool


_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Tokens = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS_LIMIT)]


class _CompletionBody(msgspec.Struct):
    model: _Name
    prompt: str | list[str]
    max_tokens: _Tokens | None = None
    stream: bool | None = None
    n: int | None = None


class _TextPart(msgspec.Struct):
    type: Literal["text"]
    text: str


class _ChatMessage(msgspec.Struct):
    role: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    content: str | list[_TextPart]


class _ChatBody(msgspec.Struct):
    model: _Name
    messages: Annotated[list[_ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: _Tokens | None = None
    max_completion_tokens: _Tokens | None = None
    stream: bool | None = None
    n: int | None = None


def parse_completion(body: bytes) -> ModelCall:
    """Return the call in a ``/v1/completions`` body.

    :raises ApiError: names the invalid field.
    """
    parsed = _decode(body, _decode_completion)
    _check_choices(parsed.n)
    prompt = parsed.prompt
    if isinstance(prompt, list):
        if len(prompt) != 1:
            raise ApiError(Refusal.BAD_REQUEST, "prompt: must be one text.", "prompt")
        prompt = prompt[0]
    if not prompt:
        raise ApiError(Refusal.BAD_REQUEST, "prompt: must not be empty.", "prompt")
    return ModelCall(
        ApiForm.COMPLETION,
        ModelName(parsed.model),
        prompt,
        parsed.max_tokens or DEFAULT_MAX_TOKENS,
        bool(parsed.stream),
    )


def parse_chat(body: bytes) -> ModelCall:
    """Return the call in a ``/v1/chat/completions`` body.

    :raises ApiError: names the invalid field.
    """
    parsed = _decode(body, _decode_chat)
    _check_choices(parsed.n)
    return ModelCall(
        ApiForm.CHAT,
        ModelName(parsed.model),
        _join_messages(parsed.messages),
        parsed.max_completion_tokens or parsed.max_tokens or DEFAULT_MAX_TOKENS,
        bool(parsed.stream),
    )


_decode_completion = msgspec.json.Decoder(_CompletionBody).decode
_decode_chat = msgspec.json.Decoder(_ChatBody).decode
_LOCATED_ERROR = re.compile(r"(?P<text>.*) - at `\$\.?(?P<field>[^`]*)`", re.DOTALL)
_MISSING_FIELD = re.compile(r"Object missing required field `(?P<field>[^`]*)`")


def _decode(body: bytes, decode: Callable[[bytes], T]) -> T:
    try:
        body.decode("utf-8")
        return decode(body)
    except UnicodeDecodeError as error:
        message = f"body: not UTF-8 at byte {error.start}."
        raise ApiError(Refusal.BAD_REQUEST, message, "body") from None
    except msgspec.ValidationError as error:
        raise _make_field_error(str(error)) from None
    except msgspec.DecodeError as error:
        message = f"body: not JSON: {error}."
        raise ApiError(Refusal.BAD_REQUEST, message, "body") from None
    except RecursionError:
        message = "body: JSON is nested too deeply."
        raise ApiError(Refusal.BAD_REQUEST, message, "body") from None


def _make_field_error(text: str) -> ApiError:
    path = _LOCATED_ERROR.fullmatch(text)
    field = path["field"] if path else ""
    text = path["text"] if path else text
    missing = _MISSING_FIELD.fullmatch(text)
    if missing:
        field = f"{field}.{missing['field']}" if field else missing["field"]
        text = "is missing"
    message = f"{field or 'body'}: {text[:1].lower()}{text[1:]}."
    return ApiError(Refusal.BAD_REQUEST, message, field or "body")


def _check_choices(count: int | None) -> None:
    if count not in (None, 1):
        raise ApiError(Refusal.BAD_REQUEST, "n: only 1 is served.", "n")


def _join_messages(messages: list[_ChatMessage]) -> str:
    lines = []
    for item in messages:
        content = item.content
        if not isinstance(content, str):
            content = "".join(part.text for part in content)
        lines.append(f"{item.role}: {content}")
    lines.append("assistant:")
    return "\n".join(lines)
