"""Time bounds of the rules that allow a send."""

from __future__ import annotations

HEARTBEAT_MS = 500.0

# R3 and R7 allow 3 s; this leaves 1 s for an order to reach one entry and for an admitted request.
CONFIRMATION_MS = 2_000.0

# Three heartbeats: the loss of one does not interrupt traffic.
GRANT_MS = 1_500.0

# A direct response proves warmth for this long where no coordinator is heard. It stays below the
# 3 s of R7, because an entry that hears nobody learns of a leaving target only from responses.
EVIDENCE_MS = 2_500.0

# A load report may still say "warm" for this long after the target turned cold.
REPORT_LAG_MS = 1_000.0

# Direct evidence carries an entry this long after its last grant, unless an outage is confirmed.
# It covers the loss of a coordinator: 6 s until its lease ends and 2 s of takeover, less the
# grant that outlives it by 1.5 s, and half a second to hear the new one.
EVIDENCE_WITHOUT_GRANT_MS = 7_000.0

# An entry that does not acknowledge a revocation has no right left after this time, whatever the
# target says to it.
REVOCATION_MS = GRANT_MS + EVIDENCE_WITHOUT_GRANT_MS

# If the sign that closed a target was true, nobody has evidence from before it after this time.
DEPARTED_HOLD_MS = max(GRANT_MS, EVIDENCE_MS + REPORT_LAG_MS)

# Older grants and the reports that the outage rule needs have expired by then.
TAKEOVER_MS = 2_000.0

# Age of the reports on which a holder without a valid lease may continue. Together with
# TAKEOVER_MS it leaves 1 s between the last act of the old holder and the first of a new one.
OUTAGE_REPORT_MS = 1_000.0

# The platform counts as unreachable after this time without a response, even if no call failed.
PLATFORM_SILENCE_MS = 1_500.0

# A registration may end while its entry still runs, cut off together with a majority, and uses
# open targets by direct evidence. Ramps start later for this long after a registration ended.
DEPARTED_MS = 600_000.0

# An entry that was heard this recently may hold a right, even if it is not registered.
HEARD_MS = 5_000.0

# A new coordinator looks for proof of warmth for this long before it closes a target.
VERIFY_MS = 5_000.0

# An open target without a direct response for this long is probed.
IDLE_PROBE_MS = 5_000.0

# A drain sign is older than any lagging report by then; a probe may find the drain cancelled.
DRAIN_RECHECK_MS = 10_000.0

# A sign is repeated until its target's coordinator made a newer statement, at most this long.
NOTICE_REPEAT_MS = 5_000.0
