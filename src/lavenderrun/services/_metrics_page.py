"""Service ``metrics_page``: the metrics of a daemon without operators' API, on their own port."""

from __future__ import annotations

from typing import ClassVar

from eliot import log_message

from lavenderrun.codecs import encode_admin
from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._front_http import FrontFactory, FrontRequest
from lavenderrun.services._listener import Listener
from lavenderrun.services._metrics import MetricsService
from lavenderrun.types import FrontSettings, MetricsSettings, Outcome, Refusal, Refused, Step


class MetricsPageService:
    """Serves ``/metrics`` and ``/healthz``, unless the settings give it no address."""

    needs: ClassVar[tuple[str, ...]] = ("metrics",)

    def __init__(self, kernel: Kernel) -> None:
        settings: MetricsSettings = kernel.settings.metrics
        self._kernel = kernel
        self.settings = FrontSettings()
        self._listener = Listener(settings.listen, None) if settings.listen else None

    @property
    def address(self) -> str:
        """The IP address and port that are open, empty when the page is not served."""
        return self._listener.address if self._listener is not None else ""

    def start(self) -> None:
        """Open the port, if the settings give an address."""
        if self._listener is not None:
            self._listener.open(lambda reactor: FrontFactory(self, reactor))
            log_message(
                "metrics:listening",
                text="metrics: serving the page",
                address=self._listener.address,
            )

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._listener is not None:
            self._listener.close()

    def serve(self, request: FrontRequest) -> None:
        """Answer a request for a page, or refuse an unknown path."""
        page = (request.method, request.path)
        if page == (b"GET", b"/metrics"):
            metrics = self._kernel.find("metrics", MetricsService)
            body, headers = metrics.render(request.find_headers("Accept"))
            length = ("Content-Length", str(len(body)))
            request.put_head(200, [*headers.items(), length])
            request.write(body)
            request.finish()
        elif page == (b"GET", b"/healthz"):
            request.answer(200, encode_admin({"healthy": True}), [])
        else:
            request.answer_refused(Refused(Refusal.UNKNOWN_PATH, Outcome.NOT_RUN, Step.ADMISSION))


@SERVICES.register("metrics_page")
def make_metrics_page(kernel: Kernel) -> MetricsPageService:
    """Return the service that serves the metrics page."""
    return MetricsPageService(kernel)
