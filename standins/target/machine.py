"""The simulated server: its slots, warmth, state and faults."""

from __future__ import annotations

from random import Random

import curio
from msgspec import Struct

from kingcupusher._core import now_ms
from standins.target.activity_log import Ledger
from standins.target.history import LaggedText
from standins.target.settings import TargetSettings
from standins.target.slots import SlotPool
from standins.target.warmth import Warmth


class Faults(Struct, kw_only=True):
    """Faults in force; the defaults are those of a healthy server."""

    slow_factor: float = 1.0
    silent: bool = False
    deaths_left: int = 0
    fail_fast: bool = False
    health_lie: str | None = None
    load_lie: str | None = None


class Machine:
    """State of one simulated server; :meth:`boot` starts it afresh."""

    __slots__ = (
        "boot_id",
        "connections",
        "draining",
        "faults",
        "health",
        "ledger",
        "load",
        "restart",
        "rng",
        "settings",
        "silence_before",
        "slots",
        "warmth",
    )

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings
        self.rng = Random(settings.seed)
        self.ledger = Ledger()
        self.restart = curio.Event()
        self.boot_id = settings.boot_id
        self.connections = 0
        self._start(start_warm=settings.start_warm)

    def boot(self) -> None:
        """Start afresh with a new boot id: cold, not draining, and without faults."""
        self.boot_id += 1
        self.restart = curio.Event()
        self.ledger.counters.restarts += 1
        self._start(start_warm=False)

    def _start(self, *, start_warm: bool) -> None:
        settings = self.settings
        self.draining = False
        self.faults = Faults()
        self.silence_before = 0
        self.slots = SlotPool(settings.slots)
        self.warmth = Warmth(
            cold_concurrency=settings.cold_concurrency,
            slots=settings.slots,
            warmup_ms=settings.warmup_ms,
            shape=settings.cold_shape,
            start_warm=start_warm,
        )
        self.health = LaggedText(lag_ms=settings.health_lag_ms)
        self.load = LaggedText(lag_ms=settings.load_lag_ms)
        self.note_change()

    def state(self) -> str:
        """Return ``draining``, ``cold`` or ``warm``."""
        if self.draining:
            return "draining"
        return "cold" if self.warmth.is_cold(at_ms=now_ms()) else "warm"

    def load_report(self) -> str:
        """Return the value of ``X-Target-Load``."""
        return (
            f"inflight={self.slots.running}, queued={self.slots.waiting},"
            f" slots={self.slots.size}, state={self.state()}, boot={self.boot_id}"
        )

    def note_change(self) -> None:
        """Record the state for the endpoints that lag."""
        at_ms = now_ms()
        self.health.record("draining" if self.draining else "ok", at_ms=at_ms)
        if self.settings.load_lag_ms:
            self.load.record(self.load_report(), at_ms=at_ms)

    def visible_health(self) -> str:
        """Return what ``/health`` says; it may lag or mislead."""
        return self.faults.health_lie or self.health.read(at_ms=now_ms())

    def visible_load(self) -> str:
        """Return what ``/load`` says; it may lag or mislead."""
        if self.faults.load_lie:
            return self.faults.load_lie
        if not self.settings.load_lag_ms:
            return self.load_report()
        return self.load.read(at_ms=now_ms())

    def service_time_ms(self, asked_ms: float | None) -> float:
        """Return the slot time of a request, drawn from a gamma distribution unless asked for."""
        settings = self.settings
        shape = settings.service_time_shape
        drawn_ms = asked_ms
        if drawn_ms is None:
            drawn_ms = self.rng.gammavariate(shape, settings.service_time_ms / shape)
        return drawn_ms * self.faults.slow_factor

    async def fall_over(self) -> None:
        """Count a fall-over and restart; every open connection is reset."""
        self.ledger.counters.fall_overs += 1
        await self.restart.set()
