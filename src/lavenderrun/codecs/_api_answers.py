"""Answers to model requests: whole JSON bodies and server-sent events."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime

import msgspec

from lavenderrun.codecs._api_errors import encode_error
from lavenderrun.codecs._api_requests import ApiForm
from lavenderrun.types import FinishReason, ModelName, Refused, RequestId

DONE_EVENT = b"data: [DONE]\n\n"


class _ModelEntry(msgspec.Struct):
    id: str
    object: str = "model"
    owned_by: str = "lavenderrun"


class _ModelList(msgspec.Struct):
    data: list[_ModelEntry]
    object: str = "list"


class _Usage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class _Message(msgspec.Struct):
    role: str
    content: str


class _ChatChoice(msgspec.Struct):
    message: _Message
    finish_reason: str
    index: int = 0


class _TextChoice(msgspec.Struct):
    text: str
    finish_reason: str
    index: int = 0
    logprobs: None = None


class _AnswerBody(msgspec.Struct):
    id: str
    object: str
    created: int
    model: str
    choices: list[_ChatChoice | _TextChoice]
    usage: _Usage


def encode_models(names: Iterable[ModelName]) -> bytes:
    """Return the body of ``GET /v1/models``."""
    return msgspec.json.encode(_ModelList([_ModelEntry(name) for name in names]))


def encode_error_event(refused: Refused) -> bytes:
    """Return the event with the error that ends a broken stream."""
    return b"data: " + encode_error(refused) + b"\n\n"


class AnswerCodec:
    """Encodes the answer to one model request.

    :param created: time at which the request arrived.
    """

    def __init__(
        self, form: ApiForm, request: RequestId, model: ModelName, created: datetime
    ) -> None:
        self._chat = form is ApiForm.CHAT
        self._id = f"{'chatcmpl' if self._chat else 'cmpl'}-{request}"
        self._model = model
        self._created = int(created.timestamp())
        # events differ only in their text, so the rest is encoded once
        self._event_start, self._event_end = self._encode_event_parts()

    def encode_event(self, text: str, finish: FinishReason | None = None) -> bytes:
        """Return one server-sent event with *text*."""
        if finish is None:
            return self._event_start + msgspec.json.encode(text) + self._event_end
        reason = b'"finish_reason":"' + finish.value.encode() + b'"'
        end = self._event_end.replace(b'"finish_reason":null', reason)
        return self._event_start + msgspec.json.encode(text) + end

    def encode_whole(
        self, text: str, finish: FinishReason, *, prompt_tokens: int, tokens: int
    ) -> bytes:
        """Return the complete answer as JSON.

        :param tokens: number of tokens in the answer.
        """
        choice: _ChatChoice | _TextChoice
        if self._chat:
            choice = _ChatChoice(_Message("assistant", text), finish.value)
        else:
            choice = _TextChoice(text, finish.value)
        kind = "chat.completion" if self._chat else "text_completion"
        usage = _Usage(prompt_tokens, tokens, prompt_tokens + tokens)
        answer = _AnswerBody(self._id, kind, self._created, self._model, [choice], usage)
        return msgspec.json.encode(answer)

    def _encode_event_parts(self) -> tuple[bytes, bytes]:
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        head = msgspec.json.encode(
            {"id": self._id, "object": kind, "created": self._created, "model": self._model}
        )
        start = b"data: " + head[:-1] + b',"choices":[{"index":0,'
        if self._chat:
            return start + b'"delta":{"content":', b'},"finish_reason":null}]}\n\n'
        return start + b'"text":', b',"finish_reason":null}]}\n\n'
