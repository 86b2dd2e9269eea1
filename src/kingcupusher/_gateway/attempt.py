"""One attempt: a request is sent to one target and its response is read."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._gateway.header_codec import CallerIdentity, HeaderCodec, ResponseKind
from kingcupusher._gateway.load_probe import ProbedTarget
from kingcupusher._http.body_pieces import BodyPieces
from kingcupusher._http.buffered import BufferedResponse, encode_in_pieces, read_response
from kingcupusher._http.client_connection import ClientConnection
from kingcupusher._http.errors import ExchangeError, ResponseTooLargeError
from kingcupusher._http.heads import RequestHead
from kingcupusher._http.response_budget import ResponseShare
from kingcupusher._limits.announcements import NO_ANNOUNCEMENT, Announcement


class UnidentifiedResponseError(ExchangeError):
    """Raised when a target sent complete responses, but none that names the request."""


class AttemptOutcome(Enum):
    """Result of an attempt; the values appear in logs and metrics."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not-run"
    UNPROVEN_REFUSAL = "unproven-refusal"
    BROKEN = "broken"
    UNANSWERED = "unanswered"
    SUPERSEDED = "superseded"


OUTCOME_BY_RESPONSE_KIND = {
    ResponseKind.SUCCESS: AttemptOutcome.SUCCESS,
    ResponseKind.FAILURE: AttemptOutcome.FAILURE,
    ResponseKind.NOT_RUN: AttemptOutcome.NOT_RUN,
    ResponseKind.UNPROVEN_REFUSAL: AttemptOutcome.UNPROVEN_REFUSAL,
    ResponseKind.INVALID: AttemptOutcome.BROKEN,
}
DEADLINE_REASON = "no response in time"
"""Reason of an attempt that its target did not answer before the deadline of the request."""
MAX_RESPONSES_READ = 3
"""A target may send late duplicates before the response to this request."""
METHODS_WITH_BODY = frozenset({b"POST", b"PUT", b"PATCH"})


class AttemptResult(Struct):
    """Outcome of one attempt, with the response if it is valid."""

    attempt: Attempt
    outcome: AttemptOutcome
    response: BufferedResponse | None = None
    reason: str = ""
    has_lost_response: bool = False
    """Whether the connection ended without a complete response."""
    announcement: Announcement = NO_ANNOUNCEMENT
    was_sent: bool = True
    """False if the entry kept the request back, which tells nothing about the target."""


class Attempt:
    """Sends a request to one target and reads the response."""

    __slots__ = (
        "_body",
        "_header_codec",
        "_head",
        "_identity",
        "_request_id",
        "ended_ms",
        "fingerprint",
        "probed",
        "sent_ms",
        "share",
    )

    def __init__(
        self,
        probed: ProbedTarget,
        head: RequestHead,
        body: BodyPieces,
        *,
        request_id: bytes,
        fingerprint: str,
        identity: CallerIdentity | None,
        header_codec: HeaderCodec,
        share: ResponseShare,
    ) -> None:
        self.share = share
        self.probed = probed
        self._head = head
        self._body = body
        self._request_id = request_id
        self._identity = identity
        self.fingerprint = fingerprint
        self._header_codec = header_codec
        self.sent_ms = now_ms()
        self.ended_ms = 0.0

    async def run(self, *, deadline_ms: float) -> AttemptResult:
        """Send the request, read the response and release the connection."""
        client = self.probed.client
        connection = self.probed.connection
        is_complete = False
        self.sent_ms = now_ms()
        try:
            result = await self._exchange(connection, deadline_ms)
            is_complete = result.response is not None
        except (UnidentifiedResponseError, ResponseTooLargeError) as error:
            result = AttemptResult(self, AttemptOutcome.BROKEN, reason=str(error))
        except ExchangeError as error:
            result = AttemptResult(
                self, AttemptOutcome.BROKEN, reason=str(error), has_lost_response=True
            )
        finally:
            self.ended_ms = now_ms()
            # The result outlives the request in the log; it must not hold the body.
            self._body = BodyPieces()
            if self.probed.claimed_ms is not None:
                client.sends.finish(self.probed.claimed_ms)
            await client.pool.release(connection, reusable=is_complete)
        if result.response is None:
            self.share.release()
        if result.outcome is AttemptOutcome.SUCCESS or not result.was_sent:
            return result
        # A saturated target may refuse or fail requests without being faulty.
        if result.outcome is AttemptOutcome.BROKEN or not self.probed.reading.is_saturated:
            client.on_failure(now_ms=self.ended_ms)
        return result

    def penalize_target(self) -> None:
        """Prefer other targets; this one may respond to probes but not to requests."""
        self.probed.client.on_failure(now_ms=now_ms())

    async def _exchange(self, connection: ClientConnection, deadline_ms: float) -> AttemptResult:
        if not self.share.try_begin():
            return AttemptResult(
                self,
                AttemptOutcome.NOT_RUN,
                reason="the memory for responses is used up",
                was_sent=False,
            )
        connection.start_next_request()
        for piece in self._encode(connection, deadline_ms):
            await connection.send(piece)
        response = await self._read_own_response(connection)
        kind = self._header_codec.classify(response)
        outcome = OUTCOME_BY_RESPONSE_KIND[kind]
        if kind is ResponseKind.INVALID:
            return AttemptResult(self, outcome, reason="the response is not the target's own")
        announcement = self._header_codec.announcement(response)
        if kind is ResponseKind.UNPROVEN_REFUSAL:
            reason = f"status {response.status} without a statement that the request has not run"
            return AttemptResult(self, outcome, reason=reason, announcement=announcement)
        return AttemptResult(self, outcome, response, announcement=announcement)

    async def _read_own_response(self, connection: ClientConnection) -> BufferedResponse:
        """Return the first response that names this request; skip late ones to earlier requests.

        A response without the identifier may repeat an earlier one, even a refusal or a response
        to a load probe, so it does not show what became of this request.
        """
        for _ in range(MAX_RESPONSES_READ):
            response = await read_response(connection, share=self.share)
            response_id = self._header_codec.response_request_id(response)
            if response_id == self._request_id:
                return response
            if not response_id:
                raise UnidentifiedResponseError(
                    f"{connection.address} sent a response without an identifier"
                )
            connection.expect_another_response()
        raise UnidentifiedResponseError(
            f"{connection.address} sent only responses to other requests"
        )

    def _encode(self, connection: ClientConnection, deadline_ms: float) -> list[bytes]:
        remaining_ms = max(1, int(deadline_ms - now_ms()))
        headers = self._header_codec.request_headers(
            self._head,
            target_id=self.probed.target.target_id,
            remaining_ms=remaining_ms,
            identity=self._identity,
        )
        if self._body.size_bytes or self._head.method in METHODS_WITH_BODY:
            headers.append((b"content-length", b"%d" % self._body.size_bytes))
        return encode_in_pieces(
            connection, self._head.method, self._head.target, headers, self._body.pieces()
        )
