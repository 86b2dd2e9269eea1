"""The task that watches the configuration, entries and coordinators in the key-value service."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import curio
import logbook

from kingcupusher._config import CONFIG_KEY, decode_document, reconcile, sync_with_store
from kingcupusher._config.errors import ConfigError
from kingcupusher._core import now_ms
from kingcupusher._entry.active_config import ActiveConfig
from kingcupusher._entry.members import (
    GroupCoordinator,
    Member,
    decode_coordinators,
    decode_members,
)
from kingcupusher._membership import Membership
from kingcupusher._platform import KeyValueClient, VersionedValue
from kingcupusher._platform.errors import PlatformError

# A confirmation is valid for 2,000 ms after its watch was sent: after one lost watch there is
# time for another.
WATCH_TIMEOUT_MS = 700.0
RETRY_DELAY_S = 0.2

MembersListener = Callable[[dict[int, Member], dict[int, GroupCoordinator]], None]

log = logbook.Logger("platform")


class KeyValueWatcher:
    """Watches all keys and applies their changes to the configuration and the membership."""

    def __init__(self, store: KeyValueClient, config: ActiveConfig, membership: Membership) -> None:
        self._store = store
        self._config = config
        self._membership = membership
        self._revision = 0
        self.rewind_count = 0
        self._is_failing = False
        self._listeners: list[MembersListener] = []
        self.members: dict[int, Member] = {}
        self.coordinators: dict[int, GroupCoordinator] = {}
        self.changed = curio.Event()

    def add_listener(self, listener: MembersListener) -> None:
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
        result = await self._store.watch(
            "", after_revision=self._revision, timeout_ms=WATCH_TIMEOUT_MS
        )
        if result.changed:
            self.rewind_count += result.revision < self._revision
            self._revision = result.revision
            await self._apply(result.values)
        if self._is_failing:
            log.notice("key-value service responds again")
            self._is_failing = False
        self._membership.on_platform_read(sent_ms=sent_ms, now_ms=now_ms())

    async def _apply(self, values: Sequence[VersionedValue]) -> None:
        await self._apply_config(values)
        self.members = decode_members(values)
        self.coordinators = decode_coordinators(values)
        boot_ids = {seat: member.boot_id for seat, member in self.members.items()}
        self._membership.on_registered_entries(boot_ids, now_ms=now_ms())
        for listener in self._listeners:
            listener(self.members, self.coordinators)
        await self.changed.set()

    async def _apply_config(self, values: Sequence[VersionedValue]) -> None:
        stored = next((value for value in values if value.key == CONFIG_KEY), None)
        if stored is None and not self._config.document.version:
            return
        document = decode_document(stored.value) if stored else None
        if document and reconcile(self._config.document, document).document is document:
            self._config.activate(document)
            return
        # The store was rewound: write the active configuration back before it is used again.
        result = await sync_with_store(self._store, self._config.document)
        if result.replaced_items:
            log.warning("items replaced after a rewind", items=result.replaced_items)
        self._config.activate(result.document)

    async def _on_failure(self, error: Exception) -> None:
        if not self._is_failing:
            log.warning("key-value service fails", error=str(error))
            self._is_failing = True
        self._membership.on_platform_failure(now_ms=now_ms())
        await curio.sleep(RETRY_DELAY_S)
