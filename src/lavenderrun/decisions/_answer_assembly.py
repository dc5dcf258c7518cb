"""Assembly of one answer from frames that may come late, twice or out of order."""

from __future__ import annotations

from dataclasses import dataclass

from lavenderrun.types import AttemptId, FinishReason

MAX_EARLY_FRAMES = 256


@dataclass(frozen=True)
class AnswerProgress:
    """Tokens that a frame added to the answer.

    :param tokens: the next tokens in order, empty for a late or repeated frame.
    :param finish: set once the answer is complete.
    :param gap: tokens before a received frame are still missing.
    """

    tokens: list[str]
    finish: FinishReason | None = None
    gap: bool = False


NO_PROGRESS = AnswerProgress([])


class AnswerAssembly:
    """Tokens of one answer, put in order over all its attempts.

    :ivar offset: tokens delivered so far.
    :ivar finished: the answer is complete.
    """

    def __init__(self) -> None:
        self.offset = 0
        self.finished = False
        self._attempt = AttemptId(0)
        self._early: dict[int, tuple[list[str], FinishReason | None]] = {}

    def begin(self, attempt: AttemptId) -> None:
        """Accept only frames of *attempt* from now on; frames of earlier attempts are dropped."""
        self._attempt = attempt
        self._early.clear()

    def accept(
        self, attempt: AttemptId, offset: int, tokens: list[str], finish: FinishReason | None
    ) -> AnswerProgress:
        """Accept a frame and return what it adds to the answer.

        :param offset: number of answer tokens before the frame.
        """
        if attempt != self._attempt or self.finished:
            return NO_PROGRESS
        if offset > self.offset:
            if len(self._early) < MAX_EARLY_FRAMES:
                self._early[offset] = (tokens, finish)
            return AnswerProgress([], gap=True)
        added = self._append(offset, tokens)
        while finish is None and self.offset in self._early:
            more, finish = self._early.pop(self.offset)
            added += self._append(self.offset, more)
        self.finished = finish is not None
        return AnswerProgress(added, finish, gap=bool(self._early) and not self.finished)

    def _append(self, offset: int, tokens: list[str]) -> list[str]:
        added = tokens[self.offset - offset :]
        self.offset += len(added)
        return added
