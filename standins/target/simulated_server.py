"""State of the simulated server: slots, cold start, drain and faults."""

from __future__ import annotations

from random import Random

import curio
from msgspec import Struct

from kingcupusher._core import now_ms
from standins.target.activity_log import ActivityLog
from standins.target.cold_start import ColdStart
from standins.target.lagged_text import LaggedText
from standins.target.settings import TargetSettings
from standins.target.slots import SlotPool


class Faults(Struct, kw_only=True):
    """Active faults; the defaults mean that there are none."""

    slow_factor: float = 1.0
    silent: bool = False
    truncations_left: int = 0
    fail_fast: bool = False
    health_override: str | None = None
    load_override: str | None = None


class SimulatedServer:
    """State of one simulated server; :meth:`reboot` resets it."""

    __slots__ = (
        "activity_log",
        "boot_id",
        "cold_start",
        "connections",
        "draining",
        "faults",
        "first_responsive_connection",
        "health",
        "load",
        "restart_requested",
        "rng",
        "settings",
        "slots",
    )

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings
        self.rng = Random(settings.seed)
        self.activity_log = ActivityLog()
        self.restart_requested = curio.Event()
        self.boot_id = settings.boot_id
        self.connections = 0
        self._reset_state(start_warm=settings.start_warm)

    def reboot(self) -> None:
        """Reset to a new boot id: cold, not draining and without faults."""
        self.boot_id += 1
        self.restart_requested = curio.Event()
        self.activity_log.counters.restarts += 1
        self._reset_state(start_warm=False)

    def _reset_state(self, *, start_warm: bool) -> None:
        settings = self.settings
        self.draining = False
        self.faults = Faults()
        self.first_responsive_connection = 0
        self.slots = SlotPool(settings.slots)
        self.cold_start = ColdStart(
            cold_concurrency=settings.cold_concurrency,
            slots=settings.slots,
            warmup_ms=settings.warmup_ms,
            shape=settings.cold_shape,
            start_warm=start_warm,
        )
        self.health = LaggedText(lag_ms=settings.health_lag_ms)
        self.load = LaggedText(lag_ms=settings.load_lag_ms)
        self.record_state()

    def state(self) -> str:
        """Return ``draining``, ``cold`` or ``warm``."""
        if self.draining:
            return "draining"
        return "cold" if self.cold_start.is_cold(at_ms=now_ms()) else "warm"

    def load_report(self) -> str:
        """Return the value of ``X-Target-Load``."""
        return (
            f"inflight={self.slots.running}, queued={self.slots.waiting},"
            f" slots={self.slots.slot_count}, state={self.state()}, boot={self.boot_id}"
        )

    def record_state(self) -> None:
        """Record the current state for the delayed reports of the probe endpoints."""
        at_ms = now_ms()
        self.health.record("draining" if self.draining else "ok", at_ms=at_ms)
        if self.settings.load_lag_ms:
            self.load.record(self.load_report(), at_ms=at_ms)

    def reported_health(self) -> str:
        """Return the text for ``/health``, which may be delayed or overridden by a fault."""
        return self.faults.health_override or self.health.read(at_ms=now_ms())

    def reported_load(self) -> str:
        """Return the text for ``/load``, which may be delayed or overridden by a fault."""
        if self.faults.load_override:
            return self.faults.load_override
        if not self.settings.load_lag_ms:
            return self.load_report()
        return self.load.read(at_ms=now_ms())

    def service_time_ms(self, requested_ms: float | None) -> float:
        """Return the slot time: ``requested_ms``, or a gamma distributed one if it is None."""
        settings = self.settings
        shape = settings.service_time_shape
        drawn_ms = requested_ms
        if drawn_ms is None:
            drawn_ms = self.rng.gammavariate(shape, settings.service_time_ms / shape)
        return drawn_ms * self.faults.slow_factor

    async def fall_over(self) -> None:
        """Count an overload while cold and restart; the restart resets all connections."""
        self.activity_log.counters.fall_overs += 1
        await self.restart_requested.set()
