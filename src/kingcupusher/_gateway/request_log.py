"""Log lines and metrics of one request."""

from __future__ import annotations

from kingcupusher._core import now_ms
from kingcupusher._gateway.attempt import Attempt, AttemptResult
from kingcupusher._gateway.load_probe import ProbedTarget
from kingcupusher._gateway.probe_results import ProbeResults
from kingcupusher._gateway.wait_queue import Refusal
from kingcupusher._observe.events import EventLog
from kingcupusher._observe.metrics_registry import Metrics, labels

NO_SERVICE = "none"


class RequestLog:
    """Writes the log lines of one request.

    ``service`` is None until its route is known, ``customer`` if it has none.
    """

    __slots__ = ("_id", "_log", "_metrics", "customer", "service")

    def __init__(self, request_id: bytes, *, log: EventLog, metrics: Metrics) -> None:
        self._id = request_id.decode("latin-1")
        self._log = log
        self._metrics = metrics
        self.service: str | None = None
        self.customer: str | None = None

    def record_choice(self, results: ProbeResults, best: ProbedTarget | None) -> None:
        """Log which of the probed targets was chosen."""
        self._log.request_event(
            "choice",
            id=self._id,
            target=best.target.target_id if best else None,
            asked=results.probed_count,
            answered=results.response_count,
            usable=len(results.usable),
            elapsed_ms=round(results.elapsed_ms, 1),
        )

    def record_wait(self, probed: ProbedTarget | None, *, started_ms: float) -> None:
        """Log the end of a wait for a target."""
        is_placed = "yes" if probed else "no"
        key = labels(service=self.service or NO_SERVICE, placed=is_placed)
        self._metrics.count("waits_total", key)
        self._log.request_event(
            "wait",
            id=self._id,
            target=probed.target.target_id if probed else None,
            elapsed_ms=round(now_ms() - started_ms, 1),
        )

    def record_refusal(self, refusal: Refusal) -> None:
        """Log the refusal of a request whose wait for a target would be in vain."""
        key = labels(service=self.service or NO_SERVICE, cause=refusal.response.reason)
        self._metrics.count("waits_refused_total", key)
        self._log.request_event(
            "wait refused",
            id=self._id,
            customer=self.customer,
            reason=refusal.response.reason,
            ahead=refusal.ahead,
            min_wait_ms=round(refusal.min_wait_ms, 1),
            retry_after_ms=round(refusal.response.retry_after_ms or 0.0, 1),
        )

    def record_attempt(self, result: AttemptResult) -> None:
        """Log the result of one attempt, with the load reading on which it was based."""
        attempt = result.attempt
        reading = attempt.probed.reading
        elapsed_ms = attempt.ended_ms - attempt.sent_ms
        service = self.service or NO_SERVICE
        outcome = result.outcome.value
        self._metrics.count("sends_total", labels(service=service, outcome=outcome))
        self._metrics.observe_ms("send_ms", labels(service=service), elapsed_ms)
        self._log.request_event(
            "send",
            id=self._id,
            target=attempt.probed.target.target_id,
            outcome=outcome,
            status=result.response.status if result.response else 0,
            reason=result.reason,
            fingerprint=attempt.fingerprint if result.has_lost_response else None,
            elapsed_ms=round(elapsed_ms, 1),
            reading_age_ms=round(attempt.sent_ms - reading.read_ms, 1),
            running=reading.running,
            waiting=reading.waiting,
            slowness_percent=reading.slowness_percent,
            cold_left_ms=round(reading.cold_left_ms),
            max_requests_per_s=reading.max_requests_per_s,
        )

    def record_hedge(self, hedge: Attempt, *, elapsed_ms: float) -> None:
        """Log a hedge, sent ``elapsed_ms`` after the attempt whose response is overdue."""
        self.count_hedge("sent")
        target_id = hedge.probed.target.target_id
        self._log.request_event(
            "hedge", id=self._id, target=target_id, elapsed_ms=round(elapsed_ms, 1)
        )

    def record_hedge_held_back(self, limit: str, *, elapsed_ms: float) -> None:
        """Log that ``limit`` held a hedge back."""
        key = labels(service=self.service or NO_SERVICE, limit=limit)
        self._metrics.count("hedges_held_back_total", key)
        self._log.request_event(
            "hedge held back", id=self._id, limit=limit, elapsed_ms=round(elapsed_ms, 1)
        )

    def count_hedge(self, event: str) -> None:
        """Count a hedge that was sent, that won, or that led to a cancelled attempt."""
        self._metrics.count("hedges_total", labels(service=self.service or NO_SERVICE, event=event))

    def record_end(
        self,
        status: int,
        outcome: str,
        *,
        route: str | None,
        routes_version: int | None,
        sends: int,
        received_ms: float,
    ) -> None:
        """Log the end of the request; ``status`` is 0 if the caller got no response."""
        elapsed_ms = now_ms() - received_ms
        service = self.service or NO_SERVICE
        key = labels(service=service, status=str(status), cause=outcome)
        self._metrics.count("requests_total", key)
        if self.customer is not None:
            customer_key = labels(customer=self.customer, status=str(status))
            self._metrics.count("customer_requests_total", customer_key)
        self._metrics.observe_ms("request_ms", labels(service=service), elapsed_ms)
        self._log.request_event(
            "request",
            id=self._id,
            route=route,
            service=self.service,
            customer=self.customer,
            routes_version=routes_version,
            status=status,
            outcome=outcome,
            sends=sends,
            elapsed_ms=round(elapsed_ms, 1),
        )
