"""Keeps requests that end the targets which run them away from further targets."""

from __future__ import annotations

MAX_ENDED_TARGETS = 3
"""A request under which this many targets have ended is refused."""
QUARANTINE_MS = 600_000.0
SUCCESS_MEMORY_MS = 10_000.0
"""For this time after a success, a lost response is no evidence: the target ended by itself."""
MAX_FINGERPRINTS = 4_096


class _Evidence:
    """Targets that ended under a request; it is forgotten at ``until_ms``."""

    __slots__ = ("target_ids", "until_ms")

    def __init__(self) -> None:
        self.target_ids: set[str] = set()
        self.until_ms = 0.0


class CrashQuarantine:
    """Counts the targets that ended under equal requests, which a fingerprint identifies.

    An ended connection does not show why it ended, so only a request under which several targets
    ended without a success in between is refused. Times are on the monotonic clock.
    """

    __slots__ = ("_evidence", "_succeeded_until_ms")

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}
        self._succeeded_until_ms: dict[str, float] = {}

    def record(self, fingerprint: str, target_id: str, *, now_ms: float) -> bool:
        """Record that ``target_id`` ended; return whether this is new evidence."""
        if self._succeeded_until_ms.get(fingerprint, 0.0) > now_ms:
            return False
        return self.learn(fingerprint, target_id, now_ms=now_ms)

    def learn(self, fingerprint: str, target_id: str, *, now_ms: float) -> bool:
        """Record evidence of another entry; return whether it is new."""
        evidence = self._find(fingerprint, now_ms)
        if evidence is None:
            evidence = self._evidence[fingerprint] = _Evidence()
            _limit_size(self._evidence)
        is_new = target_id not in evidence.target_ids
        evidence.target_ids.add(target_id)
        evidence.until_ms = now_ms + QUARANTINE_MS
        return is_new

    def forget(self, fingerprint: str, target_id: str) -> None:
        """Withdraw the evidence of one target."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return
        evidence.target_ids.discard(target_id)
        if not evidence.target_ids:
            del self._evidence[fingerprint]

    def on_success(self, fingerprint: str, *, now_ms: float) -> list[str]:
        """Withdraw all evidence; return the targets that were counted."""
        self._succeeded_until_ms.pop(fingerprint, None)
        self._succeeded_until_ms[fingerprint] = now_ms + SUCCESS_MEMORY_MS
        _limit_size(self._succeeded_until_ms)
        evidence = self._evidence.pop(fingerprint, None)
        return sorted(evidence.target_ids) if evidence is not None else []

    def ended_targets(self, fingerprint: str, *, now_ms: float) -> int:
        """Return the number of targets that ended under the request."""
        evidence = self._find(fingerprint, now_ms)
        return len(evidence.target_ids) if evidence is not None else 0

    def is_refused(self, fingerprint: str, *, now_ms: float) -> bool:
        """Return whether the request must not be sent."""
        return self.ended_targets(fingerprint, now_ms=now_ms) >= MAX_ENDED_TARGETS

    def may_retry(self, fingerprint: str, *, now_ms: float) -> bool:
        """Return whether the request may go to another target after one ended under it."""
        return self.ended_targets(fingerprint, now_ms=now_ms) < MAX_ENDED_TARGETS - 1

    def refused_count(self, *, now_ms: float) -> int:
        """Return the number of requests that are refused."""
        return sum(self.is_refused(fingerprint, now_ms=now_ms) for fingerprint in [*self._evidence])

    def snapshot(self) -> list[tuple[str, str]]:
        """Return all evidence as pairs of fingerprint and target."""
        items = self._evidence.items()
        return [(fingerprint, t) for fingerprint, e in items for t in sorted(e.target_ids)]

    def _find(self, fingerprint: str, now_ms: float) -> _Evidence | None:
        evidence = self._evidence.get(fingerprint)
        if evidence is not None and evidence.until_ms <= now_ms:
            del self._evidence[fingerprint]
            return None
        return evidence


def _limit_size(table: dict[str, _Evidence] | dict[str, float]) -> None:
    while len(table) > MAX_FINGERPRINTS:
        del table[next(iter(table))]
