"""One HTTP call with twisted's client; import this after the reactor is installed."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.ssl import Certificate, trustRootFromCertificates
from twisted.web.client import Agent, BrowserLikePolicyForHTTPS, readBody
from twisted.web.http_headers import Headers

from lavenderrun.services import BytesBody

CONNECT_TIMEOUT_SECONDS = 5.0


def fetch(
    reactor: Any,
    method: str,
    url: str,
    headers: dict[str, str],
    body: bytes,
    authority: bytes | None,
) -> Deferred[tuple[int, bytes]]:
    """Make one HTTP call and return status and body.

    :param authority: PEM of the trusted certificate authority; ``None`` for the system's.
    """
    trusted = None
    if authority is not None:
        trusted = trustRootFromCertificates([Certificate.loadPEM(authority)])
    agent = Agent(
        reactor, BrowserLikePolicyForHTTPS(trusted), connectTimeout=CONNECT_TIMEOUT_SECONDS
    )
    fields = Headers({name: [value] for name, value in headers.items()})
    producer: Any = BytesBody(body) if body else None
    call = agent.request(method.encode(), url.encode(), fields, producer)

    def read(response: Any) -> Deferred[tuple[int, bytes]]:
        whole: Deferred[bytes] = readBody(response)
        return whole.addCallback(lambda content: (int(response.code), content))

    return call.addCallback(read)
