"""Micro-kernel: services with names, the clock interface and the registries."""

from __future__ import annotations

from lavenderrun.kernel._clock import Clock, GuardedClock, ReactorClock, Timer, sleep
from lavenderrun.kernel._errors import KernelError, ServiceStartError, UnknownServiceError
from lavenderrun.kernel._kernel import SERVICES, Kernel, Service, ServiceFactory
from lavenderrun.kernel._registry import Registry, UnknownNameError

__all__ = [
    "SERVICES",
    "Clock",
    "GuardedClock",
    "Kernel",
    "KernelError",
    "ReactorClock",
    "Registry",
    "Service",
    "ServiceFactory",
    "ServiceStartError",
    "Timer",
    "UnknownNameError",
    "UnknownServiceError",
    "sleep",
]
