"""A simulated entry with a real membership object."""

# ruff: noqa: D102, ARG002

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from kingcupusher._config import ConfigDocument
from kingcupusher._limits import ColdStartRamp, ProbeBudget
from kingcupusher._membership import EntryId, Membership, TargetState
from kingcupusher._peers.messages import ConfigReply, ConfigRequest
from testing.membership_fleet.model import CALL_DEADLINE_MS, LEASE_MS, SLOTS


@dataclass(slots=True, eq=False)
class Request:
    """A request that an entry sent to a target."""

    entry: Entry
    sent_at: float
    sent_ms: float


class Entry:
    """Drives one membership object in the same way as the entry process."""

    def __init__(self, world, seat, boot_id):
        self.world = world
        self.identity = EntryId(seat, boot_id)
        self.offset = world.random.uniform(0, 1e6)
        self.is_alive = True
        self.is_frozen = False
        self.deferred = []
        self.lease_id = None
        self.acquired_at = {}
        self.last_response_at = -inf
        # All entries that were registered at some read of the store by this entry.
        self.known_ids = set()
        self.registered = set()
        self.config = ConfigDocument()
        self.config_at = -inf
        self.in_flight = dict.fromkeys(world.targets, 0)
        self.closed_at = dict.fromkeys(world.targets, -inf)
        self.states = dict.fromkeys(world.targets, TargetState.UNKNOWN)
        self.active_targets = set(world.targets)
        self.paused_until = {}
        self.membership = Membership(
            seat=seat, boot_id=boot_id, ramp_factory=ColdStartRamp, budget_factory=ProbeBudget
        )
        self.schedule_every(50, self.tick)
        self.schedule_every(400, self.read_platform)
        self.schedule_every(2_000, self.renew)
        self.schedule_every(2_000, self.read_vms)
        self.schedule_every(250, self.probe)
        self.schedule_every(60, self.send_requests)
        self.renew()
        self.read_vms()

    @property
    def now(self):
        return self.world.now + self.offset

    @property
    def is_running(self):
        return self.is_alive and not self.is_frozen

    def perform(self, action, *arguments):
        """Run an action now, or on resume if frozen; a killed entry runs none."""
        if self.is_frozen:
            self.deferred.append((action, arguments))
        elif self.is_alive:
            action(*arguments)
            self.after_action()

    def after_action(self):
        for target_id, before in self.states.items():
            state = self.membership.target_table.state_of(target_id)
            if state is TargetState.COLD and state is not before:
                self.closed_at[target_id] = self.world.now
            self.states[target_id] = state
        for outgoing in self.membership.take_outgoing():
            self.world.network.send(self, outgoing)

    def schedule_every(self, period, action):
        def run():
            self.perform(action)
            if self.is_alive:
                self.world.schedule(period, run)

        self.world.schedule(self.world.random.uniform(0, period), run)

    def resume(self):
        self.is_frozen = False
        deferred, self.deferred = self.deferred, []
        # A timer that fired several times runs once, but requests are sent between old messages.
        seen = set()
        for action, arguments in deferred:
            is_repeated = not arguments and action in seen
            if action == self.send_requests or not is_repeated:
                seen.add(action)
                self.perform(action, *arguments)

    # -- platform

    def call_store(self, operation, on_result):
        sent = self.now
        is_settled = [False]

        def settle(result, has_failed):
            if not is_settled[0]:
                is_settled[0] = True
                self.perform(self.on_call_result, on_result, result, sent, has_failed)

        def respond(result):
            if self.world.reaches_store(self):
                settle(result, False)

        def take_effect():
            if self.world.reaches_store(self):
                self.world.schedule(self.world.random.randint(1, 5), respond, operation())

        self.world.schedule(self.world.random.randint(1, 5), take_effect)
        self.world.schedule(CALL_DEADLINE_MS, settle, None, True)

    def on_call_result(self, on_result, result, sent, has_failed):
        if has_failed or self.now > sent + CALL_DEADLINE_MS:
            self.membership.on_platform_failure(now_ms=self.now)
        else:
            self.last_response_at = self.world.now
            on_result(result, sent)

    def read_platform(self):
        self.call_store(self.world.store.read, self.on_read)

    def on_read(self, result, sent):
        members, groups, config = result
        self.on_config(config)
        self.registered = {EntryId(seat, boot) for seat, (boot, _) in members.items()}
        self.known_ids |= self.registered
        self.membership.on_registered_entries(
            {s: boot for s, (boot, _) in members.items()}, now_ms=self.now
        )
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
            if config is not self.config:
                self.config_at = self.world.now
            self.config = config
            self.membership.on_config(config, now_ms=self.now)

    def acquire(self, group):
        lease_id, store = self.lease_id, self.world.store

        def on_result(term, _sent):
            if term is not None and self.lease_id == lease_id:
                self.on_acquired(group, term)

        boot_id = self.identity.boot_id
        self.call_store(lambda: store.acquire(group, boot_id, lease_id), on_result)

    def on_acquired(self, group, term):
        if group not in self.acquired_at:
            self.acquired_at[group] = self.now
            self.membership.on_group_acquired(group, term=term, now_ms=self.now)

    def renew(self):
        lease_id, store = self.lease_id, self.world.store
        if lease_id is None:
            seat, boot_id = self.identity.seat, self.identity.boot_id
            self.call_store(lambda: store.register(seat, boot_id), self.on_registered)
        else:
            self.call_store(lambda: store.renew(lease_id), self.on_renewed)

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
                    self.world.record_drain_sign(self.world.targets[vm.vm_id], self)
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

    def send_requests(self):
        random = self.world.random
        for target in self.world.targets.values():
            if self.world.now < self.paused_until.get(target.target_id, 0):
                continue
            if random.random() < self.world.toggle_probability:
                self.active_targets ^= {target.target_id}
            if target.target_id in self.active_targets and random.random() < 0.6:
                self.send_request(target)

    def send_request(self, target):
        permission = self.membership.target_table.send_permission(target.target_id, now_ms=self.now)
        limit = SLOTS if permission.max_in_flight is None else permission.max_in_flight
        if permission.is_valid(now_ms=self.now) and self.in_flight[target.target_id] < limit:
            self.in_flight[target.target_id] += 1
            request = Request(self, self.world.now, self.now)
            self.world.check_send(self, target, permission.kind)
            target.serve(request)

    def on_response(self, target, request, report):
        self.perform(
            self.respond, target, request, report, self.membership.target_table.on_response
        )

    def on_refusal(self, target, request, report):
        self.perform(self.respond, target, request, report, self.membership.target_table.on_refusal)

    def respond(self, target, request, report, handler):
        self.in_flight[target.target_id] -= 1
        if report.state == "draining" and report.boot_id == str(target.boot):
            self.world.record_drain_sign(target, self)
        handler(target.target_id, report, sent_ms=request.sent_ms, now_ms=self.now)

    def on_connection_reset(self, target, request):
        self.perform(self.reset, target, request)

    def reset(self, target, request):
        self.in_flight[target.target_id] -= 1
        self.membership.target_table.on_connection_reset(
            target.target_id, sent_ms=request.sent_ms, now_ms=self.now
        )

    def probe(self):
        for probe in self.membership.target_table.take_due_probes(now_ms=self.now):
            if self.now < probe.until_ms:
                target = self.world.targets[probe.target_id]
                self.world.check_probe(target)
                self.world.schedule(
                    10, self.perform, self.receive_probe_response, target, target.report(), self.now
                )

    def receive_probe_response(self, target, report, sent):
        self.membership.target_table.on_probe_response(
            target.target_id, report, sent_ms=sent, now_ms=self.now
        )
