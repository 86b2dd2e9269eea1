"""Structures of a service file and of the configuration document.

Entries of two releases read the same document. A field at its default is not stored, so that an
older release accepts a document that does not use a newer field; a default therefore never
changes once it is released. A document with a field that is unknown to this release is
refused as a whole, because writing it back would drop the field.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct

# `\Z` and not `$`, which would accept a trailing line break.
Name = Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]{0,62}\Z")]
_HOST_LABEL = r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
Host = Annotated[str, Meta(pattern=rf"^{_HOST_LABEL}(\.{_HOST_LABEL})*\Z", max_length=253)]
PositiveInt = Annotated[int, Meta(ge=1)]


class Priority(Enum):
    """Priority of a service; under overload, requests of BULK services are shed first."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BULK = "bulk"


class TargetLimits(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Limits on the load of one target, summed over all entries."""

    slots: Annotated[int, Meta(ge=1, le=10_000)] = 3
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 200
    cold_concurrency: Annotated[int, Meta(ge=1, le=10_000)] = 1
    warmup_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 5_000
    probes_per_s: Annotated[float, Meta(ge=0.0, le=100.0)] = 0.5


class RequestPolicy(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True
):
    """How requests of a service are queued, timed and retried."""

    timeout_ms: Annotated[int, Meta(ge=1, le=3_600_000)] = 5_000
    attempt_timeout_ms: Annotated[int, Meta(ge=1, le=3_600_000)] | None = None
    queue_length: Annotated[int, Meta(ge=0, le=100_000)] = 64
    queue_bytes: Annotated[int, Meta(ge=0, le=1_000_000_000)] = 1_000_000
    retry_percent: Annotated[float, Meta(ge=0.0, le=100.0)] = 10.0


class NonIdempotentRule(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Method and path prefix of requests that must be executed at most once."""

    method: Annotated[str, Meta(pattern=r"^[A-Z]+\Z")]
    path: Annotated[str, Meta(pattern=r"^/[!-~]*\Z")]


class Service(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True):
    """One service, as described in a service file."""

    name: Name
    team: Name
    hosts: Annotated[list[Host], Meta(min_length=1)]
    priority: Priority = Priority.STANDARD
    target: TargetLimits = TargetLimits()
    request: RequestPolicy = RequestPolicy()
    non_idempotent: list[NonIdempotentRule] = []


class Publication(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True
):
    """One accepted change: the version that it created and the items that it set.

    ``at_ms`` is wall-clock time, raised above that of the previous publication. It is used only
    to choose between publications of the same item in histories that diverged when the store was
    rewound.
    """

    version: int
    publication_id: str
    at_ms: int = 0
    items: list[str] = []


class ConfigDocument(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, omit_defaults=True
):
    """The configuration in force: one value under one key of the key-value service.

    ``version`` never decreases. ``publication_id`` identifies the write that created this version,
    so that a publisher whose response was lost can find its own write. ``history`` lists the last
    publications, oldest first: the write can still be found after later ones, and a document
    that lacks an accepted change can be told apart from one that contains it.
    """

    version: Annotated[int, Meta(ge=0)] = 0
    publication_id: str = ""
    max_entries: PositiveInt = 16
    services: dict[str, Service] = {}
    zones_out: list[str] = []
    history: list[Publication] = []
