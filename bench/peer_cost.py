"""Cost of the heartbeat exchange: ``python -m bench.peer_cost``.

Runs real links between entries on loopback in one process, without a platform and without
callers. Prints one JSON object a line: one for each size, then the slopes. Bytes are those of the
WebSocket streams, without TCP and IP headers; CPU is that of the whole process divided by the
number of entries.
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

ENTRIES = (3, 6, 10, 15)
TARGETS = (0, 51, 200, 600)
READ_S = 0.5
# Links are up, coordinators have taken over and their lists are confirmed by then.
SETTLE_S = 8.0
BUDGET_BYTES_PER_S = 6_000.0
BUDGET_CPU_PERCENT = 1.6


class Target(msgspec.Struct, frozen=True):
    """Record of the VM list."""

    vm_id: str
    zone: str = "zone-a"
    service: str = "lookups"
    state: str = "live"


class Cost(msgspec.Struct, kw_only=True):
    """Cost of one node at one size."""

    entries: int
    targets: int
    seconds: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    cpu_percent: float


class Slope(msgspec.Struct, kw_only=True):
    """Least-squares growth of the cost of a node with one size, at the largest other size."""

    slope_per: str
    sent_bytes_per_s: float
    received_bytes_per_s: float
    cpu_percent: float


class Verdict(msgspec.Struct, kw_only=True):
    """Cost at the largest size against the budget of a node."""

    bytes_per_s: float
    budget_bytes_per_s: float
    cpu_percent: float
    budget_cpu_percent: float
    within_budget: bool


class Node:
    """One entry without request path, platform client and VM list reader."""

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

    def prepare(self, *, entries: int, targets: Sequence[Target]) -> None:
        """Give the membership what the platform would tell it."""
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
        """Exchange heartbeats, and note a read of the platform at its usual rate."""
        driver = await curio.spawn(self._driver.run, daemon=True)
        try:
            while True:
                current_ms = now_ms()
                self.membership.on_platform_read(sent_ms=current_ms, now_ms=current_ms)
                await curio.sleep(READ_S)
        finally:
            await driver.cancel()


async def measure(entries: int, targets: int, seconds: float) -> Cost:
    """Run ``entries`` nodes and return the cost of one of them."""
    nodes = [Node(seat) for seat in range(entries)]
    vms = [Target(f"lookups-{number}") for number in range(targets)]
    for node in nodes:
        node.prepare(entries=entries, targets=vms)
    addresses = {node.seat: node.transport.address for node in nodes}
    async with curio.TaskGroup() as tasks:
        for node in nodes:
            await tasks.spawn(node.run)
            await node.transport.set_peers(addresses)
        await curio.sleep(SETTLE_S)
        linked = {len(node.transport.connected_seats) for node in nodes}
        if linked != {entries - 1}:
            raise RuntimeError(f"nodes have {sorted(linked)} links, expected {entries - 1}")
        cost = await _measure_settled(nodes, targets, seconds)
        await tasks.cancel_remaining()
    return cost


async def _measure_settled(nodes: Sequence[Node], targets: int, seconds: float) -> Cost:
    counters = [node.transport.counters for node in nodes]
    sent = sum(c.sent_bytes for c in counters)
    received = sum(c.received_bytes for c in counters)
    started, cpu_started = time.monotonic(), time.process_time()
    await curio.sleep(seconds)
    cpu_s, elapsed_s = time.process_time() - cpu_started, time.monotonic() - started
    scale = len(nodes) * elapsed_s
    return Cost(
        entries=len(nodes),
        targets=targets,
        seconds=round(elapsed_s, 2),
        sent_bytes_per_s=round((sum(c.sent_bytes for c in counters) - sent) / scale, 1),
        received_bytes_per_s=round((sum(c.received_bytes for c in counters) - received) / scale, 1),
        cpu_percent=round(100 * cpu_s / scale, 3),
    )


def slope(costs: Sequence[Cost], name: str) -> Slope:
    """Return the growth of each figure with the field ``name``."""
    sizes = [float(getattr(cost, name)) for cost in costs]

    def fit(value: Callable[[Cost], float]) -> float:
        mean_size = sum(sizes) / len(sizes)
        mean = sum(map(value, costs)) / len(costs)
        covariance = sum(
            (size - mean_size) * (value(cost) - mean)
            for size, cost in zip(sizes, costs, strict=True)
        )
        return covariance / sum((size - mean_size) ** 2 for size in sizes)

    return Slope(
        slope_per=name,
        sent_bytes_per_s=round(fit(lambda cost: cost.sent_bytes_per_s), 3),
        received_bytes_per_s=round(fit(lambda cost: cost.received_bytes_per_s), 3),
        cpu_percent=round(fit(lambda cost: cost.cpu_percent), 5),
    )


def verdict(cost: Cost) -> Verdict:
    """Compare one cost with the budget of a node; both directions count."""
    total = cost.sent_bytes_per_s + cost.received_bytes_per_s
    return Verdict(
        bytes_per_s=round(total, 1),
        budget_bytes_per_s=BUDGET_BYTES_PER_S,
        cpu_percent=cost.cpu_percent,
        budget_cpu_percent=BUDGET_CPU_PERCENT,
        within_budget=total <= BUDGET_BYTES_PER_S and cost.cpu_percent <= BUDGET_CPU_PERCENT,
    )


def main(*, seconds: Annotated[float, typer.Option(min=0.5)] = 4.0) -> None:
    """Measure each size, print the costs and the slopes, and fail if over the budget."""
    sizes = [(entries, TARGETS[1]) for entries in ENTRIES]
    sizes += [(ENTRIES[-1], targets) for targets in TARGETS if targets != TARGETS[1]]
    costs = []
    for entries, targets in sizes:
        gc.collect()
        costs.append(curio.run(measure, entries, targets, seconds))
        typer.echo(msgspec.json.encode(costs[-1]).decode())
    by_entries = [cost for cost in costs if cost.targets == TARGETS[1]]
    by_targets = [cost for cost in costs if cost.entries == ENTRIES[-1]]
    typer.echo(msgspec.json.encode(slope(by_entries, "entries")).decode())
    typer.echo(msgspec.json.encode(slope(by_targets, "targets")).decode())
    result = verdict(costs[-1])
    typer.echo(msgspec.json.encode(result).decode())
    sys.exit(not result.within_budget)


if __name__ == "__main__":
    typer.run(main)
