"""Entries, leads and the messages between them, on a clock that the test advances."""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections import Counter
from itertools import count
from math import inf

from kingcupusher._limits.quota_pool import QuotaPool, pool_share
from kingcupusher._limits.quota_tokens import QuotaDecision, QuotaTokens, TakenToken

LEAD_COUNT = 3
TICK_MS = 100.0
MAX_DELAY_MS = 15.0
CALL_TIMEOUT_MS = 150.0
LOST_AFTER_MS = 1_800.0
COUNTED_MS = 2_500.0
AVOID_MS = 2_000.0
SEEN_WITHIN_MS = 12_000.0
LIST_DELAY_MS = 6_000.0
MAX_TARGET_DELAY_MS = 100.0


class ModelEntry:
    """One entry, which is a lead for those that are linked to it."""

    def __init__(self, fleet, index):
        self.fleet, self.index = fleet, index
        self.group = 0
        self.is_alive = True
        self.frozen_until = -inf
        self.starts = 0
        self.reset(is_fleet_known=True)

    def reset(self, *, is_fleet_known):
        """Start with an empty memory."""
        self.starts += 1
        self.list_ms = self.fleet.now if is_fleet_known else self.fleet.now + LIST_DELAY_MS
        self.tokens = QuotaTokens(self.fleet.rng)
        self.tokens.set_limits(self.fleet.limits)
        self.pool = QuotaPool()
        self.pool.set_limits(self.fleet.limits, now_ms=self.fleet.now)
        self.linked = {}
        self.stated_entries = 0
        self.seen = dict.fromkeys(range(self.fleet.size), self.fleet.now)
        self.link = None
        self.link_start = None
        self.heard_ms = self.fleet.now
        self.avoid = {}
        self.waiting = []
        self.is_calling = False

    # -- links

    def reaches(self, other):
        """Return whether a message of this entry gets to ``other`` now."""
        is_running = other.is_alive and other.frozen_until <= self.fleet.now
        return other is self or (is_running and other.group == self.group)

    def update(self):
        """Keep the link to the lead, and the share of the pool."""
        fleet = self.fleet
        if self.link is not None:
            lead = fleet.entries[self.link]
            is_same = lead.starts == self.link_start
            if is_same and self.reaches(lead):
                self.heard_ms = fleet.now
                lead.linked[self.index] = fleet.now
            elif not is_same or not lead.is_alive or fleet.now > self.heard_ms + LOST_AFTER_MS:
                self.avoid[self.link] = fleet.now + AVOID_MS
                self.link = None
        elif self.is_alive:
            self.choose_lead()
        if self.index < LEAD_COUNT:
            for other in fleet.entries:
                if other.is_alive and other.group == self.group:
                    self.seen[other.index] = fleet.now
            self.update_pool()
        self.update_tokens()

    def choose_lead(self):
        """Link this entry to the first lead that it reaches."""
        for index in range(LEAD_COUNT):
            lead = self.fleet.entries[index]
            if self.avoid.get(index, -inf) <= self.fleet.now and self.reaches(lead):
                self.link, self.link_start = index, lead.starts
                self.heard_ms = lead.linked[self.index] = self.fleet.now
                return

    def update_pool(self):
        """Apply the entries that are linked now."""
        now = self.fleet.now
        self.linked = {i: ms for i, ms in self.linked.items() if ms > now - COUNTED_MS}
        live = sum(ms > now - SEEN_WITHIN_MS for ms in self.seen.values())
        is_known = now >= self.list_ms
        live = live if is_known else self.stated_entries or None
        self.pool.set_share(pool_share(len(self.linked), live), now_ms=now)

    def update_tokens(self):
        """Tell the tokens which lead is linked."""
        now = self.fleet.now
        known = self.fleet.size if now >= self.list_ms else None
        lead = None if self.link is None else str(self.link)
        self.tokens.set_fleet(known, lead=lead, now_ms=now)

    # -- requests

    def request(self, customer):
        """Decide on a request of ``customer``, at once or after a call."""
        self.update_tokens()
        taken = self.tokens.take(customer, now_ms=self.fleet.now)
        if taken is QuotaDecision.ASK:
            self.waiting.append(customer)
        else:
            self.finish(customer, taken)
        self.drive()

    def finish(self, customer, taken):
        """Send a request to a target, or refuse it."""
        fleet = self.fleet
        if isinstance(taken, TakenToken):
            arrival = fleet.now + fleet.rng.random() * MAX_TARGET_DELAY_MS
            fleet.sent.setdefault(customer, []).append(arrival)
        else:
            fleet.refused[customer] += 1

    def drive(self):
        """Call the lead if requests wait or a report is due."""
        fleet, now = self.fleet, self.fleet.now
        if self.is_calling:
            return
        due = self.tokens.next_call_ms(now_ms=now)
        if not self.waiting and due > now:
            if due < inf:
                fleet.at(due, self.index, ModelEntry.drive)
            return
        asking, self.waiting = self.waiting, []
        wishes = self.tokens.wishes(Counter(asking), now_ms=now)
        if not wishes:
            return
        fleet.calls += 1
        self.is_calling = True
        lead, start = self.link, self.starts
        is_known = now >= self.list_ms
        delay = 0.0 if lead == self.index else fleet.rng.random() * MAX_DELAY_MS

        def fail(entry):
            if entry.is_calling is call:
                entry.is_calling = False
                entry.tokens.on_failure(wishes, now_ms=fleet.now)
                for customer in asking:
                    taken = entry.tokens.take_own(customer, now_ms=fleet.now)
                    entry.finish(customer, taken)
                entry.drive()

        def reply(entry, answers, scarce):
            if entry.is_calling is call and entry.starts == start:
                entry.is_calling = False
                entry.tokens.on_answers(wishes, answers, scarce, now_ms=fleet.now)
                for customer in asking:
                    entry.finish(customer, entry.tokens.take_granted(customer, now_ms=fleet.now))
                entry.drive()

        def receive(other):
            if other.group != fleet.entries[self.index].group:
                return
            known = fleet.size if is_known else 0
            other.stated_entries = max(other.stated_entries, known)
            other.update_pool()
            answers = [other.pool.answer(wish, now_ms=fleet.now) for wish in wishes]
            scarce = other.pool.scarce_customers(now_ms=fleet.now)
            fleet.at(fleet.now + delay, self.index, lambda e: reply(e, answers, scarce))

        call = self.is_calling = object()
        fleet.at(now + CALL_TIMEOUT_MS, self.index, fail)
        if lead is not None:
            fleet.at(now + delay, lead, receive)


class FleetModel:
    """A fleet, its clock, and what its customers sent and were refused."""

    def __init__(self, size, limits, rng):
        self.size, self.limits, self.rng = size, limits, rng
        self.now = 0.0
        self.sent, self.refused, self.calls = {}, Counter(), 0
        self._events, self._number = [], count()
        self.entries = [ModelEntry(self, i) for i in range(size)]
        for entry in self.entries:
            self.at(rng.random() * TICK_MS, entry.index, self._tick)

    def at(self, time, index, action):
        """Call ``action`` with the entry ``index``, later if it is frozen, never if it ended."""
        start = self.entries[index].starts
        heapq.heappush(self._events, (time, next(self._number), index, start, action))

    def run(self, until):
        """Advance the clock."""
        while self._events and self._events[0][0] <= until:
            time, _, index, start, action = heapq.heappop(self._events)
            self.now = max(self.now, time)
            entry = self.entries[index]
            if not entry.is_alive or start not in (None, entry.starts):
                continue
            if entry.frozen_until > self.now:
                self.at(entry.frozen_until, index, action)
            else:
                action(entry)
        self.now = until

    def _tick(self, entry):
        entry.update()
        entry.drive()
        self.at(self.now + TICK_MS, entry.index, self._tick)

    # -- load

    def load(self, customer, per_s, weights, *, begin, end):
        """Send requests at random times to entries that are chosen by ``weights``."""
        time = begin
        indices = range(self.size)
        while (time := time + self.rng.expovariate(per_s / 1000.0)) < end:
            (index,) = self.rng.choices(indices, weights)
            event = (time, next(self._number), index, None, lambda e: e.request(customer))
            heapq.heappush(self._events, event)

    # -- faults

    def kill(self, indices):
        """End processes; their links are reset."""
        for index in indices:
            entry = self.entries[index]
            entry.is_alive = False
            entry.starts += 1
            for other in self.entries:
                other.linked.pop(index, None)

    def start(self, indices, *, is_fleet_known):
        """Start processes with an empty memory."""
        for index in indices:
            entry = self.entries[index]
            if not entry.is_alive:
                entry.is_alive = True
                entry.reset(is_fleet_known=is_fleet_known)
                self.at(self.now + self.rng.random() * TICK_MS, index, self._tick)

    def freeze(self, indices, until):
        """Stop processes for a while."""
        for index in indices:
            self.entries[index].frozen_until = until

    def cut(self, indices, group):
        """Let the entries reach only those of the same group."""
        for index in indices:
            self.entries[index].group = group

    def change_limits(self, limits):
        """Let all entries apply another version of the limits."""
        self.limits = limits
        for entry in self.entries:
            entry.tokens.set_limits(limits)
            entry.pool.set_limits(limits, now_ms=self.now)

    # -- results

    def served_share(self, customer):
        """Return the part of the requests that was sent to a target."""
        sent = len(self.sent.get(customer, ()))
        return sent / max(1, sent + self.refused[customer])

    def largest_window(self, customer, window_ms=5_000.0, *, since=0.0):
        """Return the most requests that reached targets in any window."""
        times = sorted(time for time in self.sent.get(customer, ()) if time >= since)
        return max((bisect_right(times, t + window_ms) - i for i, t in enumerate(times)), default=0)
