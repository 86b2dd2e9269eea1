"""Interfaces of the objects that other packages provide."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from kingcupusher._config import TargetLimits


class LoadReport(Protocol):
    """The part of a target's load report that determines its state."""

    @property
    def state(self) -> str:
        """State that the target reports: ``warm``, ``cold`` or ``draining``."""
        ...

    @property
    def boot_id(self) -> str:
        """Boot id of the target's process."""
        ...


class Vm(Protocol):
    """Item of the VM list."""

    @property
    def vm_id(self) -> str:
        """VM id, also used as the target id."""
        ...

    @property
    def zone(self) -> str:
        """Availability zone."""
        ...

    @property
    def service(self) -> str:
        """Service that the VM serves."""
        ...

    @property
    def state(self) -> object:
        """``live`` or ``leaving``, as text or as an enum member with that value."""
        ...


class Ramp(Protocol):
    """Cold-start ramp of one target."""

    def allowance(self, *, now_ms: float) -> int:
        """Return how many requests the target may have in flight."""
        ...

    def on_success(self, *, now_ms: float) -> None:
        """Record a request that the target served."""
        ...

    def on_failure(self, *, now_ms: float) -> None:
        """Record a request that the target failed or refused."""
        ...

    def is_warm(self, *, now_ms: float) -> bool:
        """Return whether the target can handle its full load."""
        ...


class ProbeBudget(Protocol):
    """Probe budget of one target."""

    def try_take(self, *, now_ms: float) -> bool:
        """Count a probe and return True if one may be sent now."""
        ...


RampFactory = Callable[[TargetLimits], Ramp]


class ProbeBudgetFactory(Protocol):
    """Creates an empty probe budget."""

    def __call__(self, probes_per_s: float, *, start_ms: float) -> ProbeBudget:
        """Return a budget that is empty at ``start_ms``."""
        ...
