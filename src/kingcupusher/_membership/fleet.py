"""Registered entries, and those that may still run after their registration ended."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct

from kingcupusher._membership.bounds import DEPARTED_MS
from kingcupusher._membership.peers import EntryId


class Holders(Struct, frozen=True):
    """Other entries that may hold a right to use a target.

    ``entries`` can be asked to give it up; departed ones cannot.
    """

    entries: set[EntryId]
    has_departed: bool


class Fleet:
    """Entries as the key-value service listed them at the last successful read."""

    __slots__ = ("_departed", "_own", "_registered")

    def __init__(self, own: EntryId) -> None:
        self._own = own
        self._registered: dict[int, EntryId] = {}
        self._departed: dict[EntryId, float] = {}

    @property
    def registered(self) -> frozenset[EntryId]:
        """The registered entries, this one included if it is registered."""
        return frozenset(self._registered.values())

    def others(self, *, now_ms: float) -> set[EntryId]:
        """Return the other entries that are registered or may run without a registration."""
        self._forget(now_ms)
        return {*self._registered.values(), *self._departed} - {self._own}

    def replace(
        self, boot_ids: Mapping[int, int], *, drained: Collection[EntryId], now_ms: float
    ) -> None:
        """Take over a list of registered entries: boot id by seat.

        An entry that announced its drain sends no new work after its registration ended.
        """
        registered = {seat: EntryId(seat, boot_id) for seat, boot_id in boot_ids.items()}
        gone = set(self._registered.values()) - set(registered.values())
        self._depart(gone - set(drained), now_ms)
        self._registered = registered

    def holders(self, heard: Iterable[EntryId], *, now_ms: float) -> Holders:
        """Return who may use a target, given the peers that were heard lately."""
        self._forget(now_ms)
        entries = {*self._registered.values(), *heard} - {self._own}
        return Holders(entries, has_departed=not self._departed.keys() <= entries)

    def _forget(self, now_ms: float) -> None:
        self._departed = {e: until for e, until in self._departed.items() if now_ms < until}

    def _depart(self, entries: Iterable[EntryId], now_ms: float) -> None:
        for entry in entries:
            self._departed[entry] = now_ms + DEPARTED_MS
