"""Admission queue, retry and probe budgets, cold-start ramp, and shares of connections."""

from __future__ import annotations

from kingcupusher._limits.admission import AdmissionQueue
from kingcupusher._limits.errors import LimitsError
from kingcupusher._limits.probe import ProbeBudget
from kingcupusher._limits.ramp import ColdStartRamp, RampLimits
from kingcupusher._limits.retry import RetryBudget
from kingcupusher._limits.shares import connection_share

__all__ = [
    "AdmissionQueue",
    "ColdStartRamp",
    "LimitsError",
    "ProbeBudget",
    "RampLimits",
    "RetryBudget",
    "connection_share",
]
