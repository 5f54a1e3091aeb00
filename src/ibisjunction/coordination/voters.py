"""Plans the changes of the voters."""

from dataclasses import dataclass
from typing import Final

from ibisjunction.control.protocol import Voters
from ibisjunction.control.records import VoterRecord

#: A joiner, or a voter that is to stop, counts for this long after its latest
#: request; both repeat their requests more often.
_REQUEST_TIMEOUT_MS: Final = 1500


@dataclass(frozen=True, slots=True)
class Joiner:
    """A running replica that does not vote and has requested to."""

    node: str
    vm: str


class VoterChanges:
    """The requests to become a voter or to stop, and the change they need."""

    def __init__(self, count: int) -> None:
        """Start without requests.

        :param count: number of voters to reach.
        """
        self._count = count
        # The latest request of each VM, and when it arrived.
        self._joiners: dict[str, tuple[Joiner, int]] = {}
        self._leaving: dict[str, int] = {}

    def record_joiner(self, joiner: Joiner, now: int) -> None:
        """Record a request to become a voter.

        A later process on the same VM replaces the one before.
        """
        self._joiners[joiner.vm] = (joiner, now)

    def record_leaving(self, node: str, now: int) -> None:
        """Record that a voter is to stop."""
        self._leaving[node] = now

    def plan(
        self, voters: Voters, unresponsive: list[str], now: int
    ) -> Voters | None:
        """Return the voters after the next change, if one is needed."""
        return plan_voters(
            voters,
            self._list_joiners(now),
            [*self._list_leaving(now), *unresponsive],
            self._count,
        )

    def may_stop(self, node: str, voters: Voters, now: int) -> bool:
        """Return whether a replica that is to stop need not wait.

        A voter waits while another replica can take its place. The last voter
        of a deployment with one is replaced before it stops as well.

        :param voters: the voters after the last committed change.
        """
        nodes = {voter.node for voter in voters}
        if node not in nodes:
            return True
        if len(voters) > self._count:
            return False
        return not _find_joiners_on_new_vms(
            voters,
            [one for one in self._list_joiners(now) if one.node not in nodes],
        )

    def _list_joiners(self, now: int) -> list[Joiner]:
        return [
            joiner
            for joiner, received_ms in self._joiners.values()
            if now < received_ms + _REQUEST_TIMEOUT_MS
        ]

    def _list_leaving(self, now: int) -> list[str]:
        return [
            node
            for node, received_ms in self._leaving.items()
            if now < received_ms + _REQUEST_TIMEOUT_MS
        ]


def plan_voters(
    voters: Voters,
    joiners: list[Joiner],
    replaceable: list[str],
    count: int,
) -> Voters | None:
    """Return the voters after the next change, if one is needed.

    One voter changes at a time. A replica that lost its disk returns
    under another name on the same VM; its old name is removed and the new one
    is added before the next is replaced, so that few voters are missing at any
    time. A voter that is silent or to stop is removed only once another
    replica votes in its place, so that the loss of further disks is borne all
    the while. The only voter is never removed, since no other could commit an
    entry.

    :param replaceable: names of voters that are silent or to stop.
    :param count: number of voters to reach.
    """
    nodes = {voter.node for voter in voters}
    candidates = [joiner for joiner in joiners if joiner.node not in nodes]
    on_new_vms = _find_joiners_on_new_vms(voters, candidates)
    replaced = [
        voter.node for voter in voters if voter.node in set(replaceable)
    ]
    if on_new_vms and len(voters) < count:
        return _add(voters, on_new_vms[0])
    returned_vms = {joiner.vm for joiner in candidates}
    lost = [voter.node for voter in voters if voter.vm in returned_vms]
    if lost:
        return _remove(voters, lost[0])
    if not replaced:
        return None
    if len(voters) > count:
        return _remove(voters, replaced[0])
    if on_new_vms:
        return _add(voters, on_new_vms[0])
    return None


def _add(voters: Voters, joiner: Joiner) -> Voters:
    return (*voters, VoterRecord(joiner.node, joiner.vm, joiner.vm))


def _remove(voters: Voters, node: str) -> Voters | None:
    if len(voters) == 1:
        return None
    return tuple(voter for voter in voters if voter.node != node)


def _find_joiners_on_new_vms(
    voters: Voters, candidates: list[Joiner]
) -> list[Joiner]:
    """Return the joiners on VMs that have no voter."""
    vms = {voter.vm for voter in voters}
    return [joiner for joiner in candidates if joiner.vm not in vms]
