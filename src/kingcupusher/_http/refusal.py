"""Encodes the response to a request that is rejected before it is complete."""

from __future__ import annotations

import h11

from kingcupusher._http.errors import BadRequestError
from kingcupusher._http.heads import HeaderList
from kingcupusher._http.request_parsing import END_OF_MESSAGE


def encode_refusal(http: h11.Connection, error: BadRequestError, headers: HeaderList) -> bytes:
    """Return the last response of a connection; ``headers`` are added to its own."""
    body = f"{error}\n".encode()
    headers = [(b"content-length", b"%d" % len(body)), (b"connection", b"close"), *headers]
    if error.retry_after_ms is not None:
        headers.append((b"retry-after", b"%.3f" % (error.retry_after_ms / 1000.0)))
    response = h11.Response(status_code=error.status, headers=headers)
    data = (http.send(response) or b"") + (http.send(h11.Data(data=body)) or b"")
    return data + (http.send(END_OF_MESSAGE) or b"")
