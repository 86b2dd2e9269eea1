"""Time limits of the membership protocol."""

from __future__ import annotations

HEARTBEAT_INTERVAL_MS = 500.0

# Requirements R3 and R7 allow 3 s. The remaining 1 s covers the delivery of a zone order to one
# entry and a request that was admitted before.
CONFIRMATION_VALIDITY_MS = 2_000.0

# Three heartbeats, so that one lost heartbeat does not interrupt traffic.
GRANT_VALIDITY_MS = 1_500.0

# Without a reachable coordinator, a response proves for this long that a target is warm. It stays
# below the 3 s of R7, because an isolated entry detects a leaving target only by its responses.
WARM_EVIDENCE_VALIDITY_MS = 2_500.0

# A load report may still state "warm" for this long after the target turned cold.
REPORT_LAG_MS = 1_000.0

# Without a confirmed outage, responses keep a target usable for this long after its last grant.
# This covers the loss of a coordinator: up to 6 s until its lease expires plus 2 s of takeover,
# less the grant, which outlives it by 1.5 s, plus 0.5 s until the first heartbeat of the new one.
MAX_TIME_SINCE_GRANT_MS = 7_000.0

# An entry that does not acknowledge a revocation has no valid permission after this time, whatever
# responses it gets from the target.
REVOCATION_TIMEOUT_MS = GRANT_VALIDITY_MS + MAX_TIME_SINCE_GRANT_MS

# If the observation that closed a target was correct, all older evidence has expired by then.
DEREGISTERED_HOLDER_WAIT_MS = max(GRANT_VALIDITY_MS, WARM_EVIDENCE_VALIDITY_MS + REPORT_LAG_MS)

# Older grants, and the reports that the outage rule uses, have expired by then.
TAKEOVER_DELAY_MS = 2_000.0

# Maximum age of the reports on which a coordinator without a valid lease may continue. Together
# with TAKEOVER_DELAY_MS it leaves 1 s between the last action of the old coordinator and the first
# of a new one.
OUTAGE_REPORT_AGE_MS = 1_000.0

# The platform counts as unreachable after this time without a response, even if no call failed.
PLATFORM_TIMEOUT_MS = 1_500.0

# An entry whose registration ended may still run, partitioned together with a majority, and use
# open targets on the evidence of responses. For this long after the end, ramps start later.
DEREGISTERED_RETENTION_MS = 600_000.0

# A peer heard within this time may hold a permission, even if it is not registered.
ACTIVE_PEER_WINDOW_MS = 5_000.0

# A new coordinator waits this long for proof that a target is warm before it closes the target.
WARM_VERIFICATION_TIMEOUT_MS = 5_000.0

# An open target without a response for this long is probed.
IDLE_PROBE_INTERVAL_MS = 5_000.0

# No lagging report precedes a drain by this long; a probe may find the drain cancelled.
DRAIN_RECHECK_MS = 10_000.0

# A notice is resent until the target's coordinator has sent a newer update, at most this long.
NOTICE_RESEND_DURATION_MS = 5_000.0
