"""Clients of the platform: key-value service and VM list."""

from __future__ import annotations

from kingcupusher._platform.errors import (
    ConflictError,
    LeaseLostError,
    PlatformError,
    PlatformUnavailableError,
    RequestRejectedError,
    UnknownOutcomeError,
)
from kingcupusher._platform.key_value import KeyValueClient
from kingcupusher._platform.records import Lease, VersionedValue, VmRecord, VmState, WatchResult
from kingcupusher._platform.vm_list import VmListClient

__all__ = [
    "ConflictError",
    "KeyValueClient",
    "Lease",
    "LeaseLostError",
    "PlatformError",
    "PlatformUnavailableError",
    "RequestRejectedError",
    "UnknownOutcomeError",
    "VersionedValue",
    "VmListClient",
    "VmRecord",
    "VmState",
    "WatchResult",
]
