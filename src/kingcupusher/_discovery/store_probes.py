"""Small calls that detect the end of an outage of the store."""

from __future__ import annotations

from collections.abc import Callable

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery.change_source import ChangeSource, ChangeSourceError

READER_PROBE_INTERVAL_MS = 500.0
PROBE_INTERVAL_MS = 800.0
LINKED_PROBE_INTERVAL_MS = 1_600.0
"""Intervals of the probes during an outage. An entry that gets messages of another entry expects to
learn of the end from it, but cannot know whether that entry still reads the store."""
PROBE_TIMEOUT_MS = 4_000.0
CHECK_INTERVAL_S = 0.1


def probe_interval_ms(*, is_reader: bool, is_linked: bool) -> float:
    """Return the interval of the probes of an entry that is a reader, or linked to one."""
    if is_reader:
        return READER_PROBE_INTERVAL_MS
    return LINKED_PROBE_INTERVAL_MS if is_linked else PROBE_INTERVAL_MS


class StoreProbes:
    """Sends probes at intervals until one is answered.

    A call that was sent shortly before the end of an outage may never be answered. Each probe is
    sent without waiting for the one before, so such a call does not delay the detection.
    """

    __slots__ = ("_answered", "_on_failure", "_probed_ms", "_store")

    def __init__(
        self, store: ChangeSource, *, on_failure: Callable[[ChangeSourceError, float], None]
    ) -> None:
        self._store = store
        self._on_failure = on_failure
        self._answered = curio.Event()
        self._probed_ms = 0.0

    async def run(self, *, interval_ms: Callable[[], float], is_needed: Callable[[], bool]) -> None:
        """Return once a probe is answered, or none is needed any more.

        ``interval_ms`` is asked again while the next probe is due, since it may change meanwhile.
        """
        self._answered.clear()
        self._probed_ms = now_ms()
        probes: list[curio.Task] = []
        try:
            while is_needed() and not self._answered.is_set():
                if now_ms() >= self._probed_ms + interval_ms():
                    self._probed_ms = now_ms()
                    probes = [probe for probe in probes if not probe.terminated]
                    probes.append(await curio.spawn(self._probe, daemon=True))
                await _wait_until_set(self._answered)
        finally:
            for probe in probes:
                await probe.cancel()

    async def _probe(self) -> None:
        sent_ms = now_ms()
        try:
            await self._store.probe(timeout_ms=PROBE_TIMEOUT_MS)
        except ChangeSourceError as error:
            self._on_failure(error, now_ms() - sent_ms)
            return
        await self._answered.set()


async def _wait_until_set(event: curio.Event) -> None:
    async with curio.ignore_after(CHECK_INTERVAL_S):
        await event.wait()
