"""A registered target, as the catalog knows it."""

from __future__ import annotations

from kingcupusher._discovery.model import TargetRegistration


class Target:
    """A registered target; ``removal_ms`` is when it is removed after its registration lapsed."""

    __slots__ = ("record", "removal_ms", "warm_at_ms")

    def __init__(self, record: TargetRegistration, *, now_ms: float) -> None:
        self.record = record
        self.warm_at_ms = now_ms + record.cold_left_ms
        self.removal_ms: float | None = None

    @property
    def target_id(self) -> str:
        """Id of the target."""
        return self.record.target_id

    @property
    def version(self) -> str:
        """Version that the target runs, empty if it states none."""
        return self.record.version
