"""Membership of one entry; a single task passes in all events and the current time."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from msgspec import Struct

from kingcupusher._config import ConfigDocument
from kingcupusher._membership.bounds import HEARTBEAT_INTERVAL_MS
from kingcupusher._membership.confirmation import ConfigConfirmation
from kingcupusher._membership.coordinated_targets import CoordinatedTargets
from kingcupusher._membership.coordinator import CoordinatorRole
from kingcupusher._membership.interfaces import ProbeBudgetFactory, RampFactory, Vm
from kingcupusher._membership.peers import EntryId, PeerRegistry
from kingcupusher._membership.registered_entries import GrantHolders, RegisteredEntries
from kingcupusher._membership.table import TargetTable
from kingcupusher._peers.messages import (
    ConfigRequest,
    Heartbeat,
    Message,
    TargetClosedAck,
    TargetClosedNotice,
)


class OutgoingMessage(Struct, frozen=True):
    """A message for one seat, or for all connected peers if ``seat`` is None."""

    seat: int | None
    message: Message


@dataclass(slots=True)
class _LinkedPeer:
    """A connected peer and the time of its next heartbeat."""

    identity: EntryId
    next_heartbeat_ms: float


class Membership:
    """Decides to which targets an entry may send requests.

    After each call the driver sends the messages that :meth:`take_outgoing` returns. The request
    path uses ``target_table``, the readiness check ``confirmation``, and the task that holds the
    coordinator keys ``coordinator_role``.
    """

    __slots__ = (
        "_config_version",
        "_draining",
        "_linked_peers",
        "_outgoing",
        "_own_id",
        "_platform_reachable",
        "confirmation",
        "coordinated_targets",
        "coordinator_role",
        "peers",
        "registered_entries",
        "target_table",
    )

    def __init__(
        self,
        *,
        seat: int,
        boot_id: int,
        ramp_factory: RampFactory,
        budget_factory: ProbeBudgetFactory,
    ) -> None:
        self._own_id = EntryId(seat, boot_id)
        self._outgoing: list[OutgoingMessage] = []
        self._linked_peers: dict[int, _LinkedPeer] = {}
        self._config_version = 0
        self._draining = False
        self._platform_reachable = False
        self.peers = PeerRegistry(self._own_id)
        self.registered_entries = RegisteredEntries(self._own_id)
        self.confirmation = ConfigConfirmation(
            self.peers, self.registered_entries, own=self._own_id
        )
        self.coordinator_role = CoordinatorRole(
            self.peers, self.registered_entries, self.confirmation
        )
        self.coordinated_targets = CoordinatedTargets(
            ramp_factory=ramp_factory,
            budget_factory=budget_factory,
            holders=self._holders,
            broadcast=self._broadcast,
        )
        self.target_table = TargetTable(
            confirmation=self.confirmation,
            coordinator_role=self.coordinator_role,
            coordinated_targets=self.coordinated_targets,
            emit=self._emit,
        )

    # -- platform

    def on_registered_entries(self, boot_ids: Mapping[int, int], *, now_ms: float) -> None:
        """Replace the registered entries, given as boot id by seat."""
        self.registered_entries.replace(
            boot_ids, drained=self.peers.draining_peers(), now_ms=now_ms
        )

    def on_config(self, document: ConfigDocument, *, now_ms: float) -> None:
        """Activate a configuration document; older versions are ignored."""
        if document.version < self._config_version:
            return
        self._config_version = document.version
        self.confirmation.on_config_version(document.version)
        self.target_table.on_limits({name: s.target for name, s in document.services.items()})
        self.target_table.on_zone_orders(document.zones_out, now_ms=now_ms)

    def on_platform_read(self, *, sent_ms: float, now_ms: float) -> None:
        """Record a read of entries and configuration, after its content was applied."""
        self.confirmation.on_platform_read(sent_ms=sent_ms, now_ms=now_ms)

    def on_platform_failure(self, *, now_ms: float) -> None:
        """Record a failed call to the key-value service."""
        self.confirmation.on_platform_failure()
        self.tick(now_ms=now_ms)

    def on_vm_list(self, records: Iterable[Vm], *, now_ms: float) -> None:
        """Apply a read of the VM list."""
        self.target_table.on_vm_list(records, now_ms=now_ms)

    def on_lease(self, *, until_ms: float, now_ms: float) -> None:
        """Record a grant or renewal of the lease; ``until_ms`` is on the clock of this entry."""
        self.coordinator_role.on_lease(until_ms=until_ms)
        self.confirmation.on_platform_response(now_ms=now_ms)

    def on_lease_lost(self, *, now_ms: float) -> None:
        """Record the end of the lease."""
        self.coordinator_role.on_lease_lost()
        self.confirmation.on_platform_response(now_ms=now_ms)
        self.target_table.advance(now_ms=now_ms)

    def on_group_acquired(self, group: int, *, term: int, now_ms: float) -> None:
        """Record that this entry holds the coordinator key of a group, with revision ``term``."""
        self.coordinator_role.on_group_acquired(group, term=term, now_ms=now_ms)
        self.confirmation.on_platform_response(now_ms=now_ms)

    def on_group_lost(self, group: int, *, now_ms: float) -> None:
        """Record that this entry does not hold the coordinator key of a group."""
        self.coordinator_role.on_group_lost(group)
        self.target_table.advance(now_ms=now_ms)

    # -- peers

    def on_peer_connected(self, identity: EntryId, *, now_ms: float) -> None:
        """Record a new connection and queue a heartbeat at once."""
        if self.peers.get_or_replace(identity) is not None:
            self._linked_peers[identity.seat] = _LinkedPeer(identity, now_ms)
            self.tick(now_ms=now_ms)

    def on_peer_disconnected(self, identity: EntryId) -> None:
        """Record the end of a connection."""
        linked = self._linked_peers.get(identity.seat)
        if linked is not None and linked.identity == identity:
            del self._linked_peers[identity.seat]

    def on_message(self, sender: EntryId, message: Message, *, now_ms: float) -> None:
        """Apply a message of a peer; the driver handles configuration messages."""
        if isinstance(message, Heartbeat):
            self._on_heartbeat(message, now_ms)
        elif isinstance(message, TargetClosedNotice):
            self.target_table.on_notice(message, sender=sender, now_ms=now_ms)
        elif isinstance(message, TargetClosedAck):
            self.target_table.on_ack(message, sender=sender)

    # -- time

    def start_draining(self) -> None:
        """Report in heartbeats from now on that this entry accepts no new requests."""
        self._draining = True

    def tick(self, *, now_ms: float) -> None:
        """Update the targets and queue the due heartbeats."""
        self.target_table.advance(now_ms=now_ms)
        platform_reachable = self.confirmation.is_platform_reachable(now_ms=now_ms)
        is_changed = platform_reachable is not self._platform_reachable
        self._platform_reachable = platform_reachable
        due = [
            p for p in self._linked_peers.values() if is_changed or now_ms >= p.next_heartbeat_ms
        ]
        if due:
            self.target_table.resend_notices(now_ms=now_ms)
        for linked in due:
            linked.next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS
            self._send_heartbeat(linked.identity, now_ms)

    def take_outgoing(self) -> list[OutgoingMessage]:
        """Return the queued messages in order and clear the queue."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    # -- details

    def _on_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> None:
        peer = self.peers.on_heartbeat(heartbeat, now_ms=now_ms)
        if peer is None or peer.report is None:
            return
        as_of_ms = peer.report.as_of_ms
        self.confirmation.on_peer(
            age_ms=heartbeat.platform_confirmation_age_ms,
            config_version=heartbeat.config_version,
            as_of_ms=as_of_ms,
        )
        if heartbeat.config_version > self._config_version:
            self._emit(heartbeat.seat, ConfigRequest(heartbeat.config_version))
        self.target_table.on_heartbeat(heartbeat, peer=peer, sent_ms=as_of_ms, now_ms=now_ms)
        self._stagger_heartbeat(heartbeat.seat, now_ms)

    def _stagger_heartbeat(self, seat: int, now_ms: float) -> None:
        """Schedule a heartbeat half an interval after each one from a lower seat.

        Two peers that send at the same time would each echo a heartbeat that is a full interval
        old, and reports would be 1 s old before the next one arrives.
        """
        linked = self._linked_peers.get(seat)
        if linked is not None and seat < self._own_id.seat:
            linked.next_heartbeat_ms = min(
                linked.next_heartbeat_ms, now_ms + HEARTBEAT_INTERVAL_MS / 2
            )

    def _send_heartbeat(self, identity: EntryId, now_ms: float) -> None:
        peer = self.peers.get_or_replace(identity)
        if peer is None:
            return
        confirmation = self.confirmation
        base_version = peer.acked_list_version
        heartbeat = Heartbeat(
            seat=self._own_id.seat,
            boot_id=self._own_id.boot_id,
            sequence=peer.next_sequence(now_ms=now_ms),
            echo_boot_id=identity.boot_id,
            echo_sequence=peer.received_sequence,
            config_version=self._config_version,
            platform_confirmation_age_ms=_round_ms(confirmation.age_ms(now_ms=now_ms)),
            platform_response_age_ms=_round_ms(
                confirmation.response_age_ms(now_ms=now_ms), up=False
            ),
            platform_reachable=confirmation.is_platform_reachable(now_ms=now_ms),
            draining=self._draining,
            list_version=self.coordinated_targets.list_version,
            base_list_version=base_version,
            acked_list_version=peer.applied_list_version,
            targets=self.coordinated_targets.changes_since(base_version),
        )
        self._emit(identity.seat, heartbeat)

    def _emit(self, seat: int | None, message: Message) -> None:
        self._outgoing.append(OutgoingMessage(seat, message))

    def _broadcast(self, notice: TargetClosedNotice) -> None:
        self._emit(None, notice)

    def _holders(self, now_ms: float) -> GrantHolders:
        return self.registered_entries.grant_holders(
            self.peers.recently_heard(now_ms=now_ms), now_ms=now_ms
        )


def _round_ms(value_ms: float | None, *, up: bool = True) -> int | None:
    """Round an age up, or the time since a response down, so that neither is overstated."""
    if value_ms is None:
        return None
    return int(value_ms) + int(up)
