"""The task that follows the key-value service: configuration, entries and coordinators."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import curio
import logbook

from kingcupusher._config import CONFIG_KEY, decode_document, reconcile, sync_with_store
from kingcupusher._config.errors import ConfigError
from kingcupusher._core import now_ms
from kingcupusher._entry.active_config import ActiveConfig
from kingcupusher._entry.members import GroupKey, Member, decode_members, groups_in
from kingcupusher._membership import Membership
from kingcupusher._platform import KeyValueClient, VersionedValue
from kingcupusher._platform.errors import PlatformError

# A confirmation lasts 2,000 ms from the moment at which the watch was sent, so that one lost
# watch leaves time for another.
WATCH_MS = 700.0
RETRY_S = 0.2

FleetListener = Callable[[dict[int, Member], dict[int, GroupKey]], None]

log = logbook.Logger("platform")


class PlatformFollower:
    """Watches all keys and passes on what changed."""

    def __init__(self, store: KeyValueClient, config: ActiveConfig, membership: Membership) -> None:
        self._store = store
        self._config = config
        self._membership = membership
        self._revision = 0
        self.rewinds = 0
        self._is_failing = False
        self._listeners: list[FleetListener] = []
        self.members: dict[int, Member] = {}
        self.groups: dict[int, GroupKey] = {}
        self.changed = curio.Event()

    def listen(self, listener: FleetListener) -> None:
        """Call ``listener`` with the registered entries and coordinators after each change."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            try:
                await self._watch_once()
            except (PlatformError, ConfigError) as error:
                await self._on_failure(error)

    async def _watch_once(self) -> None:
        sent_ms = now_ms()
        seen = await self._store.watch("", after_revision=self._revision, timeout_ms=WATCH_MS)
        if seen.changed:
            self.rewinds += seen.revision < self._revision
            self._revision = seen.revision
            await self._take(seen.values)
        if self._is_failing:
            log.notice("key-value service responds again")
            self._is_failing = False
        self._membership.on_platform_read(sent_ms=sent_ms, now_ms=now_ms())

    async def _take(self, values: Sequence[VersionedValue]) -> None:
        await self._take_config(values)
        self.members = decode_members(values)
        self.groups = groups_in(values)
        boot_ids = {seat: member.boot_id for seat, member in self.members.items()}
        self._membership.on_registered_entries(boot_ids, now_ms=now_ms())
        for listener in self._listeners:
            listener(self.members, self.groups)
        await self.changed.set()

    async def _take_config(self, values: Sequence[VersionedValue]) -> None:
        stored = next((value for value in values if value.key == CONFIG_KEY), None)
        if stored is None and not self._config.document.version:
            return
        document = decode_document(stored.value) if stored else None
        if document and reconcile(self._config.document, document).document is document:
            self._config.put_in_force(document)
            return
        # The store was rewound: what is in force here is written back before it is used further.
        result = await sync_with_store(self._store, self._config.document)
        if result.replaced_items:
            log.warning("items replaced after a rewind", items=result.replaced_items)
        self._config.put_in_force(result.document)

    async def _on_failure(self, error: Exception) -> None:
        if not self._is_failing:
            log.warning("key-value service fails", error=str(error))
            self._is_failing = True
        self._membership.on_platform_failure(now_ms=now_ms())
        await curio.sleep(RETRY_S)
