"""Writes evidence on requests that end targets to the store, from which all entries learn it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery import ChangeSourceError, CrashSeen, CrashWithdrawn

MAX_PENDING = 256
MAX_TRIES = 4
RETRY_DELAY_S = 0.3
LEASE_TTL_MS = 600_000.0
LEASE_USE_MS = 300_000.0
"""Evidence is written under one lease for this time, so it stays for at least as long."""

CrashReport = CrashSeen | CrashWithdrawn


class CrashStore(Protocol):
    """The part of the store client that writes evidence; calls raise ``ChangeSourceError``."""

    async def create_lease(self, *, ttl_ms: float) -> int:
        """Return a new lease."""

    async def write_crash(self, crash: CrashSeen, *, lease: int) -> bool:
        """Write evidence under ``lease``; return False if the lease has ended."""

    async def remove_crash(self, crash: CrashWithdrawn) -> None:
        """Remove evidence."""


class CrashReports:
    """Queue of evidence that is not in the store yet; the oldest is written first."""

    __slots__ = ("_lease", "_lease_until_ms", "_on_event", "_pending", "_store")

    def __init__(self, store: CrashStore, *, on_event: Callable[..., None]) -> None:
        self._store = store
        self._on_event = on_event
        self._pending: curio.Queue = curio.Queue()
        self._lease = 0
        self._lease_until_ms = 0.0

    async def add(self, report: CrashReport) -> None:
        """Queue ``report``, or drop it if too many are pending."""
        if self._pending.qsize() >= MAX_PENDING:
            self._on_event("crash report dropped", fingerprint=report.fingerprint)
            return
        await self._pending.put(report)

    async def run(self) -> None:
        """Write the reports until cancelled."""
        while True:
            await self._write_with_retries(await self._pending.get())

    async def _write_with_retries(self, report: CrashReport) -> None:
        reason = ""
        for _ in range(MAX_TRIES):
            try:
                await self._write(report)
            except ChangeSourceError as error:
                reason = str(error)
                await curio.sleep(RETRY_DELAY_S)
            else:
                return
        self._on_event("crash report lost", fingerprint=report.fingerprint, reason=reason)

    async def _write(self, report: CrashReport) -> None:
        if isinstance(report, CrashWithdrawn):
            await self._store.remove_crash(report)
            return
        if now_ms() >= self._lease_until_ms:
            self._lease = await self._store.create_lease(ttl_ms=LEASE_TTL_MS)
            self._lease_until_ms = now_ms() + LEASE_USE_MS
        if not await self._store.write_crash(report, lease=self._lease):
            self._lease_until_ms = 0.0
            raise ChangeSourceError("the lease of crash reports has ended")
