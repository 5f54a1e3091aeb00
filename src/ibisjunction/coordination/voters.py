"""Plans the changes of the voters."""

from dataclasses import dataclass

from ibisjunction.control.protocol import Voters
from ibisjunction.control.records import VoterRecord


@dataclass(frozen=True, slots=True)
class Joiner:
    """A running replica that does not vote and has requested to."""

    node: str
    vm: str


def plan_voters(
    voters: Voters,
    joiners: list[Joiner],
    unresponsive: list[str],
    count: int,
) -> Voters | None:
    """Return the voters after the next change, if one is needed.

    One voter changes at a time. A replica that lost its disk returns
    under another name on the same VM; its old name is removed and the new one
    is added before the next is replaced, so that few voters are missing at any
    time. An unresponsive voter is removed only if another replica can replace
    it. The only voter is never removed, since no other could commit an entry.

    :param unresponsive: names of voters that have not answered for long.
    :param count: number of voters to reach.
    """
    nodes = {voter.node for voter in voters}
    candidates = [joiner for joiner in joiners if joiner.node not in nodes]
    on_new_vms = _find_joiners_on_new_vms(voters, candidates)
    if len(voters) < count and on_new_vms:
        added = on_new_vms[0]
        return (*voters, VoterRecord(added.node, added.vm, added.vm))
    returned_vms = {joiner.vm for joiner in candidates}
    removable = [voter.node for voter in voters if voter.vm in returned_vms]
    if len(voters) >= count and on_new_vms:
        removable += unresponsive
    if not removable or len(voters) == 1:
        return None
    return tuple(voter for voter in voters if voter.node != removable[0])


def _find_joiners_on_new_vms(
    voters: Voters, candidates: list[Joiner]
) -> list[Joiner]:
    """Return the joiners on VMs that have no voter."""
    vms = {voter.vm for voter in voters}
    return [joiner for joiner in candidates if joiner.vm not in vms]
