"""The membership of one entry, driven by one task with events and the time."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from msgspec import Struct

from kingcupusher._config import ConfigDocument
from kingcupusher._membership.bounds import HEARTBEAT_MS
from kingcupusher._membership.confirmation import ConfigConfirmation
from kingcupusher._membership.coordinator import CoordinatorRole
from kingcupusher._membership.duties import Duties
from kingcupusher._membership.fleet import Fleet, Holders
from kingcupusher._membership.peers import EntryId, PeerBook
from kingcupusher._membership.ports import BudgetFactory, RampFactory, Vm
from kingcupusher._membership.table import TargetTable
from kingcupusher._peers.messages import (
    ConfigRequest,
    Heartbeat,
    Message,
    TargetClosedAck,
    TargetClosedNotice,
)


class Outgoing(Struct, frozen=True):
    """A message for one seat, or for every linked peer if ``seat`` is None."""

    seat: int | None
    message: Message


@dataclass(slots=True)
class _Linked:
    """A linked peer and when its next heartbeat is due."""

    identity: EntryId
    due_ms: float


class Membership:
    """Everything that decides on sends at one entry.

    After each call the driver sends what :meth:`take_outgoing` returns. ``target_table`` answers
    the request path; ``confirmation`` and ``coordinator_role`` answer the readiness check and the
    task that keeps coordinator keys.
    """

    __slots__ = (
        "_draining",
        "_linked",
        "_outgoing",
        "_own",
        "_reachable",
        "_version",
        "confirmation",
        "duties",
        "fleet",
        "peers",
        "coordinator_role",
        "target_table",
    )

    def __init__(
        self,
        *,
        seat: int,
        boot_id: int,
        ramp_factory: RampFactory,
        budget_factory: BudgetFactory,
    ) -> None:
        self._own = EntryId(seat, boot_id)
        self._outgoing: list[Outgoing] = []
        self._linked: dict[int, _Linked] = {}
        self._version = 0
        self._draining = False
        self._reachable = False
        self.peers = PeerBook(self._own)
        self.fleet = Fleet(self._own)
        self.confirmation = ConfigConfirmation(self.peers, self.fleet, own=self._own)
        self.coordinator_role = CoordinatorRole(self.peers, self.fleet, self.confirmation)
        self.duties = Duties(
            ramp_factory=ramp_factory,
            budget_factory=budget_factory,
            holders=self._holders,
            announce=self._announce,
        )
        self.target_table = TargetTable(
            confirmation=self.confirmation,
            rule=self.coordinator_role,
            duties=self.duties,
            emit=self._emit,
        )

    # -- platform

    def on_registered_entries(self, boot_ids: Mapping[int, int], *, now_ms: float) -> None:
        """Take over the registered entries: boot id by seat."""
        self.fleet.replace(boot_ids, drained=self.peers.draining(), now_ms=now_ms)

    def on_config(self, document: ConfigDocument, *, now_ms: float) -> None:
        """Put a configuration document in force; older versions are ignored."""
        if document.version < self._version:
            return
        self._version = document.version
        self.confirmation.on_config_version(document.version)
        self.target_table.on_limits({name: s.target for name, s in document.services.items()})
        self.target_table.on_zone_orders(document.zones_out, now_ms=now_ms)

    def on_platform_read(self, *, sent_ms: float, now_ms: float) -> None:
        """Note a read of members and configuration, after its content was passed on."""
        self.confirmation.on_platform_read(sent_ms=sent_ms, now_ms=now_ms)

    def on_platform_failure(self, *, now_ms: float) -> None:
        """Note a failed call to the key-value service."""
        self.confirmation.on_platform_failure()
        self.tick(now_ms=now_ms)

    def on_vm_list(self, records: Iterable[Vm], *, now_ms: float) -> None:
        """Take over a reading of the VM list."""
        self.target_table.on_vm_list(records, now_ms=now_ms)

    def on_lease(self, *, until_ms: float, now_ms: float) -> None:
        """Note a grant or renewal of the lease, with its deadline on the own clock."""
        self.coordinator_role.on_lease(until_ms=until_ms)
        self.confirmation.on_platform_contact(now_ms=now_ms)

    def on_lease_lost(self, *, now_ms: float) -> None:
        """Note that the lease ended."""
        self.coordinator_role.on_lease_lost()
        self.confirmation.on_platform_contact(now_ms=now_ms)
        self.target_table.advance(now_ms=now_ms)

    def on_group_acquired(self, group: int, *, term: int, now_ms: float) -> None:
        """Note that this entry holds the coordinator key of a group, written at ``term``."""
        self.coordinator_role.on_acquired(group, term=term, now_ms=now_ms)
        self.confirmation.on_platform_contact(now_ms=now_ms)

    def on_group_lost(self, group: int, *, now_ms: float) -> None:
        """Note that this entry does not hold the coordinator key of a group."""
        self.coordinator_role.on_lost(group)
        self.target_table.advance(now_ms=now_ms)

    # -- peers

    def on_peer_connected(self, identity: EntryId, *, now_ms: float) -> None:
        """Note an open link; a heartbeat goes out at once."""
        if self.peers.peer(identity) is not None:
            self._linked[identity.seat] = _Linked(identity, now_ms)
            self.tick(now_ms=now_ms)

    def on_peer_disconnected(self, identity: EntryId) -> None:
        """Note a link that ended."""
        linked = self._linked.get(identity.seat)
        if linked is not None and linked.identity == identity:
            del self._linked[identity.seat]

    def on_message(self, sender: EntryId, message: Message, *, now_ms: float) -> None:
        """Apply a message of a peer; configuration messages are the driver's."""
        if isinstance(message, Heartbeat):
            self._on_heartbeat(message, now_ms)
        elif isinstance(message, TargetClosedNotice):
            self.target_table.on_notice(message, sender=sender, now_ms=now_ms)
        elif isinstance(message, TargetClosedAck):
            self.target_table.on_ack(message, sender=sender)

    # -- time

    def start_draining(self) -> None:
        """Tell peers from now on that this entry takes no new requests."""
        self._draining = True

    def tick(self, *, now_ms: float) -> None:
        """Move targets on and compose the heartbeats that are due."""
        self.target_table.advance(now_ms=now_ms)
        reachable = self.confirmation.is_platform_reachable(now_ms=now_ms)
        is_changed = reachable is not self._reachable
        self._reachable = reachable
        due = [p for p in self._linked.values() if is_changed or now_ms >= p.due_ms]
        if due:
            self.target_table.repeat_notices(now_ms=now_ms)
        for linked in due:
            linked.due_ms = now_ms + HEARTBEAT_MS
            self._send_heartbeat(linked.identity, now_ms)

    def take_outgoing(self) -> list[Outgoing]:
        """Return the messages to send, in order, and forget them."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    # -- details

    def _on_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> None:
        peer = self.peers.accept(heartbeat, now_ms=now_ms)
        if peer is None or peer.report is None:
            return
        as_of_ms = peer.report.as_of_ms
        self.confirmation.on_peer(
            age_ms=heartbeat.platform_confirmation_age_ms,
            config_version=heartbeat.config_version,
            as_of_ms=as_of_ms,
        )
        if heartbeat.config_version > self._version:
            self._emit(heartbeat.seat, ConfigRequest(heartbeat.config_version))
        self.target_table.on_heartbeat(heartbeat, peer=peer, sent_ms=as_of_ms, now_ms=now_ms)
        self._schedule_reply(heartbeat.seat, now_ms)

    def _schedule_reply(self, seat: int, now_ms: float) -> None:
        """Send half a period after each heartbeat of the lower seat.

        Two peers that send at the same phase would each echo a heartbeat that is a whole period
        old, and reports would be 1 s old before the next one comes.
        """
        linked = self._linked.get(seat)
        if linked is not None and seat < self._own.seat:
            linked.due_ms = min(linked.due_ms, now_ms + HEARTBEAT_MS / 2)

    def _send_heartbeat(self, identity: EntryId, now_ms: float) -> None:
        peer = self.peers.peer(identity)
        if peer is None:
            return
        confirmation = self.confirmation
        base_version = peer.confirmed_version
        heartbeat = Heartbeat(
            seat=self._own.seat,
            boot_id=self._own.boot_id,
            sequence=peer.next_sequence(now_ms=now_ms),
            echo_boot_id=identity.boot_id,
            echo_sequence=peer.received_sequence,
            config_version=self._version,
            platform_confirmation_age_ms=_whole_ms(confirmation.age_ms(now_ms=now_ms)),
            platform_response_age_ms=_whole_ms(confirmation.silence_ms(now_ms=now_ms), up=False),
            platform_reachable=confirmation.is_platform_reachable(now_ms=now_ms),
            draining=self._draining,
            list_version=self.duties.version,
            base_list_version=base_version,
            acked_list_version=peer.seen_version,
            targets=self.duties.entries_since(base_version),
        )
        self._emit(identity.seat, heartbeat)

    def _emit(self, seat: int | None, message: Message) -> None:
        self._outgoing.append(Outgoing(seat, message))

    def _announce(self, notice: TargetClosedNotice) -> None:
        self._emit(None, notice)

    def _holders(self, now_ms: float) -> Holders:
        return self.fleet.holders(self.peers.heard(now_ms=now_ms), now_ms=now_ms)


def _whole_ms(value_ms: float | None, *, up: bool = True) -> int | None:
    """Round an age up, or a silence down, so that rounding never claims too much."""
    if value_ms is None:
        return None
    return int(value_ms) + int(up)
