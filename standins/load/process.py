"""Runs the load tool as a child process."""

from __future__ import annotations

import signal
from pathlib import Path

import msgspec
from msgspec import Struct, field

from kingcupusher._core.address import Address
from standins.load.plan import PlanSettings
from standins.load.runner import RequestRecord
from standins.load.summary import Summary
from standins.processes import ManagedProcess, ProcessError, ProcessGroup

MS_PER_S = 1000.0
EXIT_MARGIN_S = 20.0


class LoadOptions(Struct, frozen=True, kw_only=True):
    """Arguments of the load tool: destinations, host name, plan and timeout."""

    entries: list[Address]
    host: str
    plan: PlanSettings
    timeout_ms: float = 5_000.0
    target_controls: list[Address] = field(default_factory=list)


class LoadResult(Struct, frozen=True):
    """Summary and records of a completed load."""

    summary: Summary
    records: list[RequestRecord]


class LoadProcess:
    """The process of one load."""

    __slots__ = ("_options", "_process", "_records")

    def __init__(self, group: ProcessGroup, name: str, options: LoadOptions) -> None:
        self._options = options
        self._records: Path = group.directory / f"{name}.records"
        arguments = [*_arguments(options), "--records", str(self._records)]
        self._process: ManagedProcess = group.start_module(name, "standins.load", *arguments)

    def stop(self) -> None:
        """Stop the load early; it then has no result."""
        self._process.send_signal(signal.SIGTERM)
        self._process.wait(timeout_s=EXIT_MARGIN_S)

    def wait_for_result(self) -> LoadResult:
        """Wait for the end of the load and return its result."""
        plan = self._options.plan
        timeout_s = plan.requests / plan.rate_per_s + self._options.timeout_ms / MS_PER_S
        status = self._process.wait(timeout_s=timeout_s + EXIT_MARGIN_S)
        if status:
            name = self._process.name
            raise ProcessError(f"{name} failed with {status}: {self._process.error_output()}")
        summary = msgspec.json.decode(self._process.output(), type=Summary)
        lines = self._records.read_bytes().splitlines()
        return LoadResult(
            summary, [msgspec.json.decode(line, type=RequestRecord) for line in lines]
        )


def _arguments(options: LoadOptions) -> list[str]:
    plan = options.plan
    named = {
        "--host": options.host,
        "--timeout-ms": options.timeout_ms,
        "--rate-per-s": plan.rate_per_s,
        "--requests": plan.requests,
        "--seed": plan.seed,
        "--label": plan.label,
        "--service-time-ms": plan.service_time_ms,
        "--service-time-shape": plan.service_time_shape,
        "--non-idempotent-share": plan.non_idempotent_share,
        "--response-bytes": plan.response_bytes,
        "--request-bytes": plan.request_bytes,
    }
    arguments = [str(part) for option in named.items() for part in option]
    for entry in options.entries:
        arguments += ["--entry", str(entry)]
    for control in options.target_controls:
        arguments += ["--target-control", str(control)]
    return arguments
