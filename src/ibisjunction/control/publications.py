"""The rule by which publications are accepted.

Of two publications on top of one revision, one is accepted. A resend gets the
outcome of the first, accepted or rejected.
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

#: A publication that is sent again later than this many publications after
#: its first outcome is taken for a new one, and refused for its old base.
_PUBLICATIONS_KEPT: Final = 1000


def judge_publication(command: PublishRevision, revision: int) -> Publication:
    """Return the outcome of a first publication while ``revision`` holds."""
    is_accepted = command.base_revision == revision
    return Publication(
        command.publication_id,
        command.base_revision,
        revision + is_accepted,
        is_accepted,
    )


def keep_publication(
    publications: Mapping[str, Publication],
    publication: Publication,
) -> dict[str, Publication]:
    """Return the publications with one more, the oldest ones left out."""
    kept = [
        *publications.items(),
        (publication.publication_id, publication),
    ]
    return dict(kept[-_PUBLICATIONS_KEPT:])


def describe_publication(publication: Publication) -> CommandOutcome:
    """Return the outcome that the operator gets."""
    if publication.is_accepted:
        return Accepted(publication.revision)
    return Rejected(
        f'based on revision {publication.base_revision}, but revision'
        f' {publication.revision} was in force; fetch the current one and'
        ' publish again under a new id',
    )
