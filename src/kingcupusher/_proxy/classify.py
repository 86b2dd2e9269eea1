"""Finds the service, idempotency and deadline of a request from its head."""

from __future__ import annotations

import itertools
import os
import posixpath
from urllib.parse import unquote

from msgspec import Struct

from kingcupusher._config import Service
from kingcupusher._http.heads import RequestHead, host_name
from kingcupusher._proxy.errors import RejectedError
from kingcupusher._proxy.load_balancer import LoadBalancer

# Ten digits are about 115 days; a longer number is invalid.
MAX_TIMEOUT_DIGITS = 10

_request_ids = itertools.count()
_process_prefix = os.urandom(8).hex()


def _new_request_id() -> bytes:
    """Return an identifier that is unique among all entries."""
    return f"{_process_prefix}-{next(_request_ids):x}".encode()


class ProxyRequest(Struct, kw_only=True):
    """A request head with its service, idempotency and deadline."""

    head: RequestHead
    request_id: bytes
    service: Service
    is_idempotent: bool
    is_handed_off: bool
    deadline_ms: float


def classify(head: RequestHead, load_balancer: LoadBalancer, *, received_ms: float) -> ProxyRequest:
    """Classify ``head``, whose first byte arrived at ``received_ms`` or later.

    Raises :class:`RejectedError` if no service has the host or a header is invalid.
    """
    headers = dict(head.headers)
    host = host_name(headers.get(b"host", b""))
    service = load_balancer.service_for(host)
    if service is None:
        raise RejectedError(404, f"no service answers for host {host.decode('latin-1')!r}")
    return ProxyRequest(
        head=head,
        service=service,
        is_idempotent=_is_idempotent(head, headers, service),
        request_id=headers.get(b"x-request-id") or _new_request_id(),
        is_handed_off=headers.get(b"x-handoff") == b"1",
        deadline_ms=received_ms + _timeout_ms(headers, service),
    )


def _timeout_ms(headers: dict[bytes, bytes], service: Service) -> int:
    value = headers.get(b"x-request-timeout-ms")
    if value is None:
        return service.request.timeout_ms
    if not value.isdigit() or len(value) > MAX_TIMEOUT_DIGITS:
        raise RejectedError(400, "X-Request-Timeout-Ms must be a whole number of milliseconds")
    return min(int(value), service.request.timeout_ms)


def _is_idempotent(head: RequestHead, headers: dict[bytes, bytes], service: Service) -> bool:
    if b"x-idempotent" in headers and _is_marked_non_idempotent(head):
        return False
    if not service.non_idempotent:
        return True
    paths = _path_variants(head.target)
    method = head.method.decode("ascii")
    return not any(
        rule.method == method and any(path.startswith(rule.path) for path in paths)
        for rule in service.non_idempotent
    )


def _is_marked_non_idempotent(head: RequestHead) -> bool:
    """Return whether any of the ``X-Idempotent`` headers is ``false``."""
    return any(
        name == b"x-idempotent" and value.lower() == b"false" for name, value in head.headers
    )


def _path_variants(target: bytes) -> tuple[str, str]:
    """Return the path as sent and normalized (percent-decoded, without dot segments)."""
    path = target.decode("latin-1").partition("?")[0]
    normalized = posixpath.normpath(unquote(path))
    return path, "/" + normalized.lstrip("/")
