"""Checks the platform's deploy file."""

import tomllib
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Final, Literal

import msgspec

from ibisjunction.validation import find_mistakes

_MAX_ROLES_PER_MACHINE: Final = 2
_FULL_SHARE: Final = 1.0

_NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
_Share = Annotated[float, msgspec.Meta(gt=0, le=_FULL_SHARE)]
_Count = Annotated[int, msgspec.Meta(ge=1)]


class _Role(msgspec.Struct, frozen=True):
    run: _NonEmptyText
    on: Literal['edge', 'core']
    share: _Share | None = None
    count: _Count | None = None
    apart: bool = False
    serves: tuple[Literal['edge', 'control'], ...] = ()
    metrics: Annotated[str, msgspec.Meta(pattern='^[0-9]+/.*$')] = ''


class _Deploy(msgspec.Struct, frozen=True):
    build: _NonEmptyText
    roles: dict[str, _Role]


def find_deploy_mistakes(path: Path) -> Iterator[str]:
    """Yield one line for each mistake of a deploy file."""
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        yield f'{path}: {error}'
        return
    mistakes = list(find_mistakes(raw, _Deploy))
    if not mistakes:
        mistakes = list(_find_conflicts(msgspec.convert(raw, _Deploy)))
    for mistake in mistakes:
        yield f'{path}: {mistake}'


def _find_conflicts(deploy: _Deploy) -> Iterator[str]:
    """Yield the mistakes that the types of single fields can't exclude."""
    for name, role in deploy.roles.items():
        if (role.share is None) == (role.count is None):
            yield f'roles.{name}: set either share or count'
    serving_counts = Counter(
        (role.on, group)
        for role in deploy.roles.values()
        for group in role.serves
    )
    for (kind, group), count in serving_counts.items():
        if count > 1:
            yield f'roles: {count} roles on {kind} serve {group}'
    for group in ('edge', 'control'):
        if not any(group in role.serves for role in deploy.roles.values()):
            yield f'roles: none serves {group}'
    full_share_counts = Counter(
        role.on for role in deploy.roles.values() if role.share == _FULL_SHARE
    )
    for kind, count in full_share_counts.items():
        if count > _MAX_ROLES_PER_MACHINE:
            yield f'roles: {count} roles on each {kind} machine, 2 may run'
