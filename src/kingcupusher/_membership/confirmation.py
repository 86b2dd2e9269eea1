"""Confirmation that the known zone orders and target states are current (docs/design.md 4.5)."""

from __future__ import annotations

from math import inf

from kingcupusher._membership.bounds import CONFIRMATION_VALIDITY_MS, PLATFORM_TIMEOUT_MS
from kingcupusher._membership.peers import EntryId, PeerRegistry
from kingcupusher._membership.registered_entries import RegisteredEntries


class ConfigConfirmation:
    """Tracks until when the configuration at this entry is confirmed to be current."""

    __slots__ = (
        "_call_failed",
        "_config_version",
        "_confirmed_ms",
        "_own_id",
        "_peers",
        "_registered",
        "_response_ms",
    )

    def __init__(self, peers: PeerRegistry, registered: RegisteredEntries, *, own: EntryId) -> None:
        self._peers = peers
        self._registered = registered
        self._own_id = own
        self._config_version = 0
        self._confirmed_ms = -inf
        self._response_ms = -inf
        self._call_failed = False

    def on_config_version(self, version: int) -> None:
        """Record the active version; call it before :meth:`on_platform_read` for the same read."""
        self._config_version = max(self._config_version, version)

    def on_platform_read(self, *, sent_ms: float, now_ms: float) -> None:
        """Record a response with the configuration as it was at ``sent_ms`` or later."""
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)
        self.on_platform_response(now_ms=now_ms)

    def on_platform_response(self, *, now_ms: float) -> None:
        """Record any other successful response of the key-value service."""
        self._response_ms = now_ms
        self._call_failed = False

    def on_platform_failure(self) -> None:
        """Record a call to the key-value service that failed or exceeded its deadline."""
        self._call_failed = True

    def on_peer(self, *, age_ms: float | None, config_version: int, as_of_ms: float) -> None:
        """Record a peer's confirmation, ``age_ms`` old when composed after ``as_of_ms``.

        It does not count while the peer has a newer configuration than this entry.
        """
        if age_ms is not None and config_version <= self._config_version:
            self._confirmed_ms = max(self._confirmed_ms, as_of_ms - age_ms)

    def is_platform_reachable(self, *, now_ms: float) -> bool:
        """Return whether the key-value service responds to this entry."""
        return not self._call_failed and now_ms < self._response_ms + PLATFORM_TIMEOUT_MS

    def age_ms(self, *, now_ms: float) -> float | None:
        """Return the age of the latest confirmation by the platform, None if there is none."""
        return None if self._confirmed_ms == -inf else now_ms - self._confirmed_ms

    def response_age_ms(self, *, now_ms: float) -> float | None:
        """Return the time since the last response of the platform, None if there was none."""
        return None if self._response_ms == -inf else now_ms - self._response_ms

    def confirmed_until_ms(self, *, now_ms: float) -> float:
        """Return when the confirmation expires."""
        return max(
            self._confirmed_ms + CONFIRMATION_VALIDITY_MS, self.outage_until_ms(now_ms=now_ms)
        )

    def is_confirmed(self, *, now_ms: float) -> bool:
        """Return whether new requests may be sent at all."""
        return now_ms < self.confirmed_until_ms(now_ms=now_ms)

    def outage_until_ms(self, *, now_ms: float) -> float:
        """Return until when a platform outage reported by most entries is confirmed."""
        if self.is_platform_reachable(now_ms=now_ms):
            return -inf
        reports = self._peers.reports(since_ms=now_ms - CONFIRMATION_VALIDITY_MS)
        if any(
            r.platform_reachable or r.config_version > self._config_version
            for r in reports.values()
        ):
            return -inf
        registered = self._registered.ids
        heard = [r.as_of_ms for r in reports.values() if r.sender in registered]
        own = [now_ms] if self._own_id in registered else []
        instants = sorted(heard + own, reverse=True)
        majority = len(registered) // 2 + 1
        if len(instants) < majority:
            return -inf
        return instants[majority - 1] + CONFIRMATION_VALIDITY_MS
