"""Memory and CPU time by the number of services or targets: ``python -m bench.capacity``.

Prints one JSON object for each size and one for the slope of each quantity. All values are
measured in this process with the classes of the product; none is extrapolated.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence

import msgspec

from kingcupusher._config import (
    ConfigDocument,
    Service,
    decode_document,
    encode_document,
)
from kingcupusher._core import Registry
from kingcupusher._core.address import Address
from kingcupusher._entry.load_balancer import EntryLoadBalancer
from kingcupusher._limits import ColdStartRamp, ProbeBudget
from kingcupusher._membership import Membership
from kingcupusher._platform import VmRecord, VmState

TIMED_CALLS = 200
SERVICE_COUNTS = (23, 46, 93, 186)
TARGET_COUNTS = (75, 150, 300, 600)
TARGETS_PER_SERVICE = 6


class Point(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The value of a quantity at one size."""

    quantity: str
    unit: str
    size: int
    value: float


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Least-squares line through the points of one quantity."""

    quantity: str
    unit: str
    per: str
    slope: float
    intercept: float


class Quantity(msgspec.Struct, frozen=True, kw_only=True):
    """A function that measures a quantity, and the sizes at which it runs."""

    unit: str
    per: str
    sizes: Sequence[int]
    measure: Callable[[int], float]


QUANTITIES: Registry[Quantity] = Registry("quantity")


def _register_quantity(
    name: str, *, unit: str, per: str, sizes: Sequence[int]
) -> Callable[[Callable[[int], float]], Callable[[int], float]]:
    def add(measure: Callable[[int], float]) -> Callable[[int], float]:
        QUANTITIES.register(name)(Quantity(unit=unit, per=per, sizes=sizes, measure=measure))
        return measure

    return add


def _build_document(services: int) -> ConfigDocument:
    service_by_name = {
        f"service-{index}": Service(
            name=f"service-{index}", team=f"team-{index % 10}", hosts=[f"s{index}.example"]
        )
        for index in range(services)
    }
    return ConfigDocument(version=1, services=service_by_name)


def _build_vms(targets: int) -> list[VmRecord]:
    return [
        VmRecord(
            f"target-{index}",
            f"zone-{index % 10}",
            f"service-{index // TARGETS_PER_SERVICE}",
            Address("127.0.0.1", 1_000 + index),
            VmState.LIVE,
        )
        for index in range(targets)
    ]


def _median_time_us(action: Callable[[], object]) -> float:
    times_ns = []
    for _ in range(TIMED_CALLS):
        started_ns = time.perf_counter_ns()
        action()
        times_ns.append(time.perf_counter_ns() - started_ns)
    return sorted(times_ns)[len(times_ns) // 2] / 1_000.0


def _allocated_bytes(build: Callable[[], object]) -> float:
    tracemalloc.start()
    built = build()
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(size)


def _build_membership(targets: int) -> Membership:
    membership = Membership(
        seat=0, boot_id=1, ramp_factory=ColdStartRamp, budget_factory=ProbeBudget
    )
    services = -(-targets // TARGETS_PER_SERVICE)
    membership.on_config(_build_document(services), now_ms=0.0)
    membership.on_vm_list(_build_vms(targets), now_ms=0.0)
    return membership


def _build_load_balancer(membership: Membership, targets: int) -> EntryLoadBalancer:
    load_balancer = EntryLoadBalancer(
        membership.target_table, seat=0, zone="", policy="expected_load", rng=random.Random(1)
    )
    load_balancer.on_config(_build_document(-(-targets // TARGETS_PER_SERVICE)))
    load_balancer.on_vm_list(_build_vms(targets))
    return load_balancer


@_register_quantity("document_bytes", unit="B", per="service", sizes=SERVICE_COUNTS)
def _document_bytes(services: int) -> float:
    return float(len(encode_document(_build_document(services))))


@_register_quantity("document_decode", unit="us", per="service", sizes=SERVICE_COUNTS)
def _document_decode(services: int) -> float:
    data = encode_document(_build_document(services))
    return _median_time_us(lambda: decode_document(data))


@_register_quantity("document_memory", unit="B", per="service", sizes=SERVICE_COUNTS)
def _document_memory(services: int) -> float:
    data = encode_document(_build_document(services))
    return _allocated_bytes(lambda: decode_document(data))


@_register_quantity("membership_memory", unit="B", per="target", sizes=TARGET_COUNTS)
def _membership_memory(targets: int) -> float:
    return _allocated_bytes(lambda: _build_membership(targets))


@_register_quantity("directory_memory", unit="B", per="target", sizes=TARGET_COUNTS)
def _load_balancer_memory(targets: int) -> float:
    membership = _build_membership(targets)
    return _allocated_bytes(lambda: _build_load_balancer(membership, targets))


@_register_quantity("membership_tick", unit="us", per="target", sizes=TARGET_COUNTS)
def _membership_tick(targets: int) -> float:
    membership = _build_membership(targets)
    return _median_time_us(lambda: membership.tick(now_ms=1_000.0))


@_register_quantity("vm_list_update", unit="us", per="target", sizes=TARGET_COUNTS)
def _vm_list_update(targets: int) -> float:
    membership = _build_membership(targets)
    load_balancer = _build_load_balancer(membership, targets)
    vm_lists = [_build_vms(targets), _build_vms(targets - 1)]

    def update() -> None:
        records = vm_lists[0]
        vm_lists.reverse()
        load_balancer.on_vm_list(records)
        membership.on_vm_list(records, now_ms=1_000.0)

    return _median_time_us(update)


@_register_quantity("config_change", unit="us", per="service", sizes=SERVICE_COUNTS)
def _config_change(services: int) -> float:
    targets = services * TARGETS_PER_SERVICE
    membership = _build_membership(targets)
    load_balancer = _build_load_balancer(membership, targets)
    document = _build_document(services)

    def change() -> None:
        membership.on_config(document, now_ms=1_000.0)
        load_balancer.on_config(document)

    return _median_time_us(change)


def fit_line(points: Sequence[Point]) -> tuple[float, float]:
    """Return the slope and intercept of the least-squares line through ``points``."""
    mean_x = sum(point.size for point in points) / len(points)
    mean_y = sum(point.value for point in points) / len(points)
    squared_deviations = sum((point.size - mean_x) ** 2 for point in points)
    slope = sum((p.size - mean_x) * (p.value - mean_y) for p in points) / squared_deviations
    return slope, mean_y - slope * mean_x


def measure(name: str) -> Iterator[Point | Slope]:
    """Yield the points of one quantity, then its slope."""
    quantity = QUANTITIES.get(name)
    points = []
    for size in quantity.sizes:
        value = round(quantity.measure(size), 1)
        points.append(Point(quantity=name, unit=quantity.unit, size=size, value=value))
    yield from points
    slope, intercept = fit_line(points)
    yield Slope(
        quantity=name,
        unit=quantity.unit,
        per=quantity.per,
        slope=round(slope, 3),
        intercept=round(intercept, 1),
    )


def main() -> None:
    """Measure and print every quantity."""
    for name in QUANTITIES:
        for row in measure(name):
            print(msgspec.json.encode(row).decode(), flush=True)


if __name__ == "__main__":
    main()
