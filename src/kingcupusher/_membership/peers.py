"""What peers reported, with an upper bound of the age of each report."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

from msgspec import Struct

from kingcupusher._membership.bounds import HEARD_MS
from kingcupusher._peers.messages import Heartbeat

# Longer than any use of a report; older echoes bound nothing that is still of interest.
ECHO_MEMORY_MS = 5_000.0
RETIRED_KEPT = 4


class EntryId(Struct, frozen=True):
    """One entry process."""

    seat: int
    boot_id: int


class PeerReport(Struct, frozen=True):
    """Latest heartbeat of a peer, on the clock of this entry.

    The peer composed it after ``as_of_ms``. ``last_contact_ms`` is an upper bound of the instant
    of the peer's last successful response from the key-value service.
    """

    sender: EntryId
    as_of_ms: float
    last_contact_ms: float
    platform_reachable: bool
    config_version: int
    draining: bool


@dataclass(slots=True)
class Grant:
    """Deadline shared by all open grants that one peer process refreshes together."""

    deadline_ms: float = -inf


@dataclass(slots=True)
class _Sent:
    sequence: int
    sent_ms: float


@dataclass(slots=True)
class Peer:
    """One peer process as this entry knows it."""

    identity: EntryId
    received_sequence: int = 0
    sent_sequence: int = 0
    sent: deque[_Sent] = field(default_factory=deque)
    report: PeerReport | None = None
    # Version of the peer's list of targets that was applied here.
    seen_version: int = 0
    # Version of this entry's list that the peer confirmed.
    confirmed_version: int = 0
    grant: Grant = field(default_factory=Grant)

    def next_sequence(self, *, now_ms: float) -> int:
        """Return the sequence number of a heartbeat that is composed now."""
        self.sent_sequence += 1
        self.sent.append(_Sent(self.sent_sequence, now_ms))
        while self.sent[0].sent_ms < now_ms - ECHO_MEMORY_MS:
            self.sent.popleft()
        return self.sent_sequence

    def sent_ms_of(self, sequence: int) -> float:
        """Return when ``sequence`` was sent; minus infinity if that is not remembered."""
        for sent in self.sent:
            if sent.sequence == sequence:
                return sent.sent_ms
        return -inf


class PeerBook:
    """Keeps the newest report of each peer and bounds its age by the echoed sequence.

    The echo shows that the peer composed its heartbeat after it had received ours, so the send
    instant of ours, on our clock, is early enough for any delay or pause on the way.
    """

    __slots__ = ("_own", "_peers", "_retired")

    def __init__(self, own: EntryId) -> None:
        self._own = own
        self._peers: dict[int, Peer] = {}
        self._retired: deque[EntryId] = deque(maxlen=RETIRED_KEPT * 16)

    def peer(self, identity: EntryId) -> Peer | None:
        """Return the peer, replacing an earlier process of its seat; None if it was replaced."""
        known = self._peers.get(identity.seat)
        if known is not None and known.identity == identity:
            return known
        if identity in self._retired or identity.seat == self._own.seat:
            return None
        if known is not None:
            self._retired.append(known.identity)
        self._peers[identity.seat] = Peer(identity)
        return self._peers[identity.seat]

    def at(self, seat: int) -> Peer | None:
        """Return the current peer process of a seat."""
        return self._peers.get(seat)

    def accept(self, heartbeat: Heartbeat, *, now_ms: float) -> Peer | None:
        """Store the report of a new heartbeat; None for a duplicate or a replaced process."""
        peer = self.peer(EntryId(heartbeat.seat, heartbeat.boot_id))
        if peer is None or heartbeat.sequence <= peer.received_sequence:
            return None
        peer.received_sequence = heartbeat.sequence
        echoed = heartbeat.echo_boot_id == self._own.boot_id
        as_of_ms = peer.sent_ms_of(heartbeat.echo_sequence) if echoed else -inf
        if echoed:
            peer.confirmed_version = max(peer.confirmed_version, heartbeat.acked_list_version)
        silence_ms = heartbeat.platform_response_age_ms
        peer.report = PeerReport(
            sender=peer.identity,
            as_of_ms=as_of_ms,
            last_contact_ms=-inf if silence_ms is None else now_ms - silence_ms,
            platform_reachable=heartbeat.platform_reachable,
            config_version=heartbeat.config_version,
            draining=heartbeat.draining,
        )
        return peer

    def reports(self, *, since_ms: float) -> dict[int, PeerReport]:
        """Return by seat the reports that were composed after ``since_ms``."""
        return {
            seat: peer.report
            for seat, peer in self._peers.items()
            if peer.report is not None and peer.report.as_of_ms > since_ms
        }

    def draining(self) -> set[EntryId]:
        """Return the peer processes whose last report announced their drain."""
        peers = self._peers.values()
        return {p.identity for p in peers if p.report is not None and p.report.draining}

    def heard(self, *, now_ms: float) -> set[EntryId]:
        """Return the peer processes that may hold a right because they were heard lately."""
        return {
            peer.identity
            for peer in self._peers.values()
            if peer.report is not None and peer.report.as_of_ms > now_ms - HEARD_MS
        }
