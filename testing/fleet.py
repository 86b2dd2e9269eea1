"""Simulated fleet: membership objects, a network, a key-value store and targets in virtual time.

Each entry reads a clock with an offset of its own, so that no instant may be compared between
entries. A frozen entry runs what became due while it was frozen when it resumes.
"""

# ruff: noqa: D102, ARG002

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass
from itertools import count
from math import inf
from random import Random

from kingcupusher._config import ConfigDocument, Service, TargetLimits
from kingcupusher._limits import ColdStartRamp, ProbeBudget
from kingcupusher._membership import EntryId, Membership, RightKind, TargetState, group_of
from kingcupusher._peers.messages import ConfigReply, ConfigRequest

LEASE_MS = 6_000
COLD_CONCURRENCY = 1
WARMING_MS = 1_500
VM_LAG_MS = 8_000
CALL_DEADLINE_MS = 1_000
SLOTS = 3
ORDER_LIMIT_MS = 3_000
REPORT_LIMIT_MS = 1_000


@dataclass(slots=True)
class Vm:
    """Record of the VM list."""

    vm_id: str
    zone: str
    state: str
    service: str = "s"


@dataclass(slots=True)
class Report:
    """Load report of a target."""

    state: str
    boot_id: str


@dataclass(slots=True, eq=False)
class Request:
    """Work that an entry sent to a target."""

    entry: Entry
    sent_at: float
    sent_ms: float


class Store:
    """Key-value store with leases; down or cut off as the world says."""

    def __init__(self, world):
        self.world = world
        self.revision = 0
        self.leases = {}
        self.members = {}
        self.groups = {}
        self.versions = {}
        self.publish(zones_out=[])

    @property
    def config(self):
        return self.versions[len(self.versions)]

    def publish(self, zones_out):
        version = len(self.versions) + 1
        self.versions[version] = ConfigDocument(
            version=version, services={"s": self.world.service}, zones_out=zones_out
        )

    def expire(self):
        alive = {k for k, until in self.leases.items() if self.world.now < until}
        self.members = {k: v for k, v in self.members.items() if v[1] in alive}
        self.groups = {k: v for k, v in self.groups.items() if v[1] in alive}

    def register(self, seat, boot_id):
        self.expire()
        if self.members.get(seat, (boot_id,))[0] != boot_id:
            return None
        self.revision += 1
        self.leases[self.revision] = self.world.now + LEASE_MS
        self.members[seat] = (boot_id, self.revision)
        return self.revision

    def renew(self, lease_id):
        self.expire()
        if self.world.now >= self.leases.get(lease_id, -inf):
            return False
        self.leases[lease_id] = self.world.now + LEASE_MS
        return True

    def acquire(self, group, boot_id, lease_id):
        self.expire()
        if group in self.groups or self.world.now >= self.leases.get(lease_id, -inf):
            return None
        self.revision += 1
        self.groups[group] = (boot_id, lease_id, self.revision)
        return self.revision

    def read(self):
        self.expire()
        return dict(self.members), dict(self.groups), self.config


class Target:
    """Server that falls over when it gets too much work while it is cold."""

    def __init__(self, world, target_id, zone, lag_ms):
        self.world = world
        self.target_id = target_id
        self.zone = zone
        self.lag_ms = lag_ms
        self.boot = 1
        self.cold_since = -inf
        self.warm_at = -inf
        self.draining_since = inf
        self.first_sign = None
        # From here on no open grant from before the cold start may be in use.
        self.grants_ended = inf
        self.requests = []
        self.last_probe = -inf

    @property
    def is_cold(self):
        return self.world.now < self.warm_at

    def report(self):
        """Report what was true some time ago, by the present process."""
        then = self.world.now - self.lag_ms
        state = "cold" if self.cold_since <= then < self.warm_at else "warm"
        if self.world.now >= self.draining_since:
            state = "draining"
        return Report(state, str(self.boot))

    def turn_cold(self):
        self.cold_since = self.world.now
        self.warm_at = inf
        self.grants_ended = inf

    def restart(self):
        self.boot += 1
        self.turn_cold()
        self.draining_since = inf
        self.first_sign = None
        lost, self.requests = self.requests, []
        for request in lost:
            self.world.later(1, request.entry.on_reset, self, request)

    def drain(self):
        self.draining_since = min(self.draining_since, self.world.now)

    def serve(self, request):
        if self.world.now >= self.draining_since:
            self.world.later(1, request.entry.on_refusal, self, request, self.report())
            return
        # Only work warms a target.
        self.warm_at = min(self.warm_at, self.world.now + WARMING_MS)
        self.requests.append(request)
        self.world.later(self.world.random.randint(20, 80), self.finish, request)

    def finish(self, request):
        if request in self.requests:
            self.requests.remove(request)
            self.world.later(1, request.entry.on_response, self, request, self.report())


class Entry:
    """Driver of one membership object, as the entry process drives it."""

    def __init__(self, world, seat, boot_id):
        self.world = world
        self.identity = EntryId(seat, boot_id)
        self.offset = world.random.uniform(0, 1e6)
        self.is_alive = True
        self.is_frozen = False
        self.deferred = []
        self.lease_id = None
        self.acquired_at = {}
        self.contact_at = -inf
        # Entries that were registered when this one read the store.
        self.known = set()
        self.registered = set()
        self.config = ConfigDocument()
        self.in_flight = dict.fromkeys(world.targets, 0)
        self.closed_at = dict.fromkeys(world.targets, -inf)
        self.states = dict.fromkeys(world.targets, TargetState.UNKNOWN)
        self.busy = set(world.targets)
        self.paused_until = {}
        self.membership = Membership(
            seat=seat, boot_id=boot_id, ramp_factory=ColdStartRamp, budget_factory=ProbeBudget
        )
        self.every(50, self.tick)
        self.every(400, self.read_platform)
        self.every(2_000, self.renew)
        self.every(2_000, self.read_vms)
        self.every(250, self.probe)
        self.every(60, self.send_work)
        self.renew()
        self.read_vms()

    @property
    def now(self):
        return self.world.now + self.offset

    @property
    def runs(self):
        return self.is_alive and not self.is_frozen

    def do(self, action, *arguments):
        """Run an action now, or on resume; a killed entry runs nothing."""
        if self.is_frozen:
            self.deferred.append((action, arguments))
        elif self.is_alive:
            action(*arguments)
            self.after_action()

    def after_action(self):
        for target_id, before in self.states.items():
            state = self.membership.table.state_of(target_id)
            if state is TargetState.COLD and state is not before:
                self.closed_at[target_id] = self.world.now
            self.states[target_id] = state
        for outgoing in self.membership.take_outgoing():
            self.world.network.send(self, outgoing)

    def every(self, period, action):
        def run():
            self.do(action)
            if self.is_alive:
                self.world.later(period, run)

        self.world.later(self.world.random.uniform(0, period), run)

    def resume(self):
        self.is_frozen = False
        deferred, self.deferred = self.deferred, []
        # A timer that fired several times runs once, but requests come between old messages.
        seen = set()
        for action, arguments in deferred:
            is_repeated = not arguments and action in seen
            if action == self.send_work or not is_repeated:
                seen.add(action)
                self.do(action, *arguments)

    # -- platform

    def call(self, operation, on_result):
        sent = self.now
        is_settled = [False]

        def settle(result, has_failed):
            if not is_settled[0]:
                is_settled[0] = True
                self.do(self.on_call_end, on_result, result, sent, has_failed)

        def respond(result):
            if self.world.reaches_store(self):
                settle(result, False)

        def take_effect():
            if self.world.reaches_store(self):
                self.world.later(self.world.random.randint(1, 5), respond, operation())

        self.world.later(self.world.random.randint(1, 5), take_effect)
        self.world.later(CALL_DEADLINE_MS, settle, None, True)

    def on_call_end(self, on_result, result, sent, has_failed):
        if has_failed or self.now > sent + CALL_DEADLINE_MS:
            self.membership.on_platform_failure(now_ms=self.now)
        else:
            self.contact_at = self.world.now
            on_result(result, sent)

    def read_platform(self):
        self.call(self.world.store.read, self.on_read)

    def on_read(self, result, sent):
        members, groups, config = result
        self.on_config(config)
        self.registered = {EntryId(seat, boot) for seat, (boot, _) in members.items()}
        self.known |= self.registered
        self.membership.on_members({s: boot for s, (boot, _) in members.items()}, now_ms=self.now)
        self.membership.on_platform_read(sent_ms=sent, now_ms=self.now)
        for group in self.world.groups:
            boot_id, _, term = groups.get(group, (None, None, None))
            if boot_id == self.identity.boot_id and group not in self.acquired_at:
                self.on_acquired(group, term)
            elif boot_id != self.identity.boot_id and sent > self.acquired_at.get(group, inf):
                del self.acquired_at[group]
                self.membership.on_group_lost(group, now_ms=self.now)
            elif boot_id is None and self.lease_id is not None:
                self.acquire(group)

    def on_config(self, config):
        if config.version >= self.config.version:
            self.config = config
            self.membership.on_config(config, now_ms=self.now)

    def acquire(self, group):
        lease_id, store = self.lease_id, self.world.store

        def on_result(term, _sent):
            if term is not None and self.lease_id == lease_id:
                self.on_acquired(group, term)

        boot_id = self.identity.boot_id
        self.call(lambda: store.acquire(group, boot_id, lease_id), on_result)

    def on_acquired(self, group, term):
        if group not in self.acquired_at:
            self.acquired_at[group] = self.now
            self.membership.on_group_acquired(group, term=term, now_ms=self.now)

    def renew(self):
        lease_id, store = self.lease_id, self.world.store
        if lease_id is None:
            seat, boot_id = self.identity.seat, self.identity.boot_id
            self.call(lambda: store.register(seat, boot_id), self.on_registered)
        else:
            self.call(lambda: store.renew(lease_id), self.on_renewed)

    def on_registered(self, lease_id, sent):
        if lease_id is not None:
            self.lease_id = lease_id
            self.membership.on_lease(until_ms=sent + LEASE_MS, now_ms=self.now)

    def on_renewed(self, is_renewed, sent):
        if is_renewed:
            self.membership.on_lease(until_ms=sent + LEASE_MS, now_ms=self.now)
        else:
            self.lease_id = None
            self.acquired_at.clear()
            self.membership.on_lease_lost(now_ms=self.now)

    def read_vms(self):
        if self.world.reaches_store(self):
            vms = self.world.list_vms()
            for vm in vms:
                if vm.state == "leaving":
                    self.world.note_sign(self.world.targets[vm.vm_id], self)
            self.membership.on_vm_list(vms, now_ms=self.now)

    # -- peers

    def on_connected(self, identity):
        self.membership.on_peer_connected(identity, now_ms=self.now)

    def on_message(self, sender, message):
        if isinstance(message, ConfigRequest):
            reply = ConfigReply(self.config.version, b"")
            self.world.network.send_to(self, sender, reply)
        elif isinstance(message, ConfigReply):
            if message.version > self.config.version:
                self.on_config(self.world.store.versions[message.version])
        else:
            self.membership.on_message(sender.identity, message, now_ms=self.now)

    # -- targets

    def tick(self):
        self.membership.tick(now_ms=self.now)
        self.world.check_coordinators()

    def send_work(self):
        random = self.world.random
        for target in self.world.targets.values():
            if self.world.now < self.paused_until.get(target.target_id, 0):
                continue
            if random.random() < self.world.pace:
                self.busy ^= {target.target_id}
            if target.target_id in self.busy and random.random() < 0.6:
                self.send_request(target)

    def send_request(self, target):
        right = self.membership.table.send_right(target.target_id, now_ms=self.now)
        allowance = SLOTS if right.allowance is None else right.allowance
        if right.is_valid(now_ms=self.now) and self.in_flight[target.target_id] < allowance:
            self.in_flight[target.target_id] += 1
            request = Request(self, self.world.now, self.now)
            self.world.check_send(self, target, right.kind)
            target.serve(request)

    def on_response(self, target, request, report):
        self.do(self.respond, target, request, report, self.membership.table.on_response)

    def on_refusal(self, target, request, report):
        self.do(self.respond, target, request, report, self.membership.table.on_refusal)

    def respond(self, target, request, report, handler):
        self.in_flight[target.target_id] -= 1
        if report.state == "draining" and report.boot_id == str(target.boot):
            self.world.note_sign(target, self)
        handler(target.target_id, report, sent_ms=request.sent_ms, now_ms=self.now)

    def on_reset(self, target, request):
        self.do(self.reset, target, request)

    def reset(self, target, request):
        self.in_flight[target.target_id] -= 1
        self.membership.table.on_reset(target.target_id, sent_ms=request.sent_ms, now_ms=self.now)

    def probe(self):
        for probe in self.membership.table.take_probes(now_ms=self.now):
            if self.now < probe.until_ms:
                target = self.world.targets[probe.target_id]
                self.world.check_probe(target)
                self.world.later(10, self.do, self.on_probe, target, target.report(), self.now)

    def on_probe(self, target, report, sent):
        self.membership.table.on_probe_response(
            target.target_id, report, sent_ms=sent, now_ms=self.now
        )


class Network:
    """Links between entries, in order unless a message is repeated."""

    def __init__(self, world):
        self.world = world
        self.cut = set()
        self.slow = set()
        self.last_bad = {}
        self.last_arrival = {}
        self.repeats = False

    def pair(self, a, b):
        return frozenset((a.identity, b.identity))

    def is_bad(self, a, b):
        seats = frozenset((a.identity.seat, b.identity.seat))
        return seats in self.cut or seats in self.slow

    def was_bad_since(self, a, b, since):
        return self.is_bad(a, b) or self.last_bad.get(self.pair(a, b), -inf) >= since

    def connect(self, a, b):
        self.last_bad[self.pair(a, b)] = self.world.now
        for one, other in ((a, b), (b, a)):
            one.do(one.on_connected, other.identity)

    def send(self, sender, outgoing):
        for entry in self.world.entries:
            is_meant = outgoing.seat in (None, entry.identity.seat)
            if entry is not sender and entry.is_alive and is_meant:
                self.send_to(sender, entry, outgoing.message)

    def send_to(self, sender, entry, message):
        seats = frozenset((sender.identity.seat, entry.identity.seat))
        if seats in self.cut:
            return
        random = self.world.random
        delay = random.uniform(500, 3_000) if seats in self.slow else random.uniform(1, 5)
        key = (sender.identity, entry.identity)
        arrival = max(self.last_arrival.get(key, 0), self.world.now + delay)
        self.last_arrival[key] = arrival
        self.world.later(arrival - self.world.now, self.deliver, sender, entry, message)
        if self.repeats and random.random() < 0.3:
            self.world.later(
                arrival - self.world.now + random.uniform(0, 4_000),
                self.deliver,
                sender,
                entry,
                message,
            )

    def deliver(self, sender, entry, message):
        entry.do(entry.on_message, sender, message)


class ViolationError(AssertionError):
    """A requirement was broken."""


class World:
    """Virtual time, the parts of the fleet, and the checks of the requirements."""

    def __init__(self, *, entries, seed, lag_ms=0, pace=0.08, probes_per_s=0.5):
        """``pace`` is how often traffic of an entry to a target starts and pauses."""
        self.pace = pace
        self.probes_per_s = probes_per_s
        limits = TargetLimits(warmup_ms=1_000, probes_per_s=probes_per_s, slots=SLOTS)
        self.service = Service(name="s", team="t", hosts=["s"], target=limits)
        self.random = Random(seed)
        self.now = 0.0
        self.order = count()
        self.heap = []
        self.is_store_down = False
        self.cut_off = set()
        self.reached_since = -inf
        self.zone_out_since = {}
        self.store = Store(self)
        self.targets = {
            name: Target(self, name, zone, lag_ms)
            for name, zone in (("t1", "z1"), ("t2", "z2"), ("t4", "z2"))
        }
        self.groups = sorted({group_of(target_id) for target_id in self.targets})
        self.network = Network(self)
        self.entries = []
        self.sent = Counter()
        self.boot_ids = count(100)
        for seat in range(entries):
            self.start_entry(seat)

    # -- time

    def later(self, delay, action, *arguments):
        heapq.heappush(self.heap, (self.now + delay, next(self.order), action, arguments))

    def run(self, duration):
        end = self.now + duration
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.heap)
            action(*arguments)
        self.now = end

    # -- parts

    def start_entry(self, seat):
        entry = Entry(self, seat, next(self.boot_ids))
        self.entries = [e for e in self.entries if e.identity.seat != seat]
        for other in self.entries:
            if other.is_alive and not self.network.is_bad(entry, other):
                self.network.connect(entry, other)
        self.entries.append(entry)

    def at(self, seat):
        return next(e for e in self.entries if e.identity.seat == seat % len(self.entries))

    def reaches_store(self, entry):
        return not self.is_store_down and entry.identity.seat not in self.cut_off

    def list_vms(self):
        return [
            Vm(
                t.target_id,
                t.zone,
                "leaving" if self.now >= t.draining_since + VM_LAG_MS else "live",
            )
            for t in self.targets.values()
        ]

    def note_sign(self, target, entry):
        if target.first_sign is None:
            target.first_sign = (self.now, entry)

    # -- events

    def kill(self, a, _b):
        entry = self.at(a)
        entry.is_alive = False
        for target in self.targets.values():
            target.requests = [r for r in target.requests if r.entry is not entry]
        for other in self.entries:
            if other is not entry:
                other.do(other.membership.on_peer_disconnected, entry.identity)

    def replace(self, a, _b):
        if self.at(a).is_alive:
            self.kill(a, 0)
        self.start_entry(self.at(a).identity.seat)

    def freeze(self, a, _b):
        self.at(a).is_frozen = self.at(a).is_alive

    def resume(self, a, _b):
        if self.at(a).is_frozen:
            self.at(a).resume()

    def cut_store(self, a, _b):
        self.cut_off.add(self.at(a).identity.seat)

    def cut_most(self, a, _b):
        self.cut_off |= {e.identity.seat for e in self.entries} - {self.at(a).identity.seat}

    def reach_store(self, _a, _b):
        self.cut_off.clear()
        self.reached_since = self.now

    def cut_peers(self, a, b):
        self._spoil(self.network.cut, a, b)

    def slow_peers(self, a, b):
        self._spoil(self.network.slow, a, b)

    def isolate(self, a, _b):
        for other in range(len(self.entries)):
            self.cut_peers(a, other)

    def partition(self, a, _b):
        """Cut two neighbours off from the other entries and from the store."""
        pair = (a, a + 1)
        for one in pair:
            self.cut_store(one, 0)
            for other in range(len(self.entries)):
                if other not in [seat % len(self.entries) for seat in pair]:
                    self.cut_peers(one, other)

    def heal_peers(self, _a, _b):
        bad = self.network.cut | self.network.slow
        self.network.cut.clear()
        self.network.slow.clear()
        for seats in bad:
            one, other = (self.at(seat) for seat in seats)
            if one.is_alive and other.is_alive:
                self.network.connect(one, other)

    def _spoil(self, spoiled, a, b):
        one, other = self.at(a), self.at(b)
        if one is not other:
            spoiled.add(frozenset((one.identity.seat, other.identity.seat)))

    def stop_store(self, _a, _b):
        self.is_store_down = True

    def start_store(self, _a, _b):
        self.is_store_down = False
        self.reached_since = self.now

    def restart_target(self, _a, b):
        self._target(b).restart()

    def restart_during_freeze(self, a, b):
        """Resume an entry while the coordinator, which waited for it in vain, ramps."""
        self.freeze(a, 0)
        self.run(700)
        self.restart_target(0, b)
        self.run(9_000)
        self.resume(a, 0)

    def chill_during_cut(self, a, b):
        """Turn a target cold while an entry that is cut off still holds a grant for it."""
        target = self._target(b)
        self.isolate(a, 0)
        target.turn_cold()
        self.at(a).paused_until[target.target_id] = self.now + 1_100

    def drain_seen_by_one(self, a, b):
        """Drain a target while only one entry uses it."""
        target_id = self._target(b).target_id
        for entry in self.entries:
            entry.busy.discard(target_id)
        self.at(a).busy.add(target_id)
        self.drain_target(0, b)
        self.run(1_000)
        for entry in self.entries:
            entry.busy.add(target_id)
            entry.paused_until[target_id] = self.now + ORDER_LIMIT_MS

    def chill_target(self, _a, b):
        self._target(b).turn_cold()

    def drain_target(self, _a, b):
        self._target(b).drain()

    def toggle_zone(self, _a, b):
        if self.is_store_down or len(self.cut_off) == len(self.entries):
            return
        zone = self._target(b).zone
        if zone in self.zone_out_since:
            del self.zone_out_since[zone]
        else:
            self.zone_out_since[zone] = self.now
        self.store.publish(zones_out=sorted(self.zone_out_since))

    def toggle_repeats(self, _a, _b):
        self.network.repeats = not self.network.repeats

    def _target(self, b):
        return list(self.targets.values())[b % len(self.targets)]

    # -- checks

    def check_coordinators(self):
        for group in self.groups:
            acting = [
                e
                for e in self.entries
                if e.runs and e.membership.rule.acts_for(group, now_ms=e.now)
            ]
            if len(acting) > 1 and not self._is_one_unknown(*acting[:2]):
                names = [e.identity for e in acting]
                raise ViolationError(
                    f"group {group} has the coordinators {names} at {self.now:.0f}"
                )

    def _is_one_unknown(self, one, other):
        """Return whether one joined after the other lost the store, and is cut off from it."""
        first, last = sorted((one, other), key=lambda e: e.contact_at)
        since = self.now - REPORT_LIMIT_MS
        is_new = last.identity not in first.known
        return is_new and self.network.was_bad_since(first, last, since)

    def check_send(self, entry, target, kind):
        self.sent[entry.identity.seat, target.target_id] += 1
        self._check_zone(entry, target)
        self._check_leaving(entry, target)
        self._check_cold(entry, target, kind)

    def _check_zone(self, entry, target):
        since = self.zone_out_since.get(target.zone, inf)
        if self.now > since + ORDER_LIMIT_MS and self._could_know_orders(entry):
            raise ViolationError(
                f"{entry.identity} sent to {target.target_id} in a zone out at {since}"
            )

    def _could_know_orders(self, entry):
        """Return False in the residual case that the design page documents.

        Most entries are cut off from the store, and whoever knows the order from them.
        """
        if self.reaches_store(entry) and self.now > self.reached_since + ORDER_LIMIT_MS:
            return True
        if entry.config is self.store.config or not self._are_most_cut_off(entry):
            return True
        return any(
            other.runs
            and other.config is self.store.config
            and not self.network.was_bad_since(entry, other, self.now - ORDER_LIMIT_MS)
            for other in self.entries
            if other is not entry
        )

    def _are_most_cut_off(self, entry):
        seats = {identity.seat for identity in entry.registered}
        return self.is_store_down or len(seats & self.cut_off) > len(seats) // 2

    def _check_leaving(self, entry, target):
        since, seer = target.first_sign or (inf, None)
        if self.now <= since + ORDER_LIMIT_MS:
            return
        # An entry that the first one could not reach may learn of it from the VM list only.
        if seer is entry or not self.network.was_bad_since(seer, entry, since):
            raise ViolationError(
                f"{entry.identity} sent to {target.target_id}, leaving since {since} as seen by "
                f"{seer.identity}, at {self.now:.0f}"
            )

    def _check_cold(self, entry, target, kind):
        if not target.is_cold:
            return
        is_informed = entry.closed_at[target.target_id] >= target.cold_since
        if kind is RightKind.RAMP and is_informed and target.grants_ended == inf:
            target.grants_ended = self.now
        present = [r for r in target.requests if r.sent_at >= target.grants_ended]
        if target.grants_ended < inf and len(present) >= COLD_CONCURRENCY:
            raise ViolationError(
                f"{entry.identity} sent by {kind} to {target.target_id} at {self.now:.0f}, cold "
                f"since {target.cold_since:.0f}, with work of {[r.entry.identity for r in present]}"
            )

    def check_probe(self, target):
        if self.now < target.last_probe + 1_000.0 / self.probes_per_s - 1e-6:
            raise ViolationError(f"{target.target_id} was probed twice within the interval")
        target.last_probe = self.now
