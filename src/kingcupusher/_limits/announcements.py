"""What targets announced about themselves: that they leave, or that they want a pause."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from msgspec import Struct

MAX_PAUSE_MS = 300_000.0
MAX_RESUME_DELAY_MS = 500.0
"""Entries resume at random times after a pause, so that they do not return to a target at once."""
RESUME_DELAY_SHARE = 0.25
MAX_TARGETS = 4_096


class Announcement(Struct, frozen=True):
    """What one response announces; ``problem`` tells why a field of it was ignored.

    ``pause_ms`` is how long the target wants no requests from this entry, None without a wish.
    """

    is_leaving: bool = False
    pause_ms: float | None = None
    problem: str = ""


NO_ANNOUNCEMENT = Announcement()


class TargetInstance(NamedTuple):
    """One process of a target; a restart under the same id has another time of birth."""

    target_id: str
    born_unix_ms: int


class TargetAnnouncements:
    """Remembers announcements by instance, whatever the store or other entries say of the target.

    An announcement concerns the target that made it alone, so a faulty one empties no service. A
    departure is final. A pause ends at its deadline on the monotonic clock, and is never shortened.
    """

    __slots__ = ("_leaving", "_paused_until_ms", "_rng")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._leaving: dict[TargetInstance, None] = {}
        self._paused_until_ms: dict[TargetInstance, float] = {}

    def record(
        self, instance: TargetInstance, announcement: Announcement, *, now_ms: float
    ) -> bool:
        """Record ``announcement``; return whether it changes what is known."""
        is_new = announcement.is_leaving and instance not in self._leaving
        if is_new:
            self._leaving[instance] = None
            _limit_size(self._leaving)
        return self._record_pause(instance, announcement.pause_ms, now_ms) or is_new

    def is_leaving(self, instance: TargetInstance) -> bool:
        """Return whether the instance announced that it leaves."""
        return instance in self._leaving

    def paused_until_ms(self, instance: TargetInstance) -> float:
        """Return the deadline of the pause, 0 without one."""
        return self._paused_until_ms.get(instance, 0.0)

    def is_paused(self, instance: TargetInstance, *, now_ms: float) -> bool:
        """Return whether the instance wants no requests now."""
        return self.paused_until_ms(instance) > now_ms

    def _record_pause(
        self, instance: TargetInstance, pause_ms: float | None, now_ms: float
    ) -> bool:
        if pause_ms is None or pause_ms <= 0.0:
            return False
        pause_ms = min(pause_ms, MAX_PAUSE_MS)
        max_delay_ms = min(MAX_RESUME_DELAY_MS, RESUME_DELAY_SHARE * pause_ms)
        until_ms = now_ms + pause_ms + self._rng.random() * max_delay_ms
        if until_ms <= self.paused_until_ms(instance):
            return False
        self._paused_until_ms.pop(instance, None)
        self._paused_until_ms[instance] = until_ms
        _limit_size(self._paused_until_ms)
        return True


def _limit_size(table: dict[TargetInstance, None] | dict[TargetInstance, float]) -> None:
    while len(table) > MAX_TARGETS:
        del table[next(iter(table))]
