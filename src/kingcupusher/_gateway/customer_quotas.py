"""Quotas of customers over the whole fleet: the tokens of this entry, and the pool if it leads."""

from __future__ import annotations

from collections import Counter
from random import Random

import curio
from msgspec import Struct

from kingcupusher._core import now_ms
from kingcupusher._discovery import Catalog, RouteTable
from kingcupusher._gateway.error_responses import ErrorResponse, quota_used_up
from kingcupusher._limits.quota_pool import QuotaPool, pool_share
from kingcupusher._limits.quota_terms import QuotaLimit
from kingcupusher._limits.quota_tokens import QuotaDecision, QuotaTokens, TakenToken
from kingcupusher._observe.events import EventLog
from kingcupusher._observe.metrics_registry import Labels, Metrics, labels
from kingcupusher._relay import (
    LeadLink,
    LeadServer,
    LeadUnavailableError,
    TokenGrant,
    TokenRequest,
)

GRANT_TIMEOUT_MS = 150.0
IDLE_S = 0.25
"""The pool is settled at least this often, so that it earns nothing for entries that have left."""
POOL_INTERVAL_MS = 100.0
"""The pool is settled at most this often while the number of linked entries does not change."""
SEEN_WITHIN_MS = 12_000.0
"""Entries that a cut of up to 9 s separates from the lead still own their share."""
LOG_INTERVAL_MS = 1_000.0


class _Waiting:
    """A request that waits for a grant; ``taken`` is the decision once it is made."""

    __slots__ = ("customer", "decided", "taken")

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.decided = curio.Event()
        self.taken: TakenToken | QuotaDecision | None = None


class CustomerQuotas:
    """Takes a token for each request of a customer with a quota; one call is in flight at most."""

    __slots__ = (
        "_call_wanted",
        "_catalog",
        "_link",
        "_linked_count",
        "_log",
        "_logged_ms",
        "_metrics",
        "_pool",
        "_pool_ms",
        "_server",
        "_stated_entries",
        "_tokens",
        "_waiting",
        "is_needed",
    )

    def __init__(
        self,
        catalog: Catalog,
        link: LeadLink,
        server: LeadServer,
        *,
        metrics: Metrics,
        log: EventLog,
        rng: Random,
    ) -> None:
        self._catalog = catalog
        self._link = link
        self._server = server
        self._metrics = metrics
        self._log = log
        self._tokens = QuotaTokens(rng)
        self._pool = QuotaPool()
        self._pool_ms = 0.0
        self._linked_count = 0
        self._stated_entries = 0
        self._waiting: list[_Waiting] = []
        self._call_wanted = curio.Event()
        self._logged_ms: dict[str, float] = {}
        self.is_needed = False
        """Whether the configuration in force limits a customer."""
        server.register(TokenRequest, self._answer)

    def on_routes(self, table: RouteTable) -> None:
        """Apply the limits of the version in force."""
        limits = {
            customer.name: QuotaLimit(customer.requests_per_s, customer.burst)
            for customer in table.customers
            if customer.has_quota
        }
        self.is_needed = bool(limits)
        self._tokens.set_limits(limits)
        self._pool.set_limits(limits, now_ms=now_ms())
        self._logged_ms = {name: ms for name, ms in self._logged_ms.items() if name in limits}

    async def take(self, customer: str) -> TakenToken | ErrorResponse:
        """Take a token, which may need a call to the lead; return the refusal if there is none."""
        self._update_fleet()
        taken = self._tokens.take(customer, now_ms=now_ms())
        if taken is QuotaDecision.ASK:
            taken = await self._wait_for_grant(customer)
        elif self._tokens.next_call_ms(now_ms=now_ms()) <= now_ms():
            await self._call_wanted.set()
        if not isinstance(taken, TakenToken):
            return self._refusal(customer)
        if taken.is_own:
            self._metrics.count("quota_own_tokens_total", labels(customer=customer))
        return taken

    def give_back(self, token: TakenToken) -> None:
        """Return the token of a request that was sent to no target."""
        self._tokens.give_back(token)

    def gauges(self, *, now_ms: float) -> dict[tuple[str, Labels], float]:
        """Return the tokens left for each customer if this entry is a lead."""
        if not self._server.linked_entries:
            return {}
        return {
            ("quota_level", labels(customer=name)): level
            for name, level in self._pool.levels(now_ms=now_ms).items()
        }

    async def run(self) -> None:
        """Call the lead when requests wait or a report is due, until cancelled."""
        while True:
            current_ms = now_ms()
            self._update_fleet()
            self._update_pool()
            due_ms = self._tokens.next_call_ms(now_ms=current_ms) if self.is_needed else None
            if self._waiting or (due_ms is not None and due_ms <= current_ms):
                await self._call()
                continue
            self._call_wanted.clear()
            pause_s = IDLE_S if due_ms is None else min(IDLE_S, (due_ms - current_ms) / 1000.0)
            await curio.ignore_after(pause_s, self._call_wanted.wait)

    # -- entry

    async def _wait_for_grant(self, customer: str) -> TakenToken | QuotaDecision:
        waiting = _Waiting(customer)
        self._waiting.append(waiting)
        await self._call_wanted.set()
        try:
            await curio.ignore_after(GRANT_TIMEOUT_MS / 1000.0, waiting.decided.wait)
            taken, waiting.taken = waiting.taken, None
            if taken is None:
                return self._tokens.take_own(customer, now_ms=now_ms())
            return taken
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)
            if isinstance(waiting.taken, TakenToken):
                self._tokens.give_back(waiting.taken)

    async def _call(self) -> None:
        """Report to the lead and ask for tokens; decide on the requests that waited."""
        asking = list(self._waiting)
        counts = Counter(waiting.customer for waiting in asking)
        wishes = self._tokens.wishes(counts, now_ms=now_ms())
        if not wishes:
            await self._decide(asking)
            return
        try:
            request = TokenRequest(wishes, self._known_entries() or 0)
            reply = await self._link.ask(request, timeout_ms=GRANT_TIMEOUT_MS)
            if not isinstance(reply, TokenGrant):
                raise LeadUnavailableError("the lead sent another message than a grant")
        except LeadUnavailableError:
            self._metrics.count("quota_calls_total", labels(answered="no"))
            self._tokens.on_failure(wishes, now_ms=now_ms())
            await self._decide(asking)
            return
        self._metrics.count("quota_calls_total", labels(answered="yes"))
        self._tokens.on_answers(wishes, reply.answers, reply.scarce, now_ms=now_ms())
        await self._decide(asking, is_answered=True)

    async def _decide(self, asking: list[_Waiting], *, is_answered: bool = False) -> None:
        for waiting in asking:
            if waiting not in self._waiting:
                continue
            self._waiting.remove(waiting)
            if is_answered:
                waiting.taken = self._tokens.take_granted(waiting.customer, now_ms=now_ms())
            else:
                waiting.taken = self._tokens.take_own(waiting.customer, now_ms=now_ms())
            await waiting.decided.set()

    def _update_fleet(self) -> None:
        self._tokens.set_fleet(self._known_entries(), lead=self._link.lead, now_ms=now_ms())

    def tokens(self, customer: str) -> int:
        """Return how many requests of ``customer`` may be served before the lead is asked."""
        return self._tokens.room(customer, now_ms=now_ms())

    def _known_entries(self) -> int | None:
        """Return the number of live entries, None if it is unknown."""
        current_ms = now_ms()
        live_entries = self._catalog.live_entries
        if not live_entries.is_known(now_ms=current_ms):
            return None
        return live_entries.count(now_ms=current_ms)

    def _refusal(self, customer: str) -> ErrorResponse:
        current_ms = now_ms()
        self._metrics.count("quota_refusals_total", labels(customer=customer))
        if current_ms >= self._logged_ms.get(customer, 0.0) + LOG_INTERVAL_MS:
            self._logged_ms[customer] = current_ms
            self._log.event(
                "customer over quota",
                customer=customer,
                lead=self._link.lead,
                tokens=self._tokens.room(customer, now_ms=current_ms),
            )
        return quota_used_up(self._tokens.retry_after_ms(customer, now_ms=current_ms))

    # -- lead

    def _answer(self, entry: str, message: Struct) -> TokenGrant:  # noqa: ARG002
        assert isinstance(message, TokenRequest)
        self._stated_entries = max(self._stated_entries, message.entries)
        self._update_pool()
        answers = [self._pool.answer(wish, now_ms=now_ms()) for wish in message.wishes]
        granted = sum(answer.granted for answer in answers if answer is not None)
        self._metrics.count("quota_tokens_granted_total", by=granted)
        return TokenGrant(answers, self._pool.scarce_customers(now_ms=now_ms()))

    def _update_pool(self) -> None:
        current_ms = now_ms()
        linked = len(self._server.linked_entries)
        is_due = linked != self._linked_count or current_ms >= self._pool_ms + POOL_INTERVAL_MS
        if not self.is_needed or not is_due:
            return
        self._pool_ms = current_ms
        self._linked_count = linked
        live_entries = self._catalog.live_entries
        live = self._stated_entries or None
        if live_entries.is_known(now_ms=current_ms):
            live = live_entries.count_seen_within(SEEN_WITHIN_MS, now_ms=current_ms)
            self._stated_entries = 0
        share = pool_share(linked, live)
        self._pool.set_share(share, now_ms=current_ms)
