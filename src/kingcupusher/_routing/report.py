"""Load report in the ``X-Target-Load`` header of a target's response."""

from __future__ import annotations

from dataclasses import dataclass

from kingcupusher._routing.errors import InvalidLoadReportError

EXAMPLE = "inflight=2, queued=0, slots=3, state=warm, boot=17"


@dataclass(slots=True)
class LoadReport:
    """Load and state of a target at the moment it sent a response."""

    in_flight: int
    queued: int
    slots: int
    state: str
    boot_id: str

    @classmethod
    def parse(cls, header_value: str | bytes) -> LoadReport:
        """Parse the value of ``X-Target-Load``; raise :class:`InvalidLoadReportError`.

        Fields may have any order. Unknown fields are ignored, so that targets can add fields.
        """
        text = header_value.decode("latin-1") if isinstance(header_value, bytes) else header_value
        try:
            fields = dict([part.strip().split("=", 1) for part in text.split(",")])
            report = cls(
                int(fields["inflight"]),
                int(fields["queued"]),
                int(fields["slots"]),
                fields["state"],
                fields["boot"],
            )
        except (KeyError, ValueError):
            raise InvalidLoadReportError(
                f"{text!r} is not a load report; send for example {EXAMPLE!r}"
            ) from None
        if report.in_flight < 0 or report.queued < 0 or report.slots < 1:
            raise InvalidLoadReportError(f"{text!r} has a count out of range; send {EXAMPLE!r}")
        return report
