"""State of one target at this entry."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from kingcupusher._core.target_state import TargetState
from kingcupusher._membership.bounds import MAX_TIME_SINCE_GRANT_MS, WARM_EVIDENCE_VALIDITY_MS
from kingcupusher._membership.peers import Grant

# A single read of the VM list may omit a target because the list lags.
UNLISTED_AFTER_READS = 2


@dataclass(slots=True)
class TargetRecord:
    """State of a target and the evidence for it.

    ``epoch`` is that of the latest update of a coordinator; grants up to ``revoked_epoch`` are
    void. ``warm_evidence_ms`` is the send time of the last request whose response reported "warm".
    """

    target_id: str
    group: int
    service: str = ""
    zone: str = ""
    state: TargetState = TargetState.UNKNOWN
    state_since_ms: float = -inf
    epoch: int = 0
    revoked_epoch: int = -1
    boot_id: str | None = None
    previous_boot_id: str | None = None
    boot_since_ms: float = -inf
    warm_evidence_ms: float = -inf
    last_response_ms: float = -inf
    grant: Grant | None = None
    last_grant_until_ms: float = -inf
    missed_reads: int = UNLISTED_AFTER_READS
    is_leaving: bool = False
    # This entry detected that the target drains, and its coordinator has not announced it yet.
    is_drain_unannounced: bool = False
    # The zone was taken out since the last grant, so the target must ramp before it opens again.
    is_closed_by_zone: bool = False

    @property
    def is_listed(self) -> bool:
        """Whether the VM list contains the target."""
        return self.missed_reads < UNLISTED_AFTER_READS

    @property
    def grant_until_ms(self) -> float:
        """Deadline of the coordinator's open grant."""
        return -inf if self.grant is None else self.grant.deadline_ms

    @property
    def warm_evidence_until_ms(self) -> float:
        """When responses no longer prove that the target is warm."""
        return self.warm_evidence_ms + WARM_EVIDENCE_VALIDITY_MS

    @property
    def evidence_without_grant_until_ms(self) -> float:
        """When evidence no longer replaces the grant of a coordinator that is not heard."""
        last_ms = max(self.last_grant_until_ms, self.grant_until_ms)
        return last_ms + MAX_TIME_SINCE_GRANT_MS

    def drop_grant(self) -> None:
        """Drop the grant and keep its deadline."""
        self.last_grant_until_ms = max(self.last_grant_until_ms, self.grant_until_ms)
        self.grant = None

    def set_state(self, state: TargetState, *, now_ms: float) -> None:
        """Set the state; a closed target loses its grant and its evidence."""
        if state is not self.state:
            self.state_since_ms = now_ms
        self.state = state
        if state is not TargetState.OPEN:
            self.drop_grant()
            self.warm_evidence_ms = -inf

    def update_boot_id(self, boot_id: str | None, *, now_ms: float) -> None:
        """Set the boot id of the target's process; evidence of an earlier process is void."""
        if boot_id is None or boot_id == self.boot_id:
            return
        if self.boot_id is not None:
            self.previous_boot_id = self.boot_id
            self.warm_evidence_ms = -inf
        self.is_drain_unannounced = False
        self.boot_id = boot_id
        self.boot_since_ms = now_ms
