"""Header codec with plain header names, so that gateway tests need no platform code."""

from __future__ import annotations

from kingcupusher._gateway.header_codec import ProbeResponse, ResponseKind
from kingcupusher._limits.announcements import Announcement
from kingcupusher._routing.load_reading import LoadReading

REPLACED_HEADERS = frozenset(
    {b"connection", b"content-length", b"transfer-encoding", b"x-timeout-ms"}
)

PROMISE_STATUSES = frozenset({408, 429, 503})
IDENTITY_HEADERS = frozenset({b"x-key", b"x-customer"})


class PlainHeaderCodec:
    """``x-id``, ``x-timeout-ms``, ``x-target``, ``x-signed``, ``x-not-run`` and ``x-load``."""

    def request_id(self, head):
        """Return ``x-id``."""
        return dict(head.headers).get(b"x-id", b"")

    def time_left_ms(self, head):
        """Return ``x-timeout-ms``."""
        value = dict(head.headers).get(b"x-timeout-ms")
        return None if value is None else float(value)

    def customer_key(self, head):
        """Return ``x-key``."""
        return dict(head.headers).get(b"x-key")

    def request_headers(self, head, *, target_id, remaining_ms, identity):
        """Return the headers of the request to the target."""
        replaced = REPLACED_HEADERS | (IDENTITY_HEADERS if identity else frozenset())
        headers = [header for header in head.headers if header[0] not in replaced]
        if identity and identity.customer:
            headers.append((b"x-customer", identity.customer.encode()))
        headers.append((b"x-timeout-ms", b"%d" % remaining_ms))
        return [*headers, (b"x-target", target_id.encode())]

    def response_request_id(self, response):
        """Return ``x-id``."""
        return response.header(b"x-id") or b""

    def classify(self, response):
        """Classify by ``x-not-run``, ``x-signed`` and the status."""
        if response.header(b"x-not-run") is not None:
            return ResponseKind.NOT_RUN
        if response.header(b"x-signed") is None:
            return ResponseKind.INVALID
        if response.status in PROMISE_STATUSES:
            return ResponseKind.UNPROVEN_REFUSAL
        return ResponseKind.SUCCESS if response.status < 500 else ResponseKind.FAILURE

    def response_headers(self, response):
        """Return the headers for the caller."""
        return [header for header in response.headers if header[0] not in REPLACED_HEADERS]

    def error_response_headers(self, head, *, retry_after_ms):
        """Return ``retry-after`` in seconds."""
        return (
            [] if retry_after_ms is None else [(b"retry-after", b"%.3f" % (retry_after_ms / 1e3))]
        )

    def parse_probe_response(self, response, *, now_ms):
        """Parse ``x-load``: running, waiting, slowness in percent, milliseconds of cold start.

        A fifth number is the rate that the target accepts.
        """
        load = response.header(b"x-load")
        if load is None:
            return None
        running, waiting, slowness, cold_left_ms, *rate = (float(n) for n in load.split(b","))
        reading = LoadReading(
            running=int(running),
            waiting=int(waiting),
            slots=3,
            slowness_percent=int(slowness),
            cold_left_ms=cold_left_ms,
            is_healthy=response.status == 200,
            read_ms=now_ms,
            max_requests_per_s=rate[0] if rate else None,
        )
        target_id = response.header(b"x-target").decode()
        return ProbeResponse(target_id, reading, self.announcement(response))

    def announcement(self, response):
        """Return ``x-leaving`` and ``x-pause-ms``."""
        pause = response.header(b"x-pause-ms")
        return Announcement(
            response.header(b"x-leaving") is not None, None if pause is None else float(pause)
        )
