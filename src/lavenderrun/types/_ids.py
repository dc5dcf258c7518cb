"""Types of identifiers."""

from __future__ import annotations

from typing import NewType

AccountId = NewType("AccountId", str)
AttemptId = NewType("AttemptId", int)
BackendId = NewType("BackendId", str)
BootId = NewType("BootId", str)
DataCentre = NewType("DataCentre", str)
DocumentVersion = NewType("DocumentVersion", int)
ExportHandle = NewType("ExportHandle", str)
FencingNumber = NewType("FencingNumber", int)
StoreEra = NewType("StoreEra", int)
"""How often the store has come back from an older copy of itself."""
Fingerprint = NewType("Fingerprint", str)
GroupId = NewType("GroupId", str)
HoldId = NewType("HoldId", str)
HostId = NewType("HostId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
KeyDigest = NewType("KeyDigest", str)
Incarnation = NewType("Incarnation", str)
ModelName = NewType("ModelName", str)
PartId = NewType("PartId", str)
RequestId = NewType("RequestId", str)
RouteName = NewType("RouteName", str)
ServiceGroup = NewType("ServiceGroup", str)
TextId = NewType("TextId", int)
