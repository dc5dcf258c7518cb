"""Errors of the kernel."""

from __future__ import annotations


class KernelError(Exception):
    """The services of a daemon cannot be assembled."""


class UnknownServiceError(KernelError):
    """A service was requested that is not part of this daemon."""


class ServiceStartError(KernelError):
    """A service failed to start; those started before it have been stopped.

    :param service: name of the service that failed.
    :param cause: the exception that its start raised.
    """

    def __init__(self, service: str, cause: BaseException) -> None:
        super().__init__(f"service {service!r} did not start: {cause}")
        self.service = service
        self.cause = cause
