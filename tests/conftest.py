from __future__ import annotations

from hypothesis import HealthCheck, settings

# deterministic results: the same examples in every run, and no time limits
settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("repeatable")
