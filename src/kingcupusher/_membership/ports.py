"""Interfaces of the objects that other packages inject."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from kingcupusher._config import TargetLimits


class Report(Protocol):
    """Load report of a target, as far as it decides on a state."""

    @property
    def state(self) -> str:
        """State that the target claims: ``warm``, ``cold`` or ``draining``."""
        ...

    @property
    def boot_id(self) -> str:
        """Identity of the target's process."""
        ...


class Vm(Protocol):
    """Record of the VM list."""

    @property
    def vm_id(self) -> str:
        """Identity, used as target id."""
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
        """State ``live`` or ``leaving``, as text or as an enumeration with such values."""
        ...


class Ramp(Protocol):
    """Cold-start ramp of one target."""

    def allowance(self, *, now_ms: float) -> int:
        """Return how many requests the target may have in flight."""
        ...

    def on_success(self, *, now_ms: float) -> None:
        """Note a request that the target served."""
        ...

    def on_failure(self, *, now_ms: float) -> None:
        """Note a request that the target failed or refused."""
        ...

    def is_warm(self, *, now_ms: float) -> bool:
        """Return whether the target can bear its full load."""
        ...


class Budget(Protocol):
    """Probe budget of one target."""

    def try_take(self, *, now_ms: float) -> bool:
        """Return True, and count the probe, if one may be sent now."""
        ...


RampFactory = Callable[[TargetLimits], Ramp]


class BudgetFactory(Protocol):
    """Makes an empty probe budget."""

    def __call__(self, probes_per_s: float, *, start_ms: float) -> Budget:
        """Return a budget that holds nothing at ``start_ms``."""
        ...
