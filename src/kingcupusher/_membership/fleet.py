"""Registered entries, and those that may still run after their registration ended."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from kingcupusher._membership.bounds import DEPARTED_MS
from kingcupusher._membership.peers import EntryId


class Fleet:
    """Entries as the key-value service listed them at the last successful read."""

    __slots__ = ("_departed", "_own", "_registered")

    def __init__(self, own: EntryId) -> None:
        self._own = own
        self._registered: dict[int, EntryId] = {}
        self._departed: dict[EntryId, float] = {}

    @property
    def registered_seats(self) -> frozenset[int]:
        """Seats of the registered entries, this one included if it is registered."""
        return frozenset(self._registered)

    def replace(self, boot_ids: Mapping[int, int], *, now_ms: float) -> None:
        """Take over a list of registered entries: boot id by seat."""
        registered = {seat: EntryId(seat, boot_id) for seat, boot_id in boot_ids.items()}
        self._depart(set(self._registered.values()) - set(registered.values()), now_ms)
        self._registered = registered

    def may_hold_rights(self, heard: Iterable[EntryId], *, now_ms: float) -> set[EntryId]:
        """Return the other entries whose acknowledgement a revocation needs."""
        self._departed = {e: until for e, until in self._departed.items() if now_ms < until}
        entries = {*self._registered.values(), *self._departed, *heard}
        return entries - {self._own}

    def _depart(self, entries: Iterable[EntryId], now_ms: float) -> None:
        for entry in entries:
            self._departed[entry] = now_ms + DEPARTED_MS
