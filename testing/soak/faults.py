"""Faults of one run: each is a function that holds a fault and heals it."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from random import Random

import curio

from kingcupusher._core import Registry, now_ms
from kingcupusher._http.errors import HttpError
from kingcupusher._http.simple_client import fetch
from testing.soak.fleet import ZONES, Fleet, Part

Fault = Callable[[Fleet, Random, float], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("fault")
END_S = 8.0
"""An entry may take its grace period of 6 s to end."""
LINK_FAULTS = ("delay", "reset", "mute_up", "mute_down", "refuse")
STORE_MODES = ("refuse", "slow", "lose")
TARGET_FAULTS = ("mute", "cut", "fail", "shed")


async def _wait_for_end(part: Part) -> None:
    end_ms = now_ms() + END_S * 1000.0
    assert part.process is not None
    while part.process.is_running() and now_ms() < end_ms:
        await curio.sleep(0.02)


async def _restart_entry(fleet: Fleet, rng: Random, number: signal.Signals) -> None:
    entry = rng.choice(fleet.entries)
    if entry.may_end:
        return
    fleet.signal(entry, number)
    await _wait_for_end(entry)
    fleet.start_entry(entry)


@FAULTS.register("entry killed")
async def _kill_entry(fleet: Fleet, rng: Random, for_s: float) -> None:
    del for_s
    await _restart_entry(fleet, rng, signal.SIGKILL)


@FAULTS.register("entry asked to end")
async def _end_entry(fleet: Fleet, rng: Random, for_s: float) -> None:
    del for_s
    await _restart_entry(fleet, rng, signal.SIGTERM)


@FAULTS.register("entry told of new settings")
async def _hang_up(fleet: Fleet, rng: Random, for_s: float) -> None:
    del for_s
    fleet.signal(rng.choice(fleet.entries), signal.SIGHUP)


async def _pause(fleet: Fleet, part: Part, for_s: float) -> None:
    fleet.signal(part, signal.SIGSTOP)
    await curio.sleep(for_s)
    fleet.signal(part, signal.SIGCONT)


@FAULTS.register("entry paused")
async def _pause_entry(fleet: Fleet, rng: Random, for_s: float) -> None:
    await _pause(fleet, rng.choice(fleet.entries), for_s)


@FAULTS.register("target paused")
async def _pause_target(fleet: Fleet, rng: Random, for_s: float) -> None:
    await _pause(fleet, rng.choice(fleet.targets), for_s)


@FAULTS.register("target killed")
async def _kill_target(fleet: Fleet, rng: Random, for_s: float) -> None:
    target = rng.choice(fleet.targets)
    if target.may_end:
        return
    fleet.signal(target, signal.SIGKILL)
    await _wait_for_end(target)
    await curio.sleep(for_s)
    await fleet.start_target(target)
    target.may_end = False


@FAULTS.register("target answers wrongly")
async def _spoil_target(fleet: Fleet, rng: Random, for_s: float) -> None:
    target, kind = rng.choice(fleet.targets), rng.choice(TARGET_FAULTS)
    path = f"/fault?kind={kind}&for_ms={for_s * 1000.0}"
    try:
        await fetch(target.link.upstream, "POST", path, deadline_ms=now_ms() + 500.0)
    except HttpError:
        # The target is paused or killed by another fault of the run.
        return


@FAULTS.register("target link harmed")
async def _harm_target_link(fleet: Fleet, rng: Random, for_s: float) -> None:
    rng.choice(fleet.targets).link.set_fault(rng.choice(LINK_FAULTS), for_ms=for_s * 1000.0)


@FAULTS.register("store link harmed")
async def _harm_store_link(fleet: Fleet, rng: Random, for_s: float) -> None:
    rng.choice(fleet.entries).link.set_fault(rng.choice(LINK_FAULTS), for_ms=for_s * 1000.0)


@FAULTS.register("store misbehaves")
async def _spoil_store(fleet: Fleet, rng: Random, for_s: float) -> None:
    await fleet.change(mode=rng.choice(STORE_MODES), for_ms=for_s * 1000.0)


@FAULTS.register("store paused")
async def _pause_store(fleet: Fleet, rng: Random, for_s: float) -> None:
    del rng
    assert fleet.store_process is not None
    fleet.store_process.send_signal(signal.SIGSTOP)
    await curio.sleep(for_s)
    fleet.store_process.send_signal(signal.SIGCONT)


@FAULTS.register("store forgets")
async def _forget(fleet: Fleet, rng: Random, for_s: float) -> None:
    del for_s
    await fleet.change(forget=True, lapse=rng.random() < 0.5)


@FAULTS.register("routes changed")
async def _change_routes(fleet: Fleet, rng: Random, for_s: float) -> None:
    del rng, for_s
    await fleet.publish_routes()


@FAULTS.register("zone taken out")
async def _take_zone_out(fleet: Fleet, rng: Random, for_s: float) -> None:
    zone = rng.choice(ZONES)
    if fleet.zones_out:
        return
    fleet.zones_out.add(zone)
    await fleet.change(puts={f"op/evacuate/{zone}": {}})
    await curio.sleep(for_s)
    await fleet.change(remove=[f"op/evacuate/{zone}"])
    fleet.zones_out.clear()


@FAULTS.register("target drained")
async def _drain(fleet: Fleet, rng: Random, for_s: float) -> None:
    target = rng.choice(fleet.targets)
    if target.may_end:
        return
    target.may_end = True
    await fleet.register(target, state="draining")
    await curio.sleep(for_s + 2.5)
    assert target.process is not None
    target.process.send_signal(signal.SIGTERM)
    await _wait_for_end(target)
    await fleet.start_target(target)
    target.may_end = False
