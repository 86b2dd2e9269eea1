"""CPU time, memory and traffic of an idle entry."""

from __future__ import annotations

import time
from collections.abc import Iterator

from bench.cases import Options, case, new_result
from bench.deployment import Deployment
from bench.hop import start_role
from bench.result import BenchResult
from bench.usage import resident_bytes

IDLE_S = 20.0
QUICK_IDLE_S = 3.0
CPU_US_PER_S_PER_PERCENT = 10_000.0


def _proxy_resident_bytes() -> int:
    """Return the resident memory of a process that only forwards requests.

    An entry needs the rest of its memory for platform, peers, membership and administration.
    """
    process, _port = start_role("proxy", "--port", "1")
    try:
        return resident_bytes(process.pid)
    finally:
        process.communicate()


@case("control", entry_counts=(3, 15))
def control(deployment: Deployment, options: Options) -> Iterator[BenchResult]:
    """Measure the resource usage of the entries over an idle period."""
    before = deployment.read_usage()
    time.sleep(QUICK_IDLE_S if options.quick else IDLE_S)
    cost = deployment.cost_between(before, deployment.read_usage())
    entries = deployment.cluster.entries
    cpu_us_per_entry_s = cost.cpu_us / cost.elapsed_s / len(entries)
    result = new_result("control", deployment, options)
    result.probes_per_target_s = cost.probes_per_target_s
    result.control_bytes_per_s = cost.control_bytes_per_s
    result.control_cpu_percent = round(cpu_us_per_entry_s / CPU_US_PER_S_PER_PERCENT, 2)
    result.resident_bytes = max(resident_bytes(entry.process.pid) for entry in entries)
    result.control_resident_bytes = result.resident_bytes - _proxy_resident_bytes()
    result.platform_calls_per_s = cost.platform_calls_per_s
    yield result
