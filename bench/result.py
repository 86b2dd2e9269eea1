"""Results of the benchmark, printed as one JSON object a line."""

from __future__ import annotations

from msgspec import Struct


class BenchResult(Struct, kw_only=True):
    """One measurement; a figure that the case does not measure is null.

    ``control_bytes_per_s`` is what one entry sends to its peers. ``cpu_us_per_request`` contains
    the background work of the entries during the measurement. ``sent_late_share`` is the share of
    requests that the load tool sent over 5 ms late; above 0.01 the machine was too busy for the
    latencies to be reliable.
    """

    case: str
    seed: int
    policy: str
    entries: int
    utilisation: float | None = None
    p50_ms: float | None = None
    p99_ms: float | None = None
    p999_ms: float | None = None
    ratio_to_ideal: float | None = None
    ratio_to_random: float | None = None
    probes_per_target_s: float | None = None
    control_bytes_per_s: float | None = None
    cpu_us_per_request: float | None = None
    requests: int | None = None
    errors: int | None = None
    duplicates: int | None = None
    new_work_after_zone_out: int | None = None
    control_cpu_percent: float | None = None
    resident_bytes: int | None = None
    control_resident_bytes: int | None = None
    platform_calls_per_s: float | None = None
    ratio_to_healthy: float | None = None
    fall_overs: int | None = None
    sent_late_share: float | None = None
