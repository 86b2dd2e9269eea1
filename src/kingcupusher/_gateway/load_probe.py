"""Load probes of a few targets, sent just before a request."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery import Target
from kingcupusher._gateway.header_codec import HeaderCodec
from kingcupusher._gateway.target_clients import TargetClient, TargetClients
from kingcupusher._http.buffered import encode_request, read_response
from kingcupusher._http.client_connection import ClientConnection
from kingcupusher._http.errors import HttpError, PoolLimitError, ResetError
from kingcupusher._http.response_budget import ResponseBudget, ResponseShare
from kingcupusher._routing.load_reading import LoadReading
from kingcupusher._routing.reading_reuse import with_later_requests

PROBE_TIMEOUT_MS = 150.0
"""Probes without a response for this long count as failed."""
MAX_PROBE_RESPONSE_BYTES = 65_536
LATE_RESPONSE_WAIT_MS = 4.0
"""Wait for further responses after the first good one; a probe takes 2 ms across zones."""


class ProbedTarget:
    """A target that responded to a load probe, and the open connection to it.

    ``claimed_ms`` is when a request to it was counted, None before.
    """

    __slots__ = ("claimed_ms", "client", "connection", "reading")

    def __init__(
        self, client: TargetClient, connection: ClientConnection, reading: LoadReading
    ) -> None:
        self.client = client
        self.connection = connection
        self.reading = reading
        self.claimed_ms: float | None = None

    @property
    def target(self) -> Target:
        """The target that responded."""
        return self.client.target


class LoadProber:
    """Probes the load of targets over pooled connections."""

    __slots__ = ("_budget", "_clients", "_header_codec", "probe_count")

    def __init__(
        self, clients: TargetClients, header_codec: HeaderCodec, *, budget: ResponseBudget
    ) -> None:
        self._clients = clients
        self._header_codec = header_codec
        self._budget = budget
        self.probe_count = 0

    async def probe(
        self, targets: Collection[Target], *, health_path: bytes, deadline_ms: float
    ) -> Sequence[ProbedTarget]:
        """Return the targets that respond in time; the caller must release their connections."""
        round_ = _ProbeRound(self._clients, self._header_codec, health_path, self._budget)
        self.probe_count += len(targets)
        return await round_.run(targets, deadline_ms=min(deadline_ms, now_ms() + PROBE_TIMEOUT_MS))

    async def reuse_reading(self, target: Target, *, max_age_ms: float) -> ProbedTarget | None:
        """Return ``target`` with its last reading instead of a probe, or None if it is too old.

        A target that has restarted has closed its connections, so that it is probed again.
        """
        client = self._clients.get(target)
        reading = client.recent_reading(max_age_ms=max_age_ms, now_ms=now_ms())
        if reading is None:
            return None
        connection = await client.pool.acquire_idle(max_idle_ms=max_age_ms)
        if connection is None:
            return None
        later_count = client.sends.running_after(reading.read_ms)
        return ProbedTarget(client, connection, with_later_requests(reading, later_count))

    async def release(self, results: Collection[ProbedTarget]) -> None:
        """Return the connections of ``results`` to their pools."""
        for probed in results:
            await probed.client.pool.release(probed.connection, reusable=True)


class _ProbeRound:
    """Concurrent probes of several targets."""

    __slots__ = ("_budget", "_clients", "_header_codec", "_health_path", "_is_over", "_results")

    def __init__(
        self,
        clients: TargetClients,
        header_codec: HeaderCodec,
        health_path: bytes,
        budget: ResponseBudget,
    ) -> None:
        self._clients = clients
        self._budget = budget
        self._header_codec = header_codec
        self._health_path = health_path
        self._results: curio.Queue = curio.Queue()
        self._is_over = False

    async def run(self, targets: Collection[Target], *, deadline_ms: float) -> list[ProbedTarget]:
        results: list[ProbedTarget] = []
        for target in targets:
            await curio.spawn(self._probe_target, target, deadline_ms, daemon=True)
        try:
            await self._collect(results, len(targets), deadline_ms)
        except BaseException:
            # Probes that end from now on release their own connections.
            self._is_over = True
            await self._add_late_results(results)
            for probed in results:
                await probed.client.pool.release(probed.connection, reusable=True)
            raise
        finally:
            self._is_over = True
        await self._add_late_results(results)
        return results

    async def _add_late_results(self, results: list[ProbedTarget]) -> None:
        while not self._results.empty():
            probed = await self._results.get()
            if probed is not None:
                results.append(probed)

    async def _collect(self, results: list[ProbedTarget], count: int, deadline_ms: float) -> None:
        until_ms = deadline_ms
        for _ in range(count):
            wait_s = max(0.0, (until_ms - now_ms()) / 1000.0)
            probed = await curio.ignore_after(wait_s, self._results.get)
            if probed is None:
                if now_ms() >= until_ms:
                    return
                continue
            results.append(probed)
            if probed.reading.is_healthy and not probed.reading.is_cold:
                until_ms = min(until_ms, now_ms() + LATE_RESPONSE_WAIT_MS)

    async def _probe_target(self, target: Target, deadline_ms: float) -> None:
        probed: ProbedTarget | None = None
        wait_s = max(0.0, (deadline_ms - now_ms()) / 1000.0)
        try:
            async with curio.ignore_after(wait_s) as timer:
                probed = await self._probe_client(self._clients.get(target), deadline_ms)
            if timer.expired:
                self._clients.get(target).on_failure(now_ms=now_ms())
        except PoolLimitError:
            probed = None
        except HttpError:
            self._clients.get(target).on_failure(now_ms=now_ms())
        if self._is_over:
            if probed is not None:
                await probed.client.pool.release(probed.connection, reusable=True)
            return
        await self._results.put(probed)

    async def _probe_client(self, client: TargetClient, deadline_ms: float) -> ProbedTarget | None:
        """Probe once, and again on a new connection if the target had closed the pooled one."""
        connection = await client.pool.acquire(recent_only=False, deadline_ms=deadline_ms)
        try:
            return await self._probe_on(connection, client)
        except ResetError:
            if not connection.is_stale():
                raise
        connection = await client.pool.open_new(deadline_ms=deadline_ms)
        return await self._probe_on(connection, client)

    async def _probe_on(
        self, connection: ClientConnection, client: TargetClient
    ) -> ProbedTarget | None:
        probed: ProbedTarget | None = None
        share = ResponseShare(self._budget)
        try:
            if not share.try_begin():
                return None
            headers = [(b"host", str(connection.address).encode())]
            await connection.send(
                encode_request(connection, b"GET", self._health_path, headers, b"")
            )
            response = await read_response(
                connection, share=share, max_bytes=MAX_PROBE_RESPONSE_BYTES
            )
            client.apply_keep_alive(response)
            parsed = self._header_codec.parse_probe_response(response, now_ms=now_ms())
            is_target = parsed is not None and parsed.target_id == client.target.target_id
            if parsed is not None and is_target and connection.is_complete():
                self._clients.record_reading(client, parsed.reading)
                self._clients.record_announcement(client, parsed.announcement, request_id=None)
                probed = ProbedTarget(client, connection, parsed.reading)
        finally:
            share.release()
            if probed is None:
                await client.pool.release(connection, reusable=False)
        return probed
