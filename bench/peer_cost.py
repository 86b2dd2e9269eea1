"""Network and CPU cost of the heartbeats between entries: ``python -m bench.peer_cost``.

Connects entries over loopback in one process, without a platform and without callers. Prints one
JSON object a line: one for each size, then the slopes. Bytes are those of the WebSocket streams,
without TCP and IP headers; CPU time is that of the whole process divided by the number of entries.
"""

from __future__ import annotations

import gc
import sys
import time
from collections.abc import Callable, Sequence
from typing import Annotated

import curio
import msgspec
import typer

from kingcupusher._config import ConfigDocument
from kingcupusher._core import now_ms
from kingcupusher._core.address import Address
from kingcupusher._entry.active_config import ActiveConfig
from kingcupusher._entry.driver import MembershipDriver
from kingcupusher._limits import ColdStartRamp, ProbeBudget
from kingcupusher._membership import GROUP_COUNT, Membership
from kingcupusher._peers import PeerTransport

ENTRY_COUNTS = (3, 6, 10, 15)
TARGET_COUNTS = (0, 51, 200, 600)
PLATFORM_READ_INTERVAL_S = 0.5
# By then links are open, coordinators are active and their lists are confirmed.
CONVERGENCE_S = 8.0
BUDGET_BYTES_PER_S = 6_000.0
BUDGET_CPU_PERCENT = 1.6


class VmListItem(msgspec.Struct, frozen=True):
    """Record of the VM list."""

    vm_id: str
    zone: str = "zone-a"
    service: str = "lookups"
    state: str = "live"


class Cost(msgspec.Struct, kw_only=True):
    """Cost of one entry at one size."""

    entries: int
    targets: int
    seconds: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    cpu_percent: float


class Slope(msgspec.Struct, kw_only=True):
    """Least-squares slope of the cost of an entry by one size, with the other size fixed."""

    slope_per: str
    sent_bytes_per_s: float
    received_bytes_per_s: float
    cpu_percent: float


class BudgetCheck(msgspec.Struct, kw_only=True):
    """Cost at the largest size compared with the budget of an entry."""

    bytes_per_s: float
    budget_bytes_per_s: float
    cpu_percent: float
    budget_cpu_percent: float
    within_budget: bool


class MembershipNode:
    """An entry without request path, platform client and VM list reader."""

    def __init__(self, seat: int) -> None:
        self.seat = seat
        self.transport = PeerTransport(
            Address("127.0.0.1", 0), seat=seat, boot_id=1_000_000_000 + seat
        )
        self.membership = Membership(
            seat=seat,
            boot_id=1_000_000_000 + seat,
            ramp_factory=ColdStartRamp,
            budget_factory=ProbeBudget,
        )
        self._driver = MembershipDriver(self.membership, self.transport, ActiveConfig())

    def load_state(self, *, entries: int, targets: Sequence[VmListItem]) -> None:
        """Load the state that the membership would receive from the platform."""
        current_ms = now_ms()
        membership = self.membership
        membership.on_registered_entries(
            {seat: 1_000_000_000 + seat for seat in range(entries)}, now_ms=current_ms
        )
        membership.on_config(ConfigDocument(version=1), now_ms=current_ms)
        membership.on_lease(until_ms=current_ms + 3_600_000, now_ms=current_ms)
        for group in range(self.seat, GROUP_COUNT, entries):
            membership.on_group_acquired(group, term=group + 1, now_ms=current_ms)
        membership.on_vm_list(targets, now_ms=current_ms)

    async def run(self) -> None:
        """Exchange heartbeats, and report a platform read at the usual rate."""
        driver = await curio.spawn(self._driver.run, daemon=True)
        try:
            while True:
                current_ms = now_ms()
                self.membership.on_platform_read(sent_ms=current_ms, now_ms=current_ms)
                await curio.sleep(PLATFORM_READ_INTERVAL_S)
        finally:
            await driver.cancel()


async def measure(entries: int, targets: int, seconds: float) -> Cost:
    """Run ``entries`` entries and return the mean cost of one."""
    nodes = [MembershipNode(seat) for seat in range(entries)]
    vms = [VmListItem(f"lookups-{number}") for number in range(targets)]
    for node in nodes:
        node.load_state(entries=entries, targets=vms)
    addresses = {node.seat: node.transport.address for node in nodes}
    async with curio.TaskGroup() as tasks:
        for node in nodes:
            await tasks.spawn(node.run)
            await node.transport.set_peers(addresses)
        await curio.sleep(CONVERGENCE_S)
        links = {len(node.transport.connected_seats) for node in nodes}
        if links != {entries - 1}:
            raise RuntimeError(f"entries have {sorted(links)} open links, expected {entries - 1}")
        cost = await _measure_converged(nodes, targets, seconds)
        await tasks.cancel_remaining()
    return cost


async def _measure_converged(nodes: Sequence[MembershipNode], targets: int, seconds: float) -> Cost:
    counters = [node.transport.counters for node in nodes]
    sent = sum(c.sent_bytes for c in counters)
    received = sum(c.received_bytes for c in counters)
    started_s, cpu_started_s = time.monotonic(), time.process_time()
    await curio.sleep(seconds)
    cpu_s, elapsed_s = time.process_time() - cpu_started_s, time.monotonic() - started_s
    scale = len(nodes) * elapsed_s
    return Cost(
        entries=len(nodes),
        targets=targets,
        seconds=round(elapsed_s, 2),
        sent_bytes_per_s=round((sum(c.sent_bytes for c in counters) - sent) / scale, 1),
        received_bytes_per_s=round((sum(c.received_bytes for c in counters) - received) / scale, 1),
        cpu_percent=round(100 * cpu_s / scale, 3),
    )


def fit_slope(costs: Sequence[Cost], name: str) -> Slope:
    """Return the least-squares slope of each figure by the field ``name``."""
    sizes = [float(getattr(cost, name)) for cost in costs]

    def slope_of(value: Callable[[Cost], float]) -> float:
        mean_size = sum(sizes) / len(sizes)
        mean = sum(map(value, costs)) / len(costs)
        covariance = sum(
            (size - mean_size) * (value(cost) - mean)
            for size, cost in zip(sizes, costs, strict=True)
        )
        return covariance / sum((size - mean_size) ** 2 for size in sizes)

    return Slope(
        slope_per=name,
        sent_bytes_per_s=round(slope_of(lambda cost: cost.sent_bytes_per_s), 3),
        received_bytes_per_s=round(slope_of(lambda cost: cost.received_bytes_per_s), 3),
        cpu_percent=round(slope_of(lambda cost: cost.cpu_percent), 5),
    )


def check_budget(cost: Cost) -> BudgetCheck:
    """Compare a cost with the budget of an entry; sent and received bytes both count."""
    total = cost.sent_bytes_per_s + cost.received_bytes_per_s
    return BudgetCheck(
        bytes_per_s=round(total, 1),
        budget_bytes_per_s=BUDGET_BYTES_PER_S,
        cpu_percent=cost.cpu_percent,
        budget_cpu_percent=BUDGET_CPU_PERCENT,
        within_budget=total <= BUDGET_BYTES_PER_S and cost.cpu_percent <= BUDGET_CPU_PERCENT,
    )


def main(*, seconds: Annotated[float, typer.Option(min=0.5)] = 4.0) -> None:
    """Print the cost of each size and the slopes; the exit status is 1 if over the budget."""
    sizes = [(entries, TARGET_COUNTS[1]) for entries in ENTRY_COUNTS]
    sizes += [
        (ENTRY_COUNTS[-1], targets) for targets in TARGET_COUNTS if targets != TARGET_COUNTS[1]
    ]
    costs = []
    for entries, targets in sizes:
        gc.collect()
        costs.append(curio.run(measure, entries, targets, seconds))
        typer.echo(msgspec.json.encode(costs[-1]).decode())
    by_entries = [cost for cost in costs if cost.targets == TARGET_COUNTS[1]]
    by_targets = [cost for cost in costs if cost.entries == ENTRY_COUNTS[-1]]
    typer.echo(msgspec.json.encode(fit_slope(by_entries, "entries")).decode())
    typer.echo(msgspec.json.encode(fit_slope(by_targets, "targets")).decode())
    result = check_budget(costs[-1])
    typer.echo(msgspec.json.encode(result).decode())
    sys.exit(not result.within_budget)


if __name__ == "__main__":
    typer.run(main)
