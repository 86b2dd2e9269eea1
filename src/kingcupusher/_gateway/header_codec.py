"""Interface to the header fields of a deployment."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from msgspec import Struct

from kingcupusher._http.buffered import BufferedResponse
from kingcupusher._http.heads import HeaderList, RequestHead
from kingcupusher._limits.announcements import NO_ANNOUNCEMENT, Announcement
from kingcupusher._routing.load_reading import LoadReading


class ResponseKind(Enum):
    """Classification of a target's response.

    ``UNPROVEN_REFUSAL`` has a status by which callers understand that the request has not run,
    without the target's statement that it has not. It must not be passed on.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not-run"
    UNPROVEN_REFUSAL = "unproven-refusal"
    INVALID = "invalid"


class ProbeResponse(Struct, frozen=True):
    """Response to a load probe: the target that sent it, its load and what it announces."""

    target_id: str
    reading: LoadReading
    announcement: Announcement = NO_ANNOUNCEMENT


class CallerIdentity(Struct, frozen=True):
    """Who sent a request if the configuration names customers; no name on a public route."""

    customer: str | None = None


class HeaderCodec(Protocol):
    """Decodes and encodes the header fields of one deployment."""

    def request_id(self, head: RequestHead) -> bytes:
        """Return the caller's identifier of the request, empty if it has none."""

    def time_left_ms(self, head: RequestHead) -> float | None:
        """Return how long the caller waits, or None if the request does not contain it."""

    def customer_key(self, head: RequestHead) -> bytes | None:
        """Return the key by which the caller identifies its customer, or None without one."""

    def request_headers(
        self,
        head: RequestHead,
        *,
        target_id: str,
        remaining_ms: int,
        identity: CallerIdentity | None,
    ) -> HeaderList:
        """Return the headers of the request to ``target_id``.

        With an ``identity``, they name its customer and do not contain the key.
        """

    def response_request_id(self, response: BufferedResponse) -> bytes:
        """Return the identifier of the request that ``response`` names, empty if it names none."""

    def classify(self, response: BufferedResponse) -> ResponseKind:
        """Return the kind of ``response``."""

    def announcement(self, response: BufferedResponse) -> Announcement:
        """Return what the target that sent ``response`` announces in it."""

    def response_headers(self, response: BufferedResponse) -> HeaderList:
        """Return the headers of ``response`` that the caller receives."""

    def error_response_headers(
        self, head: RequestHead, *, retry_after_ms: float | None
    ) -> HeaderList:
        """Return the headers of an error response that the entry generates."""

    def parse_probe_response(
        self, response: BufferedResponse, *, now_ms: float
    ) -> ProbeResponse | None:
        """Return the decoded response to a load probe, or None if it is unreadable."""
