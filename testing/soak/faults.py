"""Faults of a soak run: each function injects a fault and ends it."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from random import Random

import curio

from kingcupusher._core import Registry, now_ms
from kingcupusher._http.errors import HttpError
from kingcupusher._http.simple_client import fetch
from testing.soak.fleet import ZONES, Fleet, Node

Fault = Callable[[Fleet, Random, float], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")
SERIES_FAULTS: Registry[Fault] = Registry("fault in series")
"""Drawn apart from the others, whose draws the seeds of earlier failures depend on."""
EXIT_TIMEOUT_S = 8.0
"""Longer than the grace period of 6 s within which an entry exits after SIGTERM."""
LINK_FAULTS = ("delay", "reset", "mute_up", "mute_down", "refuse")
STORE_FAULTS = ("refuse", "slow", "lose")
REFUSAL_FAULTS = ("fail_503", "fail_429", "fail_408")
MAX_SERIES = 5
STORM_ROUTES = 300
TARGET_FAULTS = ("mute", "cut", "fail", "shed")


async def _wait_for_exit(node: Node) -> None:
    end_ms = now_ms() + EXIT_TIMEOUT_S * 1000.0
    assert node.process is not None
    while node.process.is_running() and now_ms() < end_ms:
        await curio.sleep(0.02)


async def _restart_entry(fleet: Fleet, rng: Random, signal_number: signal.Signals) -> None:
    entry = rng.choice(fleet.entries)
    if entry.exit_expected:
        return
    fleet.signal(entry, signal_number)
    await _wait_for_exit(entry)
    fleet.start_entry(entry)


@FAULTS.register("entry killed")
async def _kill_entry(fleet: Fleet, rng: Random, duration_s: float) -> None:
    del duration_s
    await _restart_entry(fleet, rng, signal.SIGKILL)


@FAULTS.register("entry asked to end")
async def _terminate_entry(fleet: Fleet, rng: Random, duration_s: float) -> None:
    del duration_s
    await _restart_entry(fleet, rng, signal.SIGTERM)


@FAULTS.register("entry told of new settings")
async def _reload_settings(fleet: Fleet, rng: Random, duration_s: float) -> None:
    del duration_s
    fleet.signal(rng.choice(fleet.entries), signal.SIGHUP)


async def _pause(fleet: Fleet, node: Node, duration_s: float) -> None:
    fleet.signal(node, signal.SIGSTOP)
    await curio.sleep(duration_s)
    fleet.signal(node, signal.SIGCONT)


@FAULTS.register("entry paused")
async def _pause_entry(fleet: Fleet, rng: Random, duration_s: float) -> None:
    await _pause(fleet, rng.choice(fleet.entries), duration_s)


@FAULTS.register("target paused")
async def _pause_target(fleet: Fleet, rng: Random, duration_s: float) -> None:
    await _pause(fleet, rng.choice(fleet.targets), duration_s)


@FAULTS.register("target killed")
async def _kill_target(fleet: Fleet, rng: Random, duration_s: float) -> None:
    target = rng.choice(fleet.targets)
    if target.exit_expected:
        return
    fleet.signal(target, signal.SIGKILL)
    await _wait_for_exit(target)
    await curio.sleep(duration_s)
    await fleet.start_target(target)
    target.exit_expected = False


@FAULTS.register("target answers wrongly")
async def _inject_target_fault(fleet: Fleet, rng: Random, duration_s: float) -> None:
    target, fault = rng.choice(fleet.targets), rng.choice(TARGET_FAULTS)
    await _make_target_fail(target, fault, duration_s)


async def _make_target_fail(target: Node, fault: str, duration_s: float) -> None:
    path = f"/fault?kind={fault}&for_ms={duration_s * 1000.0}"
    try:
        await fetch(target.link.upstream, "POST", path, deadline_ms=now_ms() + 500.0)
    except HttpError:
        # Another fault of the run has paused or killed the target.
        return


@FAULTS.register("target link harmed")
async def _inject_target_link_fault(fleet: Fleet, rng: Random, duration_s: float) -> None:
    rng.choice(fleet.targets).link.set_fault(
        rng.choice(LINK_FAULTS), duration_ms=duration_s * 1000.0
    )


@FAULTS.register("store link harmed")
async def _inject_store_link_fault(fleet: Fleet, rng: Random, duration_s: float) -> None:
    rng.choice(fleet.entries).link.set_fault(
        rng.choice(LINK_FAULTS), duration_ms=duration_s * 1000.0
    )


@FAULTS.register("store misbehaves")
async def _inject_store_fault(fleet: Fleet, rng: Random, duration_s: float) -> None:
    await fleet.call_store(mode=rng.choice(STORE_FAULTS), for_ms=duration_s * 1000.0)


@FAULTS.register("store paused")
async def _pause_store(fleet: Fleet, rng: Random, duration_s: float) -> None:
    del rng
    assert fleet.store_process is not None
    fleet.store_process.send_signal(signal.SIGSTOP)
    await curio.sleep(duration_s)
    fleet.store_process.send_signal(signal.SIGCONT)


@FAULTS.register("store forgets")
async def _drop_store_content(fleet: Fleet, rng: Random, duration_s: float) -> None:
    """Drop the history, and at times also registrations or what was written in the last seconds."""
    await fleet.call_store(forget=True, lapse=rng.random() < 0.5)
    if rng.random() < 0.5:
        await curio.sleep(duration_s)
        await fleet.call_store(restore=True)


@FAULTS.register("routes changed")
async def _change_routes(fleet: Fleet, rng: Random, duration_s: float) -> None:
    del rng, duration_s
    await fleet.publish_routes()


@FAULTS.register("zone taken out")
async def _take_zone_out(fleet: Fleet, rng: Random, duration_s: float) -> None:
    zone = rng.choice(ZONES)
    if fleet.zones_out:
        return
    fleet.zones_out.add(zone)
    await fleet.call_store(puts={f"op/evacuate/{zone}": {}})
    await curio.sleep(duration_s)
    await fleet.call_store(remove=[f"op/evacuate/{zone}"])
    fleet.zones_out.clear()


@FAULTS.register("target drained")
async def _drain_target(fleet: Fleet, rng: Random, duration_s: float) -> None:
    target = rng.choice(fleet.targets)
    if target.exit_expected:
        return
    target.exit_expected = True
    await fleet.register_target(target, state="draining")
    await curio.sleep(duration_s + 2.5)
    assert target.process is not None
    target.process.send_signal(signal.SIGTERM)
    await _wait_for_exit(target)
    await fleet.start_target(target)
    target.exit_expected = False


@SERIES_FAULTS.register("target executes requests and refuses them")
async def _refuse_executed(fleet: Fleet, rng: Random, duration_s: float) -> None:
    target, fault = rng.choice(fleet.targets), rng.choice(REFUSAL_FAULTS)
    await _make_target_fail(target, fault, duration_s)


@SERIES_FAULTS.register("store cuts the watches")
async def _cut_watches(fleet: Fleet, rng: Random, duration_s: float) -> None:
    for _ in range(rng.randint(1, MAX_SERIES)):
        await fleet.call_store(cut_watches=True)
        await curio.sleep(rng.uniform(0.0, duration_s / 2.0))


@SERIES_FAULTS.register("store limits the rate of calls")
async def _limit_calls(fleet: Fleet, rng: Random, duration_s: float) -> None:
    await fleet.call_store(mode="limit", for_ms=rng.uniform(10.0, duration_s * 1000.0))


@SERIES_FAULTS.register("many routes changed in quick succession")
async def _change_many_routes(fleet: Fleet, rng: Random, duration_s: float) -> None:
    for _ in range(rng.randint(2, 2 * MAX_SERIES)):
        await fleet.publish_routes(added=STORM_ROUTES)
        await curio.sleep(rng.uniform(0.0, duration_s / MAX_SERIES))
