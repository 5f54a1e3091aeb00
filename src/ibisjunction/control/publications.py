"""Accepts or rejects publications.

Of two publications based on one revision, only the first is accepted. A
resend gets the outcome of the first attempt, accepted or rejected.
"""

from collections.abc import Mapping
from typing import Final

from ibisjunction.control.commands import (
    Accepted,
    CommandOutcome,
    PublishRevision,
    Rejected,
)
from ibisjunction.control.records import Publication

#: Number of stored outcomes. A resend that arrives after this many later
#: publications counts as a new one and is rejected for its old base.
_MAX_PUBLICATIONS: Final = 1000


def decide_publication(command: PublishRevision, revision: int) -> Publication:
    """Return the outcome of a new publication on the current revision."""
    is_accepted = command.base_revision == revision
    return Publication(
        command.publication_id,
        command.base_revision,
        revision + is_accepted,
        is_accepted,
    )


def add_publication(
    publications: Mapping[str, Publication],
    publication: Publication,
) -> dict[str, Publication]:
    """Return the publications with one more, without the oldest ones."""
    all_publications = [
        *publications.items(),
        (publication.publication_id, publication),
    ]
    return dict(all_publications[-_MAX_PUBLICATIONS:])


def outcome_of(publication: Publication) -> CommandOutcome:
    """Return the outcome to send to the operator."""
    if publication.is_accepted:
        return Accepted(publication.revision)
    return Rejected(
        f'based on revision {publication.base_revision}, but revision'
        f' {publication.revision} was in force; fetch the current one and'
        ' publish again under a new id',
    )
