"""Decides whether a non-idempotent request may run."""

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
#: A repeat reaches holders whose answer was lost or whose view differed.
RESERVE_REPEAT_MS: Final = 50

Vote = RecordReserved | RecordHeld | RecordUnavailable


@dataclass(frozen=True, slots=True)
class MayRun:
    """The request may run, since enough holders keep its record."""


Decision = MayRun | Refused | Failed


class Reservation:
    """The votes of the holders on one request.

    The first holder is contacted before the others, so that its record decides
    between several senders. If all holders were contacted at once, three
    senders could reserve at one holder each, and none of the requests could
    run.

    ``holder_vms`` includes the VMs of holders that left the view, since they
    may keep the record.
    """

    def __init__(
        self,
        request: OpenRecord,
        holders: tuple[Holder, ...],
        now: int,
    ) -> None:
        """Start without votes."""
        self.request = request
        self.holders = holders
        self._deadline = now + RESERVE_TIMEOUT_MS
        self._repeat_at = now + RESERVE_REPEAT_MS
        self._has_contacted_others = False
        self._votes: dict[Holder, Vote] = {}
        self.holder_vms = {holder.vm for holder in holders}

    def make_message(self) -> ReserveRecord:
        """Return the message to the holders."""
        return ReserveRecord(
            self.request.request_id,
            self.request.key,
            self.request.digest,
            self.holders,
        )

    def first_holders(self) -> tuple[Holder, ...]:
        """Return the holder to contact first, or none without holders."""
        return self.holders[:1]

    def next_holders(self, vote: Vote) -> tuple[Holder, ...]:
        """Return the holders to contact after a vote, or none."""
        if self._has_contacted_others or isinstance(vote, RecordHeld):
            return ()
        self._has_contacted_others = True
        return self.holders[1:]

    def repeat(self, holders: tuple[Holder, ...], now: int) -> list[Holder]:
        """Apply the current holders; return those to contact again.

        Return none before the time of the next repeat. The vote of a holder
        that left the view no longer counts.
        """
        if now < self._repeat_at:
            return []
        self._repeat_at = now + RESERVE_REPEAT_MS
        self.holders = holders
        self._has_contacted_others = True
        self.holder_vms |= {holder.vm for holder in holders}
        return [
            holder
            for holder in holders
            if not isinstance(
                self._votes.get(holder),
                RecordReserved | RecordHeld,
            )
        ]

    def add_vote(self, sender: str, vote: Vote) -> Decision | None:
        """Add a holder's vote; return the decision if it is reached."""
        for holder in self.holders:
            if holder.vm == sender and _is_from_incarnation(vote, holder):
                self._votes[holder] = vote
        return self._decide(is_late=False)

    def decide_if_late(self, now: int) -> Decision | None:
        """Return the decision if the time for votes has run out."""
        return self._decide(is_late=True) if now >= self._deadline else None

    def _decide(self, *, is_late: bool) -> Decision | None:
        votes = [self._votes.get(holder) for holder in self.holders]
        reserved = sum(isinstance(vote, RecordReserved) for vote in votes)
        conflicts = [vote for vote in votes if isinstance(vote, RecordHeld)]
        for conflict in conflicts:
            if conflict.verdict is not None:
                return self._make_outcome(conflict)
        quorum = quorum_of(self.holders)
        without_conflict = len(self.holders) - len(conflicts)
        if reserved >= quorum:
            return MayRun()
        if conflicts and (is_late or without_conflict < quorum):
            return self._make_outcome(conflicts[0])
        if is_late:
            return Refused(Reason.RECORD_UNREACHABLE, _join_details(votes))
        return None

    def _make_outcome(self, conflict: RecordHeld) -> Refused | Failed:
        if conflict.digest != self.request.digest:
            return Refused(Reason.KEY_REUSED)
        match conflict.verdict:
            case None:
                detail = 'it is in progress'
                return Failed(Reason.ALREADY_RECORDED, detail)
            case Verdict.RAN if conflict.status:
                detail = f'it ran with status {conflict.status}'
            case _:
                detail = ''
        return Failed(Reason.ALREADY_RECORDED, detail, conflict.verdict)


def _is_from_incarnation(vote: Vote, holder: Holder) -> bool:
    """Return whether a reservation is from this incarnation of the holder.

    Other votes carry no incarnation and always count.
    """
    if isinstance(vote, RecordReserved):
        return vote.incarnation == holder.incarnation
    return True


def _join_details(votes: list[Vote | None]) -> str:
    details = {
        vote.detail for vote in votes if isinstance(vote, RecordUnavailable)
    }
    return ', '.join(sorted(details)) or 'no answer'
