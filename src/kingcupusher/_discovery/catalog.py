"""In-memory state of routes, targets, zones and readers, without I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from kingcupusher._core import Registry
from kingcupusher._discovery.changes import (
    Change,
    CrashSeen,
    CrashWithdrawn,
    ReaderGone,
    ReaderSeen,
    RoutesPublished,
    StoreReturned,
    TargetGone,
    TargetSeen,
    ZoneReturned,
    ZoneTakenOut,
)
from kingcupusher._discovery.customer_keys import key_digest
from kingcupusher._discovery.live_entries import LiveEntries
from kingcupusher._discovery.model import (
    Customer,
    Route,
    RouteTable,
    ServiceConfig,
    TargetRegistration,
)
from kingcupusher._discovery.rollout_states import RolloutStates
from kingcupusher._discovery.route_index import RouteIndex
from kingcupusher._discovery.target import Target
from kingcupusher._limits.announcements import TargetAnnouncements
from kingcupusher._limits.crash_quarantine import CrashQuarantine

SAME_RETURN_MS = 500.0
"""Entries tell each other the time that is left for renewals. An end this much later than the
known one is the same end, told with the delay of a few links, and must not prolong the time."""

_CHANGE_HANDLERS: Registry[Callable[[Catalog, Change, float], None]] = Registry("change")


class Catalog:
    """Applies changes and returns the routes and targets that may be used."""

    __slots__ = (
        "_customers_by_digest",
        "_grace_end_ms",
        "_route_index",
        "announcements",
        "crashes",
        "listeners",
        "live_entries",
        "readers",
        "rollout_states",
        "route_table",
        "targets",
        "zones_out",
    )

    def __init__(self) -> None:
        self.route_table: RouteTable | None = None
        self.targets: dict[str, Target] = {}
        self.zones_out: set[str] = set()
        self.listeners: list[Callable[[str, dict[str, object]], None]] = []
        self._customers_by_digest: dict[bytes, Customer] = {}
        self.readers: dict[int, ReaderSeen] = {}
        self.live_entries = LiveEntries()
        self.announcements = TargetAnnouncements(Random())
        self.crashes = CrashQuarantine()
        self.rollout_states = RolloutStates(self._notify_listeners, self.registered_versions)
        self._grace_end_ms = 0.0
        self._route_index = RouteIndex()

    # -- changes

    def apply(self, changes: Iterable[Change], *, now_ms: float) -> None:
        """Apply ``changes``, oldest first."""
        for change in changes:
            _CHANGE_HANDLERS.get(type(change).__name__)(self, change, now_ms)

    def replace(self, changes: Iterable[Change], *, now_ms: float) -> None:
        """Replace the state by a full snapshot; what it does not contain is removed.

        Evidence on requests that end targets stays, since a restored store may lack it.
        """
        changes = list(changes)
        seen = {c.record.target_id for c in changes if isinstance(c, TargetSeen)}
        out = {c.zone for c in changes if isinstance(c, ZoneTakenOut)}
        slots = {c.slot for c in changes if isinstance(c, ReaderSeen)}
        missing: list[Change] = [TargetGone(i) for i in self.targets if i not in seen]
        missing += [ZoneReturned(zone) for zone in self.zones_out if zone not in out]
        missing += [ReaderGone(slot) for slot in self.readers if slot not in slots]
        missing += self.rollout_states.missing_from(changes)
        self.apply(missing + changes, now_ms=now_ms)

    def remove_lapsed_targets(self, *, now_ms: float) -> None:
        """Remove the targets whose registration lapsed and was not renewed in time."""
        for target in [t for t in self.targets.values() if t.removal_ms is not None]:
            if target.removal_ms is not None and target.removal_ms <= now_ms:
                self._remove_target(target.target_id, "registration did not return")

    # -- queries

    @property
    def has_routes(self) -> bool:
        """Whether routes are known, so that requests can be routed."""
        return self.route_table is not None

    def route_for(self, host: bytes, path: bytes) -> Route | None:
        """Return the route with the longest prefix of ``path`` among those of ``host``."""
        return self._route_index.find(host, path)

    @property
    def has_customers(self) -> bool:
        """Whether the configuration in force names customers, so that requests need a key."""
        return self.route_table is not None and bool(self.route_table.customers)

    def customer_with_key(self, key: bytes | None) -> Customer | None:
        """Return the customer that holds ``key`` in the configuration in force."""
        return None if key is None else self._customers_by_digest.get(key_digest(key))

    def pick_service(self, route: Route) -> ServiceConfig | None:
        """Return the service for the next request of ``route``, by weighted round robin."""
        if self.route_table is None:
            return None
        return self.route_table.services.get(self._route_index.next_service(route))

    def registered_versions(self, service: str) -> frozenset[str]:
        """Return the versions that the registered targets of ``service`` run, usable or not."""
        return frozenset(
            target.version for target in self.targets.values() if target.record.service == service
        )

    def usable_targets(self, service: str) -> list[Target]:
        """Return the targets of ``service`` that neither leave nor are in a zone taken out."""
        return [
            target
            for target in self.targets.values()
            if target.record.service == service and self._accepts_requests(target)
        ]

    def may_send(self, target: Target) -> bool:
        """Return whether ``target`` was not replaced and may still get requests."""
        return self.targets.get(target.target_id) is target and self._accepts_requests(target)

    def grace_left_ms(self, *, now_ms: float) -> float:
        """Return for how long registrations that lapsed in an outage may still be renewed."""
        return max(0.0, self._grace_end_ms - now_ms)

    def snapshot(self) -> list[Change]:
        """Return the full state as changes, for an entry without any state.

        A target whose registration lapsed is both seen and gone, so that the other entry keeps it
        only if it also gets ``StoreReturned``, and for as long as that states.
        """
        changes: list[Change] = (
            [] if self.route_table is None else [RoutesPublished(self.route_table)]
        )
        changes += [TargetSeen(target.record) for target in self.targets.values()]
        lapsed = [target for target in self.targets.values() if target.removal_ms is not None]
        changes += [TargetGone(target.target_id) for target in lapsed]
        changes += [ZoneTakenOut(zone) for zone in sorted(self.zones_out)]
        changes += [CrashSeen(fingerprint, t) for fingerprint, t in self.crashes.snapshot()]
        return changes + self.rollout_states.snapshot() + list(self.readers.values())

    # -- details

    def _accepts_requests(self, target: Target) -> bool:
        record = target.record
        is_leaving = record.is_draining or self.announcements.is_leaving(record.instance)
        return not is_leaving and record.zone not in self.zones_out

    def _remove_target(self, target_id: str, reason: str) -> None:
        if self.targets.pop(target_id, None) is not None:
            self._notify_listeners("target removed", target=target_id, reason=reason)

    def _notify_listeners(self, event: str, **fields: object) -> None:
        for listener in self.listeners:
            listener(event, fields)

    @_CHANGE_HANDLERS.register("RoutesPublished")
    def _on_routes(self, change: Change, now_ms: float) -> None:  # noqa: ARG002
        assert isinstance(change, RoutesPublished)
        table = change.table
        if self.route_table is not None and table.version <= self.route_table.version:
            return
        before = self.route_table.version if self.route_table else None
        self.route_table = table
        self._route_index.replace(table)
        self._customers_by_digest = {
            digest: customer for customer in table.customers for digest in customer.key_digests
        }
        self._notify_listeners("routes in force", version=table.version, before=before)

    @_CHANGE_HANDLERS.register("TargetSeen")
    def _on_target(self, change: Change, now_ms: float) -> None:
        assert isinstance(change, TargetSeen)
        record = change.record
        known = self.targets.get(record.target_id)
        if known is not None and known.record.born_unix_ms > record.born_unix_ms:
            return
        is_same = known is not None and _is_same_process(known.record, record)
        if known is not None and is_same:
            if known.record.is_draining != record.is_draining:
                self._notify_listeners(
                    "target state", target=record.target_id, draining=record.is_draining
                )
            known.record = record
            known.removal_ms = None
            known.warm_at_ms = now_ms + record.cold_left_ms
            return
        self.targets[record.target_id] = Target(record, now_ms=now_ms)
        self._notify_listeners(
            "target added",
            target=record.target_id,
            service=record.service,
            target_zone=record.zone,
            cold_left_ms=record.cold_left_ms,
        )

    @_CHANGE_HANDLERS.register("TargetGone")
    def _on_target_gone(self, change: Change, now_ms: float) -> None:
        assert isinstance(change, TargetGone)
        target = self.targets.get(change.target_id)
        if target is None:
            return
        if now_ms < self._grace_end_ms and not target.record.is_draining:
            if target.removal_ms is None:
                target.removal_ms = self._grace_end_ms
                self._notify_listeners("target registration lapsed", target=change.target_id)
            return
        self._remove_target(change.target_id, "registration removed")

    @_CHANGE_HANDLERS.register("ZoneTakenOut")
    def _on_zone_out(self, change: Change, now_ms: float) -> None:  # noqa: ARG002
        assert isinstance(change, ZoneTakenOut)
        if change.zone not in self.zones_out:
            self.zones_out.add(change.zone)
            self._notify_listeners("zone taken out", ordered_zone=change.zone)

    @_CHANGE_HANDLERS.register("ZoneReturned")
    def _on_zone_in(self, change: Change, now_ms: float) -> None:  # noqa: ARG002
        assert isinstance(change, ZoneReturned)
        if change.zone in self.zones_out:
            self.zones_out.discard(change.zone)
            self._notify_listeners("zone returned", ordered_zone=change.zone)

    @_CHANGE_HANDLERS.register("ReaderSeen")
    def _on_reader(self, change: Change, now_ms: float) -> None:  # noqa: ARG002
        assert isinstance(change, ReaderSeen)
        if self.readers.get(change.slot) != change:
            self.readers[change.slot] = change
            self._notify_listeners("reader seen", slot=change.slot, reader=change.entry)

    @_CHANGE_HANDLERS.register("ReaderGone")
    def _on_reader_gone(self, change: Change, now_ms: float) -> None:  # noqa: ARG002
        assert isinstance(change, ReaderGone)
        if self.readers.pop(change.slot, None) is not None:
            self._notify_listeners("reader gone", slot=change.slot)

    @_CHANGE_HANDLERS.register("CrashSeen")
    def _on_crash(self, change: Change, now_ms: float) -> None:
        assert isinstance(change, CrashSeen)
        if self.crashes.learn(change.fingerprint, change.target_id, now_ms=now_ms):
            ended = self.crashes.ended_targets(change.fingerprint, now_ms=now_ms)
            self._notify_listeners(
                "target ended under a request",
                fingerprint=change.fingerprint,
                target=change.target_id,
                ended_targets=ended,
            )

    @_CHANGE_HANDLERS.register("CrashWithdrawn")
    def _on_crash_withdrawn(self, change: Change, now_ms: float) -> None:  # noqa: ARG002
        assert isinstance(change, CrashWithdrawn)
        self.crashes.forget(change.fingerprint, change.target_id)

    @_CHANGE_HANDLERS.register("RolloutOrdered")
    @_CHANGE_HANDLERS.register("RolloutWithdrawn")
    @_CHANGE_HANDLERS.register("RolloutPhaseSeen")
    @_CHANGE_HANDLERS.register("RolloutPhaseGone")
    def _on_rollout(self, change: Change, now_ms: float) -> None:
        self.rollout_states.apply(change, now_ms=now_ms)

    @_CHANGE_HANDLERS.register("StoreReturned")
    def _on_store_return(self, change: Change, now_ms: float) -> None:
        assert isinstance(change, StoreReturned)
        grace_end_ms = now_ms + change.grace_left_ms
        if grace_end_ms > self._grace_end_ms + SAME_RETURN_MS:
            self._grace_end_ms = grace_end_ms


def _is_same_process(known: TargetRegistration, record: TargetRegistration) -> bool:
    return (known.born_unix_ms, known.address, known.service) == (
        record.born_unix_ms,
        record.address,
        record.service,
    )
