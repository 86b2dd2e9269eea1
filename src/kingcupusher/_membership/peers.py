"""Reports of peers, with an upper bound on the age of each report."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

from msgspec import Struct

from kingcupusher._membership.bounds import ACTIVE_PEER_WINDOW_MS
from kingcupusher._peers.messages import Heartbeat

# No report is used at a greater age, so older echoes are not needed.
SENT_HEARTBEAT_RETENTION_MS = 5_000.0
REPLACED_PER_SEAT = 4


class EntryId(Struct, frozen=True):
    """Identity of an entry process."""

    seat: int
    boot_id: int


class PeerReport(Struct, frozen=True):
    """Latest heartbeat of a peer, with times on the clock of this entry.

    The peer composed it after ``as_of_ms``. The key-value service last responded to the peer at
    ``last_platform_response_ms`` or earlier.
    """

    sender: EntryId
    as_of_ms: float
    last_platform_response_ms: float
    platform_reachable: bool
    config_version: int
    draining: bool


@dataclass(slots=True)
class Grant:
    """Deadline of all open grants of one peer process, which renews them together."""

    deadline_ms: float = -inf


@dataclass(slots=True)
class _SentHeartbeat:
    sequence: int
    sent_ms: float


@dataclass(slots=True)
class Peer:
    """State kept for one peer process."""

    identity: EntryId
    received_sequence: int = 0
    sent_sequence: int = 0
    sent_heartbeats: deque[_SentHeartbeat] = field(default_factory=deque)
    report: PeerReport | None = None
    # Version of the peer's target list that was applied here.
    applied_list_version: int = 0
    # Version of this entry's target list that the peer acknowledged.
    acked_list_version: int = 0
    grant: Grant = field(default_factory=Grant)

    def next_sequence(self, *, now_ms: float) -> int:
        """Return the sequence number for a heartbeat composed now."""
        self.sent_sequence += 1
        self.sent_heartbeats.append(_SentHeartbeat(self.sent_sequence, now_ms))
        while self.sent_heartbeats[0].sent_ms < now_ms - SENT_HEARTBEAT_RETENTION_MS:
            self.sent_heartbeats.popleft()
        return self.sent_sequence

    def sent_ms_of(self, sequence: int) -> float:
        """Return when ``sequence`` was sent, minus infinity if that is no longer stored."""
        for sent in self.sent_heartbeats:
            if sent.sequence == sequence:
                return sent.sent_ms
        return -inf


class PeerRegistry:
    """Keeps the latest report of each peer and bounds its age by the echoed sequence number.

    The echo proves that the peer composed its heartbeat after it had received ours. The time at
    which ours was sent, on our clock, is therefore a lower bound despite any delay or pause.
    """

    __slots__ = ("_own_id", "_peers", "_replaced")

    def __init__(self, own_id: EntryId) -> None:
        self._own_id = own_id
        self._peers: dict[int, Peer] = {}
        self._replaced: deque[EntryId] = deque(maxlen=REPLACED_PER_SEAT * 16)

    def get_or_replace(self, identity: EntryId) -> Peer | None:
        """Return the peer, which replaces an older process of its seat; None if it was replaced."""
        known = self._peers.get(identity.seat)
        if known is not None and known.identity == identity:
            return known
        if identity in self._replaced or identity.seat == self._own_id.seat:
            return None
        if known is not None:
            self._replaced.append(known.identity)
        self._peers[identity.seat] = Peer(identity)
        return self._peers[identity.seat]

    def at(self, seat: int) -> Peer | None:
        """Return the current peer process of a seat."""
        return self._peers.get(seat)

    def on_heartbeat(self, heartbeat: Heartbeat, *, now_ms: float) -> Peer | None:
        """Store the report of a heartbeat; None for a duplicate or a replaced process."""
        peer = self.get_or_replace(EntryId(heartbeat.seat, heartbeat.boot_id))
        if peer is None or heartbeat.sequence <= peer.received_sequence:
            return None
        peer.received_sequence = heartbeat.sequence
        echoed = heartbeat.echo_boot_id == self._own_id.boot_id
        as_of_ms = peer.sent_ms_of(heartbeat.echo_sequence) if echoed else -inf
        if echoed:
            peer.acked_list_version = max(peer.acked_list_version, heartbeat.acked_list_version)
        response_age_ms = heartbeat.platform_response_age_ms
        peer.report = PeerReport(
            sender=peer.identity,
            as_of_ms=as_of_ms,
            last_platform_response_ms=-inf if response_age_ms is None else now_ms - response_age_ms,
            platform_reachable=heartbeat.platform_reachable,
            config_version=heartbeat.config_version,
            draining=heartbeat.draining,
        )
        return peer

    def reports(self, *, since_ms: float) -> dict[int, PeerReport]:
        """Return the reports composed after ``since_ms``, by seat."""
        return {
            seat: peer.report
            for seat, peer in self._peers.items()
            if peer.report is not None and peer.report.as_of_ms > since_ms
        }

    def draining_peers(self) -> set[EntryId]:
        """Return the peer processes that reported that they are draining."""
        peers = self._peers.values()
        return {p.identity for p in peers if p.report is not None and p.report.draining}

    def recently_heard(self, *, now_ms: float) -> set[EntryId]:
        """Return the recently heard peer processes, which may hold a permission."""
        return {
            peer.identity
            for peer in self._peers.values()
            if peer.report is not None and peer.report.as_of_ms > now_ms - ACTIVE_PEER_WINDOW_MS
        }
