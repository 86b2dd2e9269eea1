"""Heads of requests and responses, and header lists without repeated validation by h11."""

from __future__ import annotations

import h11
from h11._headers import Headers
from msgspec import Struct

HeaderList = list[tuple[bytes, bytes]]


class RequestHead(Struct):
    """The head of a request that h11 has parsed; header names are in lower case."""

    method: bytes
    target: bytes
    http_version: bytes
    headers: HeaderList

    @classmethod
    def of(cls, event: h11.Request) -> RequestHead:
        """Return the head of a parsed request."""
        return cls(event.method, event.target, event.http_version, header_list(event.headers))


class ResponseHead(Struct):
    """The head of a response that h11 has parsed; header names are in lower case."""

    status: int
    reason: bytes
    headers: HeaderList

    @classmethod
    def of(cls, event: h11.Response) -> ResponseHead:
        """Return the head of a parsed response."""
        return cls(event.status_code, event.reason, header_list(event.headers))


def header_list(headers: Headers) -> HeaderList:
    """Return ``headers`` as a list, which is much faster to iterate over than h11's type."""
    return [(name.lower(), value) for name, value in headers.raw_items()]


def first_header_value(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first value of the header ``name`` (in lower case), or ``None``."""
    return next((value for key, value in headers if key == name), None)


def host_name(value: bytes) -> bytes:
    """Return the value of a ``Host`` header in lower case and without its port."""
    name, separator, port = value.lower().rpartition(b":")
    return name if separator and port.isdigit() else value.lower()


def trusted_headers(headers: HeaderList) -> Headers:
    """Return h11 headers without validation.

    Only for headers that h11 has parsed and for constants and numbers of this package; h11
    would spend about 25 us per message on validating names and values.
    """
    return Headers([(name, name, value) for name, value in headers])
