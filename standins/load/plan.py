"""Load plan: the requests of a run, generated from a seed before the run starts."""

from __future__ import annotations

from random import Random

from msgspec import Struct

MS_PER_S = 1000.0


class PlanSettings(Struct, frozen=True, kw_only=True):
    """Settings of a plan; equal settings generate equal plans.

    ``label`` is a prefix of the request ids. With another label the same plan can be sent again
    to the same targets without its executions counting as duplicates.
    """

    seed: int = 1
    label: str = ""
    rate_per_s: float = 100.0
    requests: int = 1_000
    service_time_ms: float = 10.0
    service_time_shape: float = 4.0
    non_idempotent_share: float = 0.0
    response_bytes: int = 200
    request_bytes: int = 64


class PlannedRequest(Struct, frozen=True):
    """One request; ``arrival_ms`` is relative to the start of the run."""

    request_id: str
    arrival_ms: float
    service_time_ms: float
    idempotent: bool
    response_bytes: int
    body: bytes


def make_plan(settings: PlanSettings) -> list[PlannedRequest]:
    """Return requests with Poisson arrivals and gamma distributed service times."""
    rng = Random(settings.seed)
    arrival_ms = 0.0
    plan = []
    for index in range(settings.requests):
        arrival_ms += rng.expovariate(settings.rate_per_s) * MS_PER_S
        plan.append(_draw(settings, rng, index, arrival_ms))
    return plan


def _draw(settings: PlanSettings, rng: Random, index: int, arrival_ms: float) -> PlannedRequest:
    shape = settings.service_time_shape
    service_time_ms = rng.gammavariate(shape, settings.service_time_ms / shape)
    idempotent = rng.random() >= settings.non_idempotent_share
    return PlannedRequest(
        request_id=f"{settings.label}{settings.seed}-{index}",
        arrival_ms=arrival_ms,
        service_time_ms=round(service_time_ms, 3),
        idempotent=idempotent,
        response_bytes=settings.response_bytes,
        body=b"" if idempotent else rng.randbytes(settings.request_bytes),
    )
