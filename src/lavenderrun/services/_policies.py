"""Names of the policies that a daemon uses; a benchmark swaps one for its baseline."""

from __future__ import annotations

from dataclasses import dataclass, fields

from lavenderrun.kernel import Kernel, UnknownNameError


@dataclass(frozen=True)
class PolicyNames:
    """One name for each part whose behaviour varies.

    :param queue: of :data:`~lavenderrun.decisions.QUEUE_POLICIES`.
    :param promise: of :data:`~lavenderrun.decisions.PROMISE_POLICIES`.
    :param placement: of :data:`~lavenderrun.decisions.PLACEMENTS`.
    :param prefill: of :data:`~lavenderrun.decisions.PREFILL_PLACEMENTS`.
    :param limits: of :data:`~lavenderrun.decisions.LIMIT_POLICIES`.
    """

    queue: str = "fair"
    promise: str = "ahead"
    placement: str = "power"
    prefill: str = "affinity"
    limits: str = "slots"

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> PolicyNames:
        """Return those provided under ``policies``, else those that the settings name.

        :raises UnknownNameError: when the settings name a part that has no policies.
        """
        if kernel.has("policies"):
            return kernel.find("policies", cls)
        named: dict[str, str] = getattr(kernel.settings, "policies", {})
        parts = sorted(each.name for each in fields(cls))
        for part in sorted(named.keys() - set(parts)):
            raise UnknownNameError("part with policies", part, parts)
        return cls(**named)
