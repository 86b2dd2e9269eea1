"""The header names of a deployment, behind one interface."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from msgspec import Struct

from kingcupusher._http.buffered import BufferedResponse
from kingcupusher._http.heads import HeaderList, RequestHead
from kingcupusher._routing.load_reading import LoadReading


class ResponseKind(Enum):
    """What a target's response says about the request."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not-run"
    INVALID = "invalid"


class ProbeResponse(Struct, frozen=True):
    """Answer to a question about load: which target answered, and what it said."""

    target_id: str
    reading: LoadReading


class HeaderCodec(Protocol):
    """Reads and writes what the header fields of one deployment say."""

    def request_id(self, head: RequestHead) -> bytes:
        """Return the identifier that the caller gave its request, empty if it gave none."""

    def time_left_ms(self, head: RequestHead) -> float | None:
        """Return how long the caller waits, or None if it does not say so."""

    def request_headers(
        self, head: RequestHead, *, target_id: str, remaining_ms: int
    ) -> HeaderList:
        """Return the headers that ``target_id`` gets."""

    def belongs_to(self, response: BufferedResponse, request_id: bytes) -> bool:
        """Return whether ``response`` is for the request ``request_id``."""

    def classify(self, response: BufferedResponse) -> ResponseKind:
        """Return what ``response`` says about its request."""

    def response_headers(self, response: BufferedResponse) -> HeaderList:
        """Return the headers of ``response`` for the caller."""

    def error_response_headers(
        self, head: RequestHead, *, retry_after_ms: float | None
    ) -> HeaderList:
        """Return the headers of a response that the entry itself gives."""

    def parse_probe_response(
        self, response: BufferedResponse, *, now_ms: float
    ) -> ProbeResponse | None:
        """Return what the answer to a question about load says, or None if it is not readable."""
