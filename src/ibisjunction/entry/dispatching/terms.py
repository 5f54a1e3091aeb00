"""How requests wait for a slot, and when refused callers come back."""

from dataclasses import dataclass, field
from typing import Final


@dataclass(frozen=True, slots=True)
class FixedReturn:
    """All refused callers are told the same time, and return as new ones."""

    retry_after_ms: int = 300


@dataclass(frozen=True, slots=True)
class AppointedReturn:
    """Refused callers come back one after another.

    ``share`` is the part of the capacity that is kept for them. Requests that
    could be in time lose it: with a tenth, 3 to 10 in a hundred fewer are in
    time in overload.
    """

    share: float = 0.02


ReturnRule = FixedReturn | AppointedReturn


@dataclass(frozen=True, slots=True)
class WaitingTerms:
    """The rules for the requests of one queue.

    ``min_share`` is the part of its own requests that each rank gets served
    in a flood of more urgent ones. A kind of request of which more are refused
    is as good as out of service. ``counts_arrivals`` adds the requests that
    will arrive, and go first, to the expected wait of a less urgent or late
    one.
    """

    min_share: float = 0.25
    counts_arrivals: bool = True
    returns: ReturnRule = field(default_factory=AppointedReturn)


#: A single order by urgency and target, and one time to come back for all.
PLAIN_TERMS: Final = WaitingTerms(
    min_share=0, counts_arrivals=False, returns=FixedReturn()
)
