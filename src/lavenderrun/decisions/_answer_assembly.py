"""Assembly of one answer from frames that may come late, twice or out of order."""

from __future__ import annotations

from dataclasses import dataclass

from lavenderrun.types import AttemptId, FinishReason

MAX_EARLY_FRAMES = 256


@dataclass(frozen=True)
class AnswerProgress:
    """What a frame added to the answer.

    :param tokens: the next tokens in order, none for a late or repeated frame.
    :param finish: set once the answer is whole.
    :param gap: tokens before this frame are still missing.
    """

    tokens: list[str]
    finish: FinishReason | None = None
    gap: bool = False


NOTHING = AnswerProgress([])


class AnswerAssembly:
    """The tokens of one answer over all its attempts.

    :ivar offset: tokens delivered so far.
    """

    def __init__(self) -> None:
        self.offset = 0
        self.finished = False
        self._attempt = AttemptId(0)
        self._early: dict[int, tuple[list[str], FinishReason | None]] = {}

    def begin(self, attempt: AttemptId) -> None:
        """Take frames of *attempt* from now on; those of earlier attempts are dropped."""
        self._attempt = attempt
        self._early.clear()

    def accept(
        self, attempt: AttemptId, offset: int, tokens: list[str], finish: FinishReason | None
    ) -> AnswerProgress:
        """Take one frame and return what it adds."""
        if attempt != self._attempt or self.finished:
            return NOTHING
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
