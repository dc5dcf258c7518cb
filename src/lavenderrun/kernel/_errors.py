"""Errors of the kernel."""

from __future__ import annotations


class KernelError(Exception):
    """A fault in the assembly of services."""


class UnknownServiceError(KernelError):
    """A service was asked for that is not part of this kernel."""


class ServiceStartError(KernelError):
    """A service did not start; those started before it have been stopped.

    :param service: name of the service that failed.
    :param cause: what its start raised.
    """

    def __init__(self, service: str, cause: BaseException) -> None:
        super().__init__(f"service {service!r} did not start: {cause}")
        self.service = service
        self.cause = cause
