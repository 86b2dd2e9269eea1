"""The entry's picture of routes, targets, zones and readers; pure, without I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from kingcupusher._core import Registry
from kingcupusher._discovery.changes import (
    Change,
    ReaderGone,
    ReaderSeen,
    RoutesPublished,
    TargetGone,
    TargetSeen,
    ZoneReturned,
    ZoneTakenOut,
)
from kingcupusher._discovery.live_entries import LiveEntries
from kingcupusher._discovery.model import Route, RouteTable, ServiceConfig, TargetRegistration
from kingcupusher._discovery.weighted_round_robin import WeightedRoundRobin

RETURN_GRACE_MS = 2_200.0
"""Registrations that lapsed in an outage of the store are back within 2 s of its return."""


class Target:
    """A registered target. ``gone_ms`` is when a lapsed registration is taken for gone."""

    __slots__ = ("gone_ms", "record", "warm_at_ms")

    def __init__(self, record: TargetRegistration, *, now_ms: float) -> None:
        self.record = record
        self.warm_at_ms = now_ms + record.cold_left_ms
        self.gone_ms: float | None = None

    @property
    def target_id(self) -> str:
        """Identity of the target."""
        return self.record.target_id


_HANDLERS: Registry[Callable[[Catalog, Change, float], None]] = Registry("change")


class Catalog:
    """Applies changes and answers what may be used now."""

    __slots__ = (
        "_by_host",
        "_grace_end_ms",
        "_turns",
        "listeners",
        "live_entries",
        "readers",
        "route_table",
        "targets",
        "zones_out",
    )

    def __init__(self) -> None:
        self.route_table: RouteTable | None = None
        self.targets: dict[str, Target] = {}
        self.zones_out: set[str] = set()
        self.listeners: list[Callable[[str, dict[str, object]], None]] = []
        self._by_host: dict[bytes, list[Route]] = {}
        self.readers: dict[int, ReaderSeen] = {}
        self.live_entries = LiveEntries()
        self._grace_end_ms = 0.0
        self._turns: dict[tuple[str, tuple[object, ...]], WeightedRoundRobin] = {}

    # -- changes

    def apply(self, changes: Iterable[Change], *, now_ms: float) -> None:
        """Take over ``changes``, oldest first."""
        for change in changes:
            _HANDLERS.get(type(change).__name__)(self, change, now_ms)

    def replace(self, changes: Iterable[Change], *, now_ms: float) -> None:
        """Take over a whole picture: what it lacks is treated as removed."""
        changes = list(changes)
        seen = {c.record.target_id for c in changes if isinstance(c, TargetSeen)}
        out = {c.zone for c in changes if isinstance(c, ZoneTakenOut)}
        slots = {c.slot for c in changes if isinstance(c, ReaderSeen)}
        missing: list[Change] = [TargetGone(i) for i in self.targets if i not in seen]
        missing += [ZoneReturned(zone) for zone in self.zones_out if zone not in out]
        missing += [ReaderGone(slot) for slot in self.readers if slot not in slots]
        self.apply(missing + changes, now_ms=now_ms)

    def remove_lapsed_targets(self, *, now_ms: float) -> None:
        """Drop the targets whose lapsed registration did not come back in time."""
        for target in [t for t in self.targets.values() if t.gone_ms is not None]:
            if target.gone_ms is not None and target.gone_ms <= now_ms:
                self._drop(target.target_id, "registration did not return")

    # -- questions

    @property
    def has_routes(self) -> bool:
        """Whether routes are known, so that requests can be decided."""
        return self.route_table is not None

    def route_for(self, host: bytes, path: bytes) -> Route | None:
        """Return the route with the longest prefix of ``path`` among those of ``host``."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def pick_service(self, route: Route) -> ServiceConfig | None:
        """Return the service that gets the next request of ``route``, by the weights."""
        if self.route_table is None:
            return None
        key = (route.name, route.parts)
        turn = self._turns.get(key)
        if turn is None:
            turn = self._turns[key] = WeightedRoundRobin(route.parts)
        return self.route_table.services.get(turn.next_service())

    def usable_targets(self, service: str) -> list[Target]:
        """Return the targets of ``service`` that are not leaving and in no zone taken out."""
        return [
            target
            for target in self.targets.values()
            if target.record.service == service and self._takes_work(target)
        ]

    def may_send(self, target: Target) -> bool:
        """Return whether ``target`` is still the one that was chosen and may get work."""
        return self.targets.get(target.target_id) is target and self._takes_work(target)

    def snapshot(self) -> list[Change]:
        """Return the whole picture as changes, for an entry that starts from nothing."""
        changes: list[Change] = (
            [] if self.route_table is None else [RoutesPublished(self.route_table)]
        )
        changes += [TargetSeen(target.record) for target in self.targets.values()]
        changes += [ZoneTakenOut(zone) for zone in sorted(self.zones_out)]
        return changes + list(self.readers.values())

    # -- details

    def _takes_work(self, target: Target) -> bool:
        return not target.record.is_draining and target.record.zone not in self.zones_out

    def _drop(self, target_id: str, reason: str) -> None:
        if self.targets.pop(target_id, None) is not None:
            self._tell("target removed", target=target_id, reason=reason)

    def _tell(self, event: str, **fields: object) -> None:
        for listener in self.listeners:
            listener(event, fields)

    @_HANDLERS.register("RoutesPublished")
    def _on_routes(self, change: Change, now_ms: float) -> None:  # noqa: ARG002
        assert isinstance(change, RoutesPublished)
        table = change.table
        if self.route_table is not None and table.version <= self.route_table.version:
            return
        before = self.route_table.version if self.route_table else None
        self.route_table = table
        self._turns = {key: turn for key, turn in self._turns.items() if key[1] in _parts(table)}
        self._by_host = {}
        for route in sorted(table.routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host, []).append(route)
        self._tell("routes in force", version=table.version, before=before)

    @_HANDLERS.register("TargetSeen")
    def _on_target(self, change: Change, now_ms: float) -> None:
        assert isinstance(change, TargetSeen)
        record = change.record
        known = self.targets.get(record.target_id)
        if known is not None and known.record.born_unix_ms > record.born_unix_ms:
            return
        is_same = known is not None and _is_same_process(known.record, record)
        if known is not None and is_same:
            if known.record.is_draining != record.is_draining:
                self._tell("target state", target=record.target_id, draining=record.is_draining)
            known.record = record
            known.gone_ms = None
            known.warm_at_ms = now_ms + record.cold_left_ms
            return
        self.targets[record.target_id] = Target(record, now_ms=now_ms)
        self._tell(
            "target added",
            target=record.target_id,
            service=record.service,
            target_zone=record.zone,
            cold_left_ms=record.cold_left_ms,
        )

    @_HANDLERS.register("TargetGone")
    def _on_target_gone(self, change: Change, now_ms: float) -> None:
        assert isinstance(change, TargetGone)
        target = self.targets.get(change.target_id)
        if target is None:
            return
        if now_ms < self._grace_end_ms and not target.record.is_draining:
            if target.gone_ms is None:
                target.gone_ms = self._grace_end_ms
                self._tell("target registration lapsed", target=change.target_id)
            return
        self._drop(change.target_id, "registration removed")

    @_HANDLERS.register("ZoneTakenOut")
    def _on_zone_out(self, change: Change, now_ms: float) -> None:  # noqa: ARG002
        assert isinstance(change, ZoneTakenOut)
        if change.zone not in self.zones_out:
            self.zones_out.add(change.zone)
            self._tell("zone taken out", ordered_zone=change.zone)

    @_HANDLERS.register("ZoneReturned")
    def _on_zone_in(self, change: Change, now_ms: float) -> None:  # noqa: ARG002
        assert isinstance(change, ZoneReturned)
        if change.zone in self.zones_out:
            self.zones_out.discard(change.zone)
            self._tell("zone returned", ordered_zone=change.zone)

    @_HANDLERS.register("ReaderSeen")
    def _on_reader(self, change: Change, now_ms: float) -> None:  # noqa: ARG002
        assert isinstance(change, ReaderSeen)
        if self.readers.get(change.slot) != change:
            self.readers[change.slot] = change
            self._tell("reader seen", slot=change.slot, reader=change.entry)

    @_HANDLERS.register("ReaderGone")
    def _on_reader_gone(self, change: Change, now_ms: float) -> None:  # noqa: ARG002
        assert isinstance(change, ReaderGone)
        if self.readers.pop(change.slot, None) is not None:
            self._tell("reader gone", slot=change.slot)

    @_HANDLERS.register("StoreReturned")
    def _on_store_return(self, change: Change, now_ms: float) -> None:  # noqa: ARG002
        self._grace_end_ms = now_ms + RETURN_GRACE_MS


def _is_same_process(known: TargetRegistration, record: TargetRegistration) -> bool:
    return (known.born_unix_ms, known.address, known.service) == (
        record.born_unix_ms,
        record.address,
        record.service,
    )


def _parts(table: RouteTable) -> set[tuple[object, ...]]:
    return {route.parts for route in table.routes}
