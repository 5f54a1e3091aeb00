"""The decision whether a non-idempotent request may run."""

from dataclasses import dataclass
from typing import Final

from ibisjunction.ledger.holders import quorum_of
from ibisjunction.ledger.messages import (
    Holder,
    OpenRecord,
    RecordHeld,
    RecordReserved,
    RecordUnavailable,
    ReserveRecord,
)
from ibisjunction.outcomes import Failed, Reason, Refused
from ibisjunction.verdict import Verdict

#: Holders answer within about 2 ms; the rest allows for several repeats.
RESERVE_TIMEOUT_MS: Final = 300
#: A repeat asks again where the answer was lost or the view was another.
RESERVE_REPEAT_MS: Final = 50

Vote = RecordReserved | RecordHeld | RecordUnavailable


@dataclass(frozen=True, slots=True)
class MayRun:
    """Enough holders keep the record."""


Decision = MayRun | Refused | Failed


class Reservation:
    """The votes of the holders on one request.

    The first holder is asked before the others. It settles which of several
    senders goes on; if all were asked at once, three senders could get one
    holder each, and none could run.
    """

    def __init__(
        self,
        ask: OpenRecord,
        holders: tuple[Holder, ...],
        now: int,
    ) -> None:
        """Start without votes."""
        self.ask = ask
        self.holders = holders
        self._ends_at = now + RESERVE_TIMEOUT_MS
        self._repeat_at = now + RESERVE_REPEAT_MS
        self._has_asked_others = False
        self._votes: dict[Holder, Vote] = {}
        self.asked_vms = {holder.vm for holder in holders}

    def request(self) -> ReserveRecord:
        """Return the message to the holders."""
        return ReserveRecord(
            self.ask.request_id,
            self.ask.key,
            self.ask.digest,
            self.holders,
        )

    def first(self) -> tuple[Holder, ...]:
        """Return the holder to ask first."""
        return self.holders[:1]

    def others(self, vote: Vote) -> tuple[Holder, ...]:
        """Return the holders to ask after a vote, or none."""
        if self._has_asked_others or isinstance(vote, RecordHeld):
            return ()
        self._has_asked_others = True
        return self.holders[1:]

    def repeat(self, holders: tuple[Holder, ...], now: int) -> list[Holder]:
        """Return the holders to ask again, under the current view.

        A holder that left the view no longer counts.
        """
        if now < self._repeat_at:
            return []
        self._repeat_at = now + RESERVE_REPEAT_MS
        self.holders = holders
        self._has_asked_others = True
        self.asked_vms |= {holder.vm for holder in holders}
        return [
            holder
            for holder in holders
            if not isinstance(
                self._votes.get(holder),
                RecordReserved | RecordHeld,
            )
        ]

    def vote(self, sender: str, vote: Vote) -> Decision | None:
        """Take a holder's vote and return the decision it brings."""
        for holder in self.holders:
            if holder.vm == sender and _is_from(vote, holder):
                self._votes[holder] = vote
        return self._decide(is_late=False)

    def end(self, now: int) -> Decision | None:
        """Return the decision if the time for votes has run out."""
        return self._decide(is_late=True) if now >= self._ends_at else None

    def _decide(self, *, is_late: bool) -> Decision | None:
        votes = [self._votes.get(holder) for holder in self.holders]
        reserved = sum(isinstance(vote, RecordReserved) for vote in votes)
        held = [vote for vote in votes if isinstance(vote, RecordHeld)]
        for concluded in held:
            if concluded.verdict is not None:
                return self._explain(concluded)
        quorum = quorum_of(self.holders)
        undecided = len(self.holders) - len(held)
        if reserved >= quorum:
            return MayRun()
        if held and (is_late or undecided < quorum):
            return self._explain(held[0])
        if is_late:
            return Refused(Reason.RECORD_UNREACHABLE, _describe(votes))
        return None

    def _explain(self, held: RecordHeld) -> Refused | Failed:
        if held.digest != self.ask.digest:
            return Refused(Reason.KEY_REUSED)
        match held.verdict:
            case None:
                detail = 'it is in progress'
                return Failed(Reason.ALREADY_RECORDED, detail)
            case Verdict.RAN if held.status:
                detail = f'it ran with status {held.status}'
            case _:
                detail = ''
        return Failed(Reason.ALREADY_RECORDED, detail, held.verdict)


def _is_from(vote: Vote, holder: Holder) -> bool:
    """Return whether a reservation was made by this life of the holder."""
    if isinstance(vote, RecordReserved):
        return vote.incarnation == holder.incarnation
    return True


def _describe(votes: list[Vote | None]) -> str:
    details = {
        vote.detail for vote in votes if isinstance(vote, RecordUnavailable)
    }
    return ', '.join(sorted(details)) or 'no answer'
