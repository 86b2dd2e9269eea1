"""Tokens that one entry holds for its customers, and when it asks the lead for more."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from math import inf
from random import Random

from msgspec import Struct

from kingcupusher._limits.quota_account import REPORT_MS, QuotaAccount
from kingcupusher._limits.quota_terms import QuotaLimit, TokenAnswer, TokenWish

HOLD_MS = 500.0
"""Granted tokens that are not used in this time are given back."""
FRESH_MS = 1_000.0
"""For this time, an answer of the lead tells which customers have tokens left."""
RETRY_CALL_MS = 300.0
"""Pause before the next call after one without an answer."""
COUNTED_MS = 2_500.0
"""The lead counts a silent entry as linked for this time."""
UNKNOWN_MS = 500.0
"""Pause before a customer is asked for again that the lead's configuration does not contain."""
OWN_SHARE = 0.7
"""Part of its share that an entry without a lead uses, while the lead may still count it."""
ENTRIES_ASSUMED_WITHOUT_LEAD = 320
"""Not less than the largest fleet, so that the own shares of all entries stay within a quota."""
# Retry-After of refusals without a lead: the least time, and the random part added to it.
MIN_OWN_PAUSE_MS = 200.0
OWN_PAUSE_SPREAD_MS = 800.0


class QuotaDecision(Enum):
    """Why a request got no token: it is refused, or the lead must be asked first."""

    REFUSED = "refused"
    ASK = "ask"


class TakenToken(Struct):
    """A token of a customer; ``is_charged`` if the pool of the lead is charged for it."""

    customer: str
    is_charged: bool
    is_own: bool = False


class QuotaTokens:
    """Decides on the requests of one entry.

    While the lead has stated lately that a customer is not scarce, requests are served in advance
    and reported together. Tokens of scarce customers are asked for first. Without a lead, the entry
    uses its own share.
    """

    __slots__ = (
        "_accounts",
        "_answered_ms",
        "_asked_ms",
        "_counted_until_ms",
        "_entries",
        "_has_failed",
        "_is_linked",
        "_lead",
        "_own_since_ms",
        "_report_at_ms",
        "_retry_call_ms",
        "_rng",
        "_scarce",
    )

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._accounts: dict[str, QuotaAccount] = {}
        self._scarce: frozenset[str] = frozenset()
        self._answered_ms = -inf
        self._asked_ms = -inf
        self._lead: str | None = None
        self._is_linked = False
        self._has_failed = False
        self._retry_call_ms = -inf
        self._report_at_ms = inf
        self._counted_until_ms = -inf
        self._own_since_ms = -inf
        self._entries: int | None = None

    # -- what the entry knows

    def set_limits(self, limits: Mapping[str, QuotaLimit]) -> None:
        """Apply the limits in force; tokens held under another limit of a customer lapse."""
        accounts = {}
        for name, limit in limits.items():
            account = self._accounts.get(name)
            if account is None:
                account = QuotaAccount(limit)
            elif account.limit != limit:
                account.used -= account.held
                account.held = 0
                account.refuse_until_ms = -inf
                account.limit = limit
            accounts[name] = account
        self._accounts = accounts

    def set_fleet(self, entries: int | None, *, lead: str | None, now_ms: float) -> None:
        """Record the number of entries, None if unknown, and the linked lead, None without one."""
        self._entries = entries
        was_usable = self._is_lead_usable
        self._is_linked = lead is not None
        if lead is not None:
            if lead != self._lead:
                # What was used in advance and not reported is charged to the new lead: it is used
                # in the same window. Other tokens belong to the pool of the former lead.
                for account in self._accounts.values():
                    account.used = max(0, min(account.used, account.advanced))
                    account.refuse_until_ms = -inf
                self._lead = lead
                self._has_failed = False
            self._counted_until_ms = now_ms + COUNTED_MS
        if was_usable and not self._is_lead_usable:
            self._own_since_ms = now_ms

    @property
    def _is_lead_usable(self) -> bool:
        return self._is_linked and not self._has_failed

    # -- requests

    def take(self, customer: str, *, now_ms: float) -> TakenToken | QuotaDecision:
        """Take a token for one request, or return why there is none."""
        account = self._accounts.get(customer)
        if account is None:
            return TakenToken(customer, is_charged=False)
        account.count_request(now_ms)
        if self._take_held(account, now_ms):
            if account.held < account.ahead(now_ms) / 2.0 and account.refuse_until_ms <= now_ms:
                self._report_at_ms = min(self._report_at_ms, now_ms)
            return TakenToken(customer, is_charged=True)
        if account.refuse_until_ms > now_ms:
            return QuotaDecision.REFUSED
        if self._may_advance(customer, account, now_ms):
            account.advanced += 1
            account.used += 1
            self._report_at_ms = min(self._report_at_ms, now_ms + REPORT_MS)
            return TakenToken(customer, is_charged=True)
        may_ask = self._is_lead_usable or (self._is_linked and now_ms >= self._retry_call_ms)
        if may_ask and account.unknown_until_ms <= now_ms:
            return QuotaDecision.ASK
        self._report_at_ms = min(self._report_at_ms, self._retry_call_ms)
        return self.take_own(customer, now_ms=now_ms)

    def take_granted(self, customer: str, *, now_ms: float) -> TakenToken | QuotaDecision:
        """Take a token for a request that waited for the answer of the lead."""
        account = self._accounts.get(customer)
        if account is None:
            return TakenToken(customer, is_charged=False)
        if self._take_held(account, now_ms):
            return TakenToken(customer, is_charged=True)
        if account.refuse_until_ms > now_ms:
            return QuotaDecision.REFUSED
        return self.take_own(customer, now_ms=now_ms)

    def take_own(self, customer: str, *, now_ms: float) -> TakenToken | QuotaDecision:
        """Take a token of the entry's own share.

        A share is often less than one request. The request is then served with that probability,
        and the part of a token is spent in either case, so that all shares add up to the quota.
        """
        account = self._accounts.get(customer)
        if account is None:
            return TakenToken(customer, is_charged=False)
        share = OWN_SHARE / (self._entries or ENTRIES_ASSUMED_WITHOUT_LEAD)
        if account.own_settled_ms < self._own_since_ms or account.own_settled_ms == -inf:
            # What was used in advance and never reported is repaid first.
            account.own = -float(max(0, account.used))
            account.own_settled_ms = self._own_since_ms if self._own_since_ms > -inf else now_ms
        earned = max(0.0, now_ms - account.own_settled_ms) * account.limit.usable_per_ms(share)
        account.own = min(account.limit.capacity(share), account.own + earned)
        account.own_settled_ms = now_ms
        staked = max(0.0, min(1.0, account.own))
        account.own -= staked
        if self._rng.random() >= staked:
            return QuotaDecision.REFUSED
        is_charged = now_ms < self._counted_until_ms
        account.used += is_charged
        return TakenToken(customer, is_charged=is_charged, is_own=True)

    def give_back(self, token: TakenToken) -> None:
        """Return the token of a request that was sent to no target; the next report counts it."""
        account = self._accounts.get(token.customer)
        if account is not None and token.is_charged:
            account.used -= 1

    def retry_after_ms(self, customer: str, *, now_ms: float) -> float:
        """Return when a refused caller should come back, spread over the time that all need."""
        account = self._accounts.get(customer)
        if account is None or account.refuse_until_ms <= now_ms:
            return MIN_OWN_PAUSE_MS + self._rng.random() * OWN_PAUSE_SPREAD_MS
        spread_ms = max(account.spread_ms, MIN_OWN_PAUSE_MS)
        return account.refuse_until_ms - now_ms + self._rng.random() * spread_ms

    def room(self, customer: str, *, now_ms: float) -> int:
        """Return how many requests of ``customer`` may be served before the lead is asked."""
        account = self._accounts.get(customer)
        if account is None:
            return 0
        account.release_lapsed(now_ms)
        is_free = self._may_advance(customer, account, now_ms)
        return account.held + is_free * (account.max_advance(now_ms) - account.advanced)

    # -- calls to the lead

    def next_call_ms(self, *, now_ms: float) -> float:
        """Return when a call is due although no request waits for it; inf if none is."""
        if not self._is_linked:
            return inf
        due_ms = max(self._report_at_ms, self._retry_call_ms if self._has_failed else -inf)
        return max(due_ms, now_ms)

    def wishes(self, waiting: Mapping[str, int], *, now_ms: float) -> list[TokenWish]:
        """Return what to report and to ask for; ``waiting`` counts the requests that wait."""
        self._report_at_ms = inf
        self._asked_ms = now_ms
        wishes = []
        for name, account in self._accounts.items():
            account.release_lapsed(now_ms)
            wanted = waiting.get(name, 0)
            if wanted or (name in self._scarce and account.refuse_until_ms <= now_ms):
                wanted = max(wanted, wanted + account.ahead(now_ms) - account.held)
            if wanted or account.used:
                wishes.append(TokenWish(name, account.used, wanted))
                account.used = account.advanced = 0
        return wishes

    def on_answers(
        self,
        wishes: Sequence[TokenWish],
        answers: Sequence[TokenAnswer | None],
        scarce: Sequence[str],
        *,
        now_ms: float,
    ) -> None:
        """Apply the answers of the lead to the last ``wishes``.

        Their age counts from the call: an entry that was frozen may read an old answer as if it
        had just arrived.
        """
        self._has_failed = False
        self._answered_ms = self._asked_ms
        self._scarce = frozenset(scarce)
        for wish, answer in zip(wishes, answers, strict=False):
            account = self._accounts.get(wish.customer)
            if account is None:
                continue
            if answer is None:
                account.unknown_until_ms = now_ms + UNKNOWN_MS
                continue
            if not account.held:
                account.held_until_ms = self._asked_ms + HOLD_MS
            account.held += answer.granted
            if answer.granted < wish.wanted:
                spread = 0.75 + 0.5 * self._rng.random()
                account.refuse_until_ms = now_ms + answer.refuse_ms * spread
                account.spread_ms = answer.spread_ms

    def on_failure(self, wishes: Sequence[TokenWish], *, now_ms: float) -> None:
        """Use the own share for a while, since the lead did not answer in time.

        The lead may have counted the wishes: what was used is reported again, what was given back
        is not.
        """
        for wish in wishes:
            account = self._accounts.get(wish.customer)
            if account is not None:
                account.used += max(0, wish.used)
                account.advanced += max(0, wish.used)
        if self._is_lead_usable:
            self._own_since_ms = now_ms
        self._has_failed = True
        self._retry_call_ms = now_ms + RETRY_CALL_MS
        self._report_at_ms = min(self._report_at_ms, self._retry_call_ms)

    # -- details

    def _take_held(self, account: QuotaAccount, now_ms: float) -> bool:
        account.release_lapsed(now_ms)
        if not account.held:
            return False
        account.held -= 1
        return True

    def _may_advance(self, customer: str, account: QuotaAccount, now_ms: float) -> bool:
        is_fresh = now_ms - self._answered_ms < FRESH_MS
        if not is_fresh or customer in self._scarce or account.unknown_until_ms > now_ms:
            return False
        return account.advanced < account.max_advance(now_ms)
