"""The voters of a new deployment."""

from ibisjunction.control.protocol import (
    Voters,
)
from ibisjunction.control.records import VoterRecord
from ibisjunction.settings import Settings


def list_initial_voters(settings: Settings) -> Voters:
    """Return the voters listed in the settings.

    The replica on the first disk of a VM has the name of the VM.
    """
    return tuple(
        VoterRecord(voter.vm, voter.vm, str(voter.peer))
        for voter in settings.voters
    )
