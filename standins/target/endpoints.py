"""What a target does with a request, by path."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from kingcupusher._core import Registry, now_ms
from standins.target.machine import Machine
from standins.target.work import Call, Reply, execute, occupy

Endpoint = Callable[[Machine, Call], Awaitable[Reply]]

PROBES: Registry[Endpoint] = Registry("probe")


async def answer(machine: Machine, call: Call) -> Reply:
    """Answer a probe or execute a request."""
    if call.path in PROBES:
        await _charge_probe(machine, call)
        return await PROBES.get(call.path)(machine, call)
    return await execute(machine, call)


async def _charge_probe(machine: Machine, call: Call) -> None:
    machine.ledger.counters.probes += 1
    machine.ledger.probes_ms.append(now_ms())
    await occupy(machine, call.setup, work_ms=machine.settings.probe_cost_ms)


@PROBES.register("/health")
async def health(machine: Machine, _call: Call) -> Reply:
    """Say ``ok`` with 200, or anything else with 503; may lag or mislead."""
    text = machine.visible_health()
    status = 200 if text == "ok" else 503
    return Reply(status, f"{text}\n".encode(), load=machine.visible_load())


@PROBES.register("/load")
async def load(machine: Machine, _call: Call) -> Reply:
    """Report the load in the form of ``X-Target-Load``; may lag or mislead."""
    text = machine.visible_load()
    return Reply(200, f"{text}\n".encode(), load=text)
