"""Service ``admin``: the operators' HTTP API."""

from __future__ import annotations

import hmac
from typing import Any, ClassVar, Final

from eliot import log_message
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from lavenderrun.codecs import ApiError, parse_key
from lavenderrun.decisions import digest_key
from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._admin_endpoints import (
    AdminCall,
    AdminCallError,
    AdminReply,
    find_endpoint,
)
from lavenderrun.services._front_http import FrontFactory, FrontRequest
from lavenderrun.services._listener import Listener
from lavenderrun.types import AdminSettings, FrontSettings, StepError

BEARER_CHALLENGE: Final = [("WWW-Authenticate", "Bearer")]


class AdminService:
    """Serves the operators' HTTP API: authenticates each call and runs its endpoint.

    Every answer carries its request id. The log holds operator, method and path of each
    authenticated call, and the status of each answer.
    """

    needs: ClassVar[tuple[str, ...]] = (
        "metrics",
        "document",
        "links",
        "limits",
        "store",
        "quarantine",
    )

    def __init__(self, kernel: Kernel) -> None:
        settings: AdminSettings = kernel.settings.admin
        self.settings = FrontSettings(
            listen=settings.listen,
            certificate=settings.certificate,
            private_key=settings.private_key,
            max_body=settings.max_body,
            max_plain_body=settings.max_body,
            idle=settings.idle,
        )
        self._kernel = kernel
        self._operators = dict(settings.operators)
        self._listener: Listener | None = None
        self._factory: FrontFactory | None = None

    @property
    def address(self) -> str:
        """The IP address and port that operators reach; empty before ``start``."""
        return self._listener.address if self._listener is not None else ""

    def make_factory(self, reactor: IReactorTime) -> FrontFactory:
        """Return the factory of operators' connections; *reactor* runs their timeouts."""
        self._factory = FrontFactory(self, reactor)
        return self._factory

    def start(self) -> None:
        """Open the port for operators."""
        tls = (self.settings.certificate, self.settings.private_key)
        self._listener = Listener(self.settings.listen, tls if any(tls) else None)
        self._listener.open(self.make_factory)
        log_message(
            "admin:listening",
            text="admin: listening for operators",
            address=self.address,
            operators=sorted(self._operators),
        )

    def stop(self) -> None:
        """Stop accepting connections and close each open one as soon as it is idle."""
        if self._listener is not None:
            self._listener.close()
        if self._factory is not None:
            self._factory.account.is_leaving = True
            for channel in list(self._factory.channels):
                channel.close_when_idle()

    def serve(self, request: FrontRequest) -> None:
        """Answer a call; every failure is answered with a status and an error code."""
        disconnects: list[Failure] = []
        request.notifyFinish().addErrback(disconnects.append)
        reply: Deferred[AdminReply] = maybeDeferred(self._run_endpoint, request)
        reply.addErrback(_make_error_reply).addCallback(self._answer, request, disconnects)

    def _run_endpoint(self, request: FrontRequest) -> Any:
        method, path = request.method.decode("latin-1"), request.path.decode("latin-1")
        endpoint, parts = find_endpoint(method, path)
        operator = "" if endpoint.is_public else self._authenticate(request)
        call = AdminCall(operator, parts, request.read_body(), request.find_headers)
        if not endpoint.is_public:
            log_message(
                "admin:call",
                text="admin: call by an operator",
                operator=operator,
                method=method,
                path="/".join(endpoint.path),
                request=request.id,
            )
        return endpoint.handler(self._kernel, call)

    def _authenticate(self, request: FrontRequest) -> str:
        """Return the operator whose key came with a call.

        :raises AdminCallError: when the key is missing, malformed or unknown.
        """
        try:
            key = parse_key(request.find_headers("Authorization"))
        except ApiError as error:
            raise AdminCallError(401, "no_key", error.message) from None
        if key is None:
            message = "Authorization: is missing; send 'Authorization: Bearer KEY'."
            raise AdminCallError(401, "no_key", message)
        digest = digest_key(key)
        # compares every digest, each in constant time, so that timing reveals no key
        matches = [hmac.compare_digest(digest, known) for known in self._operators.values()]
        for name, is_match in zip(self._operators, matches, strict=True):
            if is_match:
                return name
        log_message("admin:unknown_key", text="admin: unknown key", request=request.id)
        raise AdminCallError(401, "unknown_key", "The key is no operator's.")

    def _answer(self, reply: AdminReply, request: FrontRequest, disconnects: list[Failure]) -> None:
        log_message(
            "admin:answered",
            text="admin: call answered",
            status=reply.status,
            request=request.id,
        )
        if disconnects:
            return
        headers = [("Content-Type", reply.content_type), ("Content-Length", str(len(reply.body)))]
        challenge = BEARER_CHALLENGE if reply.status == 401 else []
        request.put_head(reply.status, headers + reply.headers + challenge)
        request.write(reply.body)
        request.finish()


def _make_error_reply(failure: Failure) -> AdminReply:
    error = failure.value
    if isinstance(error, AdminCallError):
        return error.to_reply()
    if isinstance(error, StepError):
        return AdminCallError(503, f"{error.step.value}_unavailable", str(error)).to_reply()
    log_message(
        "admin:failed",
        text="admin: call failed with an unexpected error",
        error=type(error).__name__,
    )
    return AdminCallError(500, "internal", "The call failed inside; see the log.").to_reply()


@SERVICES.register("admin")
def make_admin(kernel: Kernel) -> AdminService:
    """Return the service that serves the operators' HTTP API."""
    return AdminService(kernel)
