"""Registry of the cases and what every case gets."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from msgspec import Struct

from bench.result import BenchResult
from kingcupusher._core import Registry


class Options(Struct, frozen=True, kw_only=True):
    """What the command line sets for all cases."""

    quick: bool
    seed: int
    policy: str


Case = Callable[[Options], Iterator[BenchResult]]

CASES: Registry[Case] = Registry("bench case")
