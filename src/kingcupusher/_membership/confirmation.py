"""Confirmation that the zone orders and target states known here are recent (page 4.5)."""

from __future__ import annotations

from math import inf

from kingcupusher._membership.bounds import CONFIRMATION_MS, PLATFORM_SILENCE_MS
from kingcupusher._membership.fleet import Fleet
from kingcupusher._membership.peers import EntryId, PeerBook


class ConfigConfirmation:
    """Holds the instant up to which this entry's knowledge of the configuration is complete."""

    __slots__ = ("_contact_ms", "_failed", "_fleet", "_own", "_peers", "_read_ms", "_version")

    def __init__(self, peers: PeerBook, fleet: Fleet, *, own: EntryId) -> None:
        self._peers = peers
        self._fleet = fleet
        self._own = own
        self._version = 0
        self._read_ms = -inf
        self._contact_ms = -inf
        self._failed = False

    def on_config_version(self, version: int) -> None:
        """Note the version in force; call it before the read that returned it is noted."""
        self._version = max(self._version, version)

    def on_platform_read(self, *, sent_ms: float, now_ms: float) -> None:
        """Note a response that shows the configuration as it was at ``sent_ms`` or later."""
        self._read_ms = max(self._read_ms, sent_ms)
        self.on_platform_contact(now_ms=now_ms)

    def on_platform_contact(self, *, now_ms: float) -> None:
        """Note any other successful response of the key-value service."""
        self._contact_ms = now_ms
        self._failed = False

    def on_platform_failure(self) -> None:
        """Note a call to the key-value service that failed or passed its deadline."""
        self._failed = True

    def on_peer(self, *, age_ms: float | None, config_version: int, as_of_ms: float) -> None:
        """Note a peer's confirmation, ``age_ms`` old when composed after ``as_of_ms``.

        A confirmation of a newer configuration than the one in force here proves nothing yet.
        """
        if age_ms is not None and config_version <= self._version:
            self._read_ms = max(self._read_ms, as_of_ms - age_ms)

    def is_platform_reachable(self, *, now_ms: float) -> bool:
        """Return whether the key-value service responds to this entry."""
        return not self._failed and now_ms < self._contact_ms + PLATFORM_SILENCE_MS

    def age_ms(self, *, now_ms: float) -> float | None:
        """Return the age of the newest confirmation by the platform, None if there is none."""
        return None if self._read_ms == -inf else now_ms - self._read_ms

    def silence_ms(self, *, now_ms: float) -> float | None:
        """Return the time since the platform responded to this entry, None if it never did."""
        return None if self._contact_ms == -inf else now_ms - self._contact_ms

    def until_ms(self, *, now_ms: float) -> float:
        """Return the instant at which the confirmation ends."""
        return max(self._read_ms + CONFIRMATION_MS, self.outage_until_ms(now_ms=now_ms))

    def is_confirmed(self, *, now_ms: float) -> bool:
        """Return whether new work may be sent at all."""
        return now_ms < self.until_ms(now_ms=now_ms)

    def outage_until_ms(self, *, now_ms: float) -> float:
        """Return until when an outage that more than half of the entries see is confirmed."""
        if self.is_platform_reachable(now_ms=now_ms):
            return -inf
        reports = self._peers.reports(since_ms=now_ms - CONFIRMATION_MS)
        if any(r.platform_reachable or r.config_version > self._version for r in reports.values()):
            return -inf
        registered = self._fleet.registered
        heard = [r.as_of_ms for r in reports.values() if r.sender in registered]
        own = [now_ms] if self._own in registered else []
        instants = sorted(heard + own, reverse=True)
        majority = len(registered) // 2 + 1
        if len(instants) < majority:
            return -inf
        return instants[majority - 1] + CONFIRMATION_MS
