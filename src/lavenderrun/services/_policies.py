"""Names of the policies that a daemon uses; a benchmark replaces some by a baseline."""

from __future__ import annotations

from dataclasses import dataclass, fields

from lavenderrun.kernel import Kernel, UnknownNameError


@dataclass(frozen=True)
class PolicyNames:
    """Name of the policy in use, for each part that has several.

    :param queue: name in :data:`~lavenderrun.decisions.QUEUE_POLICIES`.
    :param promise: name in :data:`~lavenderrun.decisions.PROMISE_POLICIES`.
    :param placement: name in :data:`~lavenderrun.decisions.PLACEMENTS`.
    :param prefill: name in :data:`~lavenderrun.decisions.PREFILL_PLACEMENTS`.
    :param limits: name in :data:`~lavenderrun.decisions.LIMIT_POLICIES`.
    """

    queue: str = "fair"
    promise: str = "ahead"
    placement: str = "power"
    prefill: str = "affinity"
    limits: str = "slots"

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> PolicyNames:
        """Return the names provided as service ``policies``, else those in the settings.

        :raises UnknownNameError: when the settings name a part that has no policies.
        """
        if kernel.has("policies"):
            return kernel.find("policies", cls)
        named: dict[str, str] = getattr(kernel.settings, "policies", {})
        parts = sorted(field.name for field in fields(cls))
        for part in sorted(named.keys() - set(parts)):
            raise UnknownNameError("part with policies", part, parts)
        return cls(**named)
