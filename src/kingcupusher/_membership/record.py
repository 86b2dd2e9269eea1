"""One target as this entry knows it."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from kingcupusher._core.target_state import TargetState
from kingcupusher._membership.bounds import EVIDENCE_MS, EVIDENCE_WITHOUT_GRANT_MS
from kingcupusher._membership.peers import Grant

# A target that one read of the VM list omits may be missing because the list lags.
ABSENT_READS = 2


@dataclass(slots=True)
class TargetRecord:
    """State of a target with the evidence behind it.

    ``epoch`` is the newest statement of a coordinator; statements up to ``closed_epoch`` grant
    nothing any more. ``evidence_ms`` is the send instant of the last request that the target
    answered as warm.
    """

    target_id: str
    group: int
    service: str = ""
    zone: str = ""
    state: TargetState = TargetState.UNKNOWN
    since_ms: float = -inf
    epoch: int = 0
    closed_epoch: int = -1
    boot_id: str | None = None
    previous_boot_id: str | None = None
    boot_since_ms: float = -inf
    evidence_ms: float = -inf
    last_direct_ms: float = -inf
    grant: Grant | None = None
    last_grant_until_ms: float = -inf
    absent_reads: int = ABSENT_READS
    is_leaving: bool = False
    # This entry saw that the target leaves, and its coordinator has not said so yet.
    is_drain_untold: bool = False
    # The zone went out since the last grant: the target must ramp before it is open again.
    is_zone_closed: bool = False

    @property
    def is_listed(self) -> bool:
        """Whether the VM list shows the target."""
        return self.absent_reads < ABSENT_READS

    @property
    def grant_until_ms(self) -> float:
        """Deadline of the coordinator's open grant."""
        return -inf if self.grant is None else self.grant.deadline_ms

    @property
    def evidence_until_ms(self) -> float:
        """Deadline up to which direct responses prove warmth."""
        return self.evidence_ms + EVIDENCE_MS

    @property
    def ungranted_until_ms(self) -> float:
        """Deadline up to which evidence may stand in for a coordinator that is not heard."""
        last_ms = max(self.last_grant_until_ms, self.grant_until_ms)
        return last_ms + EVIDENCE_WITHOUT_GRANT_MS

    def drop_grant(self) -> None:
        """Give up the grant, and keep its deadline."""
        self.last_grant_until_ms = max(self.last_grant_until_ms, self.grant_until_ms)
        self.grant = None

    def move(self, state: TargetState, *, now_ms: float) -> None:
        """Enter ``state``; a closed target loses its grant and its evidence."""
        if state is not self.state:
            self.since_ms = now_ms
        self.state = state
        if state is not TargetState.OPEN:
            self.drop_grant()
            self.evidence_ms = -inf

    def adopt_boot(self, boot_id: str | None, *, now_ms: float) -> None:
        """Note the identity of the target's process; evidence of an earlier one is void."""
        if boot_id is None or boot_id == self.boot_id:
            return
        if self.boot_id is not None:
            self.previous_boot_id = self.boot_id
            self.evidence_ms = -inf
        self.is_drain_untold = False
        self.boot_id = boot_id
        self.boot_since_ms = now_ms
