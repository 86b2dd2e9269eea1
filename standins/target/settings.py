"""Settings of one target."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from kingcupusher._core.address import Address


class ColdShape(Enum):
    """How the concurrency limit of a cold target grows: not at all, or linearly to its slots."""

    FLAT = "flat"
    LINEAR = "linear"


class TargetSettings(Struct, frozen=True, kw_only=True):
    """Settings from the command line; see ``python -m standins.target --help``."""

    address: Address
    control: Address
    slots: int = 3
    queue_length: int = 8
    connections: int = 200
    service_time_ms: float = 10.0
    service_time_shape: float = 4.0
    connect_cost_ms: float = 1.0
    probe_cost_ms: float = 6.0
    cold_concurrency: int = 1
    cold_shape: ColdShape = ColdShape.FLAT
    warmup_ms: float = 5_000.0
    start_warm: bool = False
    restart_ms: float = 500.0
    health_lag_ms: float = 0.0
    load_lag_ms: float = 0.0
    linger_ms: float = 0.0
    boot_id: int = 1
    seed: int = 1
