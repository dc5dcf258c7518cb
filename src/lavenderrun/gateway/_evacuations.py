"""Service ``evacuations``: which data centres operators evacuate, by the store and the peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import ClassVar

from lavenderrun.dispatch import EvacuationNotice, Evacuations
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._log import log, to_milliseconds
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._ports import RowChange
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._rows import RowStore
from lavenderrun.gateway._stats import EVACUATED, Stats
from lavenderrun.kernel import Kernel
from lavenderrun.types import DataCentre, DocumentVersion, HostId


class EvacuationsService:
    """Reads evacuations with the rows of the configuration and applies them to backend servers.

    :ivar on_changed: called when a data centre is evacuated or no more; set by the service
        ``reports``.
    """

    needs: ClassVar[tuple[str, ...]] = ("configuration", "members", "rows")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._host: HostId = kernel.settings.host
        self._rows = kernel.find("rows", RowStore)
        self._members = kernel.find("members", MembersService)
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._evacuations = Evacuations()
        self.on_changed: Callable[[], None] = lambda: None
        kernel.find("stats", Stats).register_reader(
            EVACUATED, lambda: {(name,): 1.0 for name in self._evacuations.evacuated}
        )

    def start(self) -> None:
        """Start to watch the rows of the configuration's table."""
        self._configuration.watch_rows(self._apply_rows)

    def stop(self) -> None:
        """Do nothing: the service ``configuration`` reads the rows."""

    def list_notices(self) -> Mapping[DataCentre, tuple[DocumentVersion, bool]]:
        """Return, for peer reports, the newest instruction about each data centre."""
        return {
            name: (notice.version, notice.is_evacuated)
            for name, notice in self._evacuations.notices.items()
        }

    def apply_peer_report(
        self, host: HostId, notices: Mapping[DataCentre, tuple[int, bool]]
    ) -> None:
        """Apply what another host read; what this host has read up to that version holds."""
        read = self._configuration.follower.version
        for name, (version, is_evacuated) in notices.items():
            if read is None or version > read:
                self._record(name, DocumentVersion(version), is_evacuated, host)

    def _apply_rows(self, rows: Sequence[RowChange], is_whole: bool) -> None:
        found: dict[DataCentre, RowChange] = {}
        for row in rows:
            data_centre = self._rows.dialect.decode_evacuation(row)
            if data_centre is not None:
                found[data_centre] = row
        for name, row in found.items():
            self._record(name, DocumentVersion(row.version), row.value is not None, self._host)
        version = self._configuration.follower.version
        if is_whole and version is not None:
            notice = EvacuationNotice(
                DocumentVersion(version), False, self._host, self._clock.now()
            )
            present = [name for name, row in found.items() if row.value is not None]
            self._apply(self._evacuations.record_absent(present, notice))

    def _record(
        self, name: DataCentre, version: DocumentVersion, is_evacuated: bool, told_by: HostId
    ) -> None:
        notice = EvacuationNotice(version, is_evacuated, told_by, self._clock.now())
        if self._evacuations.record(name, notice):
            self._apply([name])

    def _apply(self, changed: Iterable[DataCentre]) -> None:
        names = list(changed)
        if not names:
            return
        self._members.apply_evacuations(self._evacuations)
        for name in names:
            notice = self._evacuations.notices[name]
            age = self._configuration.age
            log(
                "evacuations:changed",
                "evacuations: data centre is evacuated"
                if notice.is_evacuated
                else "evacuations: data centre is evacuated no more",
                data_centre=name,
                version=notice.version,
                told_by=notice.told_by,
                store_age_ms=None if age is None else to_milliseconds(age),
                servers=self._members.count_in(name),
            )
        self.on_changed()


@GATEWAY_SERVICES.register("evacuations")
def make_evacuations(kernel: Kernel) -> EvacuationsService:
    """Make the service ``evacuations``."""
    return EvacuationsService(kernel)
