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

CHALLENGE: Final = [("WWW-Authenticate", "Bearer")]


class AdminService:
    """Finds the operator and the endpoint of each call.

    Every answer names its request id; a log line names operator, method, path and status.
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
        """The IP number and port that operators reach, once started."""
        return self._listener.address if self._listener is not None else ""

    def make_factory(self, reactor: IReactorTime) -> FrontFactory:
        """Return the factory of operators' connections; their timeouts run on *reactor*."""
        self._factory = FrontFactory(self, reactor)
        return self._factory

    def start(self) -> None:
        """Listen for operators."""
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
        """Take no new connection and close those that are idle."""
        if self._listener is not None:
            self._listener.close()
        for channel in list(self._factory.channels) if self._factory else []:
            channel.close_when_idle()

    def serve(self, request: FrontRequest) -> None:
        """Answer a call; whatever is wrong with it gets a clear answer."""
        gone: list[Failure] = []
        request.notifyFinish().addErrback(gone.append)
        done: Deferred[AdminReply] = maybeDeferred(self._run, request)
        done.addErrback(_to_reply).addCallback(self._answer, request, gone)

    def _run(self, request: FrontRequest) -> Any:
        method, path = request.method.decode("latin-1"), request.path.decode("latin-1")
        endpoint, parts = find_endpoint(method, path)
        operator = "" if endpoint.is_open else self._find_operator(request)
        call = AdminCall(operator, parts, request.read_body(), request.find_headers)
        if not endpoint.is_open:
            log_message(
                "admin:call",
                text="admin: operator calls",
                operator=operator,
                method=method,
                path="/".join(endpoint.path),
                request=request.id,
            )
        return endpoint.handler(self._kernel, call)

    def _find_operator(self, request: FrontRequest) -> str:
        """Return whose key came with a call.

        :raises AdminCallError: when it is nobody's; every digest is compared, in constant time.
        """
        try:
            key = parse_key(request.find_headers("Authorization"))
        except ApiError as error:
            raise AdminCallError(401, "no_key", error.message) from None
        if key is None:
            message = "Authorization: is missing; send 'Authorization: Bearer KEY'."
            raise AdminCallError(401, "no_key", message)
        digest = digest_key(key)
        holds = [hmac.compare_digest(digest, known) for known in self._operators.values()]
        for name, held in zip(self._operators, holds, strict=True):
            if held:
                return name
        log_message("admin:unknown_key", text="admin: key is not known", request=request.id)
        raise AdminCallError(401, "unknown_key", "The key is no operator's.")

    def _answer(self, reply: AdminReply, request: FrontRequest, gone: list[Failure]) -> None:
        log_message(
            "admin:answered",
            text="admin: call answered",
            status=reply.status,
            request=request.id,
        )
        if gone:
            return
        headers = [("Content-Type", reply.content_type), ("Content-Length", str(len(reply.body)))]
        challenge = CHALLENGE if reply.status == 401 else []
        request.put_head(reply.status, headers + reply.headers + challenge)
        request.write(reply.body)
        request.finish()


def _to_reply(failure: Failure) -> AdminReply:
    error = failure.value
    if isinstance(error, AdminCallError):
        return error.to_reply()
    if isinstance(error, StepError):
        return AdminCallError(503, f"{error.step.value}_unavailable", str(error)).to_reply()
    log_message("admin:failed", text="admin: call failed inside", error=type(error).__name__)
    return AdminCallError(500, "internal", "The call failed inside; see the log.").to_reply()


@SERVICES.register("admin")
def make_admin(kernel: Kernel) -> AdminService:
    """Make the service."""
    return AdminService(kernel)
