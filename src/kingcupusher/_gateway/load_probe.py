"""Questions to a few targets about their load, just before a request is sent."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import curio

from kingcupusher._core import now_ms
from kingcupusher._discovery import Target
from kingcupusher._gateway.header_codec import HeaderCodec
from kingcupusher._gateway.target_clients import Link, Links
from kingcupusher._http.buffered import encode_request, read_response
from kingcupusher._http.client_connection import ClientConnection
from kingcupusher._http.errors import HttpError, PoolLimitError, ResetError
from kingcupusher._routing.load_reading import LoadReading

ASK_TIMEOUT_MS = 150.0
"""A target that says nothing for this long is not waited for."""
STRAGGLER_MS = 4.0
"""Time that later answers get after the first good one; a question takes 2 ms across zones."""


class ProbedTarget:
    """A target that answered, and the open connection on which it did."""

    __slots__ = ("connection", "link", "reading")

    def __init__(self, link: Link, connection: ClientConnection, reading: LoadReading) -> None:
        self.link = link
        self.connection = connection
        self.reading = reading

    @property
    def target(self) -> Target:
        """The target that answered."""
        return self.link.target


class Surveyor:
    """Asks targets and keeps the connections of those that are not chosen."""

    __slots__ = ("_header_codec", "_links", "asked_count")

    def __init__(self, links: Links, header_codec: HeaderCodec) -> None:
        self._links = links
        self._header_codec = header_codec
        self.asked_count = 0

    async def ask(
        self, targets: Collection[Target], *, health_path: bytes, deadline_ms: float
    ) -> Sequence[ProbedTarget]:
        """Return the answers that come in time; the caller owns their connections."""
        round_ = _Round(self._links, self._header_codec, health_path)
        self.asked_count += len(targets)
        return await round_.run(targets, deadline_ms=min(deadline_ms, now_ms() + ASK_TIMEOUT_MS))

    async def give_back(self, answers: Collection[ProbedTarget]) -> None:
        """Return the connections of ``answers`` to their pools."""
        for answer in answers:
            await answer.link.pool.release(answer.connection, reusable=True)


class _Round:
    """One question to several targets at the same time."""

    __slots__ = ("_header_codec", "_health_path", "_is_over", "_links", "_results")

    def __init__(self, links: Links, header_codec: HeaderCodec, health_path: bytes) -> None:
        self._links = links
        self._header_codec = header_codec
        self._health_path = health_path
        self._results: curio.Queue = curio.Queue()
        self._is_over = False

    async def run(self, targets: Collection[Target], *, deadline_ms: float) -> list[ProbedTarget]:
        answers: list[ProbedTarget] = []
        for target in targets:
            await curio.spawn(self._ask_one, target, deadline_ms, daemon=True)
        try:
            await self._collect(answers, len(targets), deadline_ms)
        except BaseException:
            for answer in answers:
                await answer.link.pool.release(answer.connection, reusable=True)
            raise
        finally:
            self._is_over = True
        await self._take_late(answers)
        return answers

    async def _take_late(self, answers: list[ProbedTarget]) -> None:
        while not self._results.empty():
            answer = await self._results.get()
            if answer is not None:
                answers.append(answer)

    async def _collect(self, answers: list[ProbedTarget], count: int, deadline_ms: float) -> None:
        until_ms = deadline_ms
        for _ in range(count):
            wait_s = max(0.0, (until_ms - now_ms()) / 1000.0)
            answer = await curio.ignore_after(wait_s, self._results.get)
            if answer is None:
                if now_ms() >= until_ms:
                    return
                continue
            answers.append(answer)
            if answer.reading.is_healthy and not answer.reading.is_cold:
                until_ms = min(until_ms, now_ms() + STRAGGLER_MS)

    async def _ask_one(self, target: Target, deadline_ms: float) -> None:
        answer: ProbedTarget | None = None
        wait_s = max(0.0, (deadline_ms - now_ms()) / 1000.0)
        try:
            async with curio.ignore_after(wait_s) as timer:
                answer = await self._exchange(self._links.get(target), deadline_ms)
            if timer.expired:
                self._links.get(target).on_failure(now_ms=now_ms())
        except PoolLimitError:
            answer = None
        except HttpError:
            self._links.get(target).on_failure(now_ms=now_ms())
        if self._is_over:
            if answer is not None:
                await answer.link.pool.release(answer.connection, reusable=True)
            return
        await self._results.put(answer)

    async def _exchange(self, link: Link, deadline_ms: float) -> ProbedTarget | None:
        """Ask once, and again on a new connection if the kept one had been closed meanwhile."""
        connection = await link.pool.acquire(recent_only=False, deadline_ms=deadline_ms)
        try:
            return await self._ask_on(connection, link)
        except ResetError:
            if not connection.is_stale():
                raise
        connection = await link.pool.open_new(deadline_ms=deadline_ms)
        return await self._ask_on(connection, link)

    async def _ask_on(self, connection: ClientConnection, link: Link) -> ProbedTarget | None:
        answer: ProbedTarget | None = None
        try:
            headers = [(b"host", str(connection.address).encode())]
            await connection.send(
                encode_request(connection, b"GET", self._health_path, headers, b"")
            )
            response = await read_response(connection)
            link.note_idle_limit(response)
            said = self._header_codec.parse_probe_response(response, now_ms=now_ms())
            is_target = said is not None and said.target_id == link.target.target_id
            if said is not None and is_target and connection.is_complete():
                answer = ProbedTarget(link, connection, said.reading)
        finally:
            if answer is None:
                await link.pool.release(connection, reusable=False)
        return answer
