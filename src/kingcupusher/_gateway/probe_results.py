"""Result of the load probes for one request."""

from __future__ import annotations

from kingcupusher._gateway.load_probe import ProbedTarget


class ProbeResults:
    """Usable targets, best first; whoever receives them must release their connections."""

    __slots__ = ("response_count", "usable", "probed_count", "elapsed_ms")

    def __init__(
        self,
        usable: list[ProbedTarget],
        *,
        probed_count: int,
        response_count: int,
        elapsed_ms: float,
    ) -> None:
        self.usable = usable
        self.probed_count = probed_count
        self.response_count = response_count
        self.elapsed_ms = elapsed_ms
