"""Decides which replicas vote."""

from dataclasses import dataclass

from ibisjunction.control.protocol import Voters
from ibisjunction.control.records import VoterRecord


@dataclass(frozen=True, slots=True)
class Joiner:
    """A replica that does not vote and says that it runs."""

    node: str
    vm: str


def plan_voters(
    voters: Voters,
    joiners: list[Joiner],
    silent: list[str],
    wanted: int,
) -> Voters | None:
    """Return the voters after the next change, if one is due.

    One voter changes at a time. A replica that lost its disk comes back with
    another name on the same VM; its old name is removed and the new one is
    added before the next is replaced, so that few voters are missing at any
    time. A silent voter gives way only if there is another replica.

    :param silent: names of voters that have not answered for long.
    """
    nodes = {voter.node for voter in voters}
    waiting = [joiner for joiner in joiners if joiner.node not in nodes]
    newcomers = _find_newcomers(voters, waiting)
    if len(voters) < wanted and newcomers:
        added = newcomers[0]
        return (*voters, VoterRecord(added.node, added.vm, added.vm))
    returned = {joiner.vm for joiner in waiting}
    replaced = [voter.node for voter in voters if voter.vm in returned]
    if len(voters) >= wanted and newcomers:
        replaced += silent
    if not replaced or len(voters) == 1:
        return None
    return tuple(voter for voter in voters if voter.node != replaced[0])


def _find_newcomers(voters: Voters, waiting: list[Joiner]) -> list[Joiner]:
    """Return the joiners on VMs that have no voter."""
    vms = {voter.vm for voter in voters}
    return [joiner for joiner in waiting if joiner.vm not in vms]
