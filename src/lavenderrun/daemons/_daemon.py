"""The daemon of an entry or an agent: a kernel with the services of its role."""

from __future__ import annotations

from datetime import timedelta
from typing import Final

from eliot import log_message

from lavenderrun.daemons._service_lists import (
    AGENT_PAGES,
    ENTRY_PAGES,
    ENTRY_SERVICES,
    list_agent_services,
)
from lavenderrun.kernel import Clock, Kernel, sleep
from lavenderrun.services import (
    AdminService,
    FrontService,
    MetricsPageService,
    check_readiness,
    check_tls_files,
)
from lavenderrun.types import AgentSettings, EntrySettings

READY_CHECK_INTERVAL: Final = timedelta(milliseconds=20)


class Daemon:
    """An entry or an agent, chosen by the type of *settings*.

    :raises CertificateError: a certificate for the links between daemons cannot be used; names
        the setting.
    :raises ListenError: the certificate of the callers' or the operators' listener cannot be
        used; names the setting.
    """

    def __init__(self, clock: Clock, settings: EntrySettings | AgentSettings) -> None:
        self.kernel = Kernel(clock, settings)
        self._clock = clock
        self._settings = settings
        self._running = False
        # pages go first, because the departure must be the last service in the list
        if isinstance(settings, EntrySettings):
            check_tls_files("front", settings.front.certificate, settings.front.private_key)
            check_tls_files("admin", settings.admin.certificate, settings.admin.private_key)
            self.kernel.build(ENTRY_PAGES + ENTRY_SERVICES)
        else:
            self.kernel.build(AGENT_PAGES + list_agent_services(settings.serves.role))

    async def start(self) -> None:
        """Start all services."""
        await self.kernel.start()
        self._running = True
        self._log("started", "daemon: started", **self.describe())

    async def wait_ready(self) -> None:
        """Wait until an entry is ready for callers, or until the daemon stops."""
        while self._running and not check_readiness(self.kernel).ready:
            await sleep(self._clock, READY_CHECK_INTERVAL)

    async def stop(self) -> None:
        """Stop as planned: refuse new work, finish running work, then stop all services."""
        self._running = False
        await self.kernel.stop()
        self._log("stopped", "daemon: stopped")

    def describe(self) -> dict[str, str]:
        """Return the host id and the addresses of the daemon's listeners."""
        hello = self._settings.hello()
        if isinstance(self._settings, AgentSettings):
            page = self.kernel.find("metrics_page", MetricsPageService).address
            return {"host": hello.host, "peers": hello.address, "metrics": page}
        front = self.kernel.find("front", FrontService)
        admin = self.kernel.find("admin", AdminService)
        return {
            "host": hello.host,
            "peers": hello.address,
            "url": f"{_scheme(front.settings.certificate)}://{front.address}",
            "admin": f"{_scheme(admin.settings.certificate)}://{admin.address}",
        }

    def _log(self, kind: str, text: str, **fields: str) -> None:
        log_message(f"daemon:{kind}", text=text, **{"host": self._settings.host.id, **fields})


def _scheme(certificate: str | None) -> str:
    return "http" if certificate is None else "https"
