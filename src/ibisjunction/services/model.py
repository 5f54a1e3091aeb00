"""Parses and validates the service files of operators."""

from collections.abc import Iterator
from typing import Annotated, Final, Literal

import msgspec

from ibisjunction.services.keys import KeyPlace, KeySource
from ibisjunction.services.spec import (
    Operation,
    Rank,
    RankPolicy,
    ServiceSpec,
    TermsLevel,
)
from ibisjunction.validation import find_mistakes

_Name = Annotated[str, msgspec.Meta(pattern='^[a-z][a-z0-9-]*$')]
_PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
_MAX_SHARDS: Final = 65536
_Shards = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SHARDS)]


class ServiceFileError(Exception):
    """A service file is not valid.

    ``mistakes`` lists all that were found, each with the key it concerns.
    """

    def __init__(self, name: str, mistakes: list[str]) -> None:
        """Store the mistakes; the message has one line for each."""
        super().__init__('\n'.join(f'{name}: {text}' for text in mistakes))
        self.mistakes = mistakes


class _StrictModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all models: an unknown field is an error."""


class _KeyModel(_StrictModel, frozen=True):
    source: Literal['path', 'header', 'query']
    position: Annotated[int, msgspec.Meta(ge=0)] = 0
    name: str = ''


class _OperationModel(_StrictModel, frozen=True):
    name: _Name
    methods: Annotated[list[str], msgspec.Meta(min_length=1)]
    idempotent: bool
    rank: Rank
    timeout_ms: _PositiveInt
    header: str | None = None
    header_value: str | None = None


class _RankModel(_StrictModel, frozen=True):
    target_ms: _PositiveInt
    worth: _PositiveFloat
    min_share: _Share = 0


class _TermsModel(_StrictModel, frozen=True):
    weight: _PositiveFloat
    max_in_flight: _PositiveInt
    reserved_slots: Annotated[float, msgspec.Meta(ge=0)] = 0


class _ServiceModel(_StrictModel, frozen=True):
    service: _Name
    path_prefix: Annotated[str, msgspec.Meta(pattern='^/.*/$')]
    key: _KeyModel
    operations: Annotated[list[_OperationModel], msgspec.Meta(min_length=1)]
    ranks: dict[Rank, _RankModel]
    terms: Annotated[list[_TermsModel], msgspec.Meta(min_length=1)]
    shards: _Shards = 64
    clients: dict[str, int] = {}


def parse_service_file(text: str, name: str) -> ServiceSpec:
    """Parse the text of a service file.

    :param text: TOML.
    :param name: file name, used in messages.
    :raises ServiceFileError: if the text is not a valid service file.
    """
    try:
        raw = msgspec.toml.decode(text)
    except msgspec.DecodeError as error:
        raise ServiceFileError(name, [str(error)]) from error
    mistakes = list(find_mistakes(raw, _ServiceModel))
    if mistakes:
        raise ServiceFileError(name, mistakes)
    model = msgspec.convert(raw, _ServiceModel)
    mistakes = list(_find_inconsistencies(model))
    if mistakes:
        raise ServiceFileError(name, mistakes)
    return _to_spec(model)


def _find_inconsistencies(model: _ServiceModel) -> Iterator[str]:
    for rank in Rank:
        if rank not in model.ranks:
            yield f'ranks.{rank.value}: missing'
    total_share = sum(rank.min_share for rank in model.ranks.values())
    if total_share > 1:
        yield f'ranks: min_share adds up to {total_share}, at most 1'
    if model.key.source != 'path' and not model.key.name:
        yield f'key.name: required for source {model.key.source}'
    for client, level in model.clients.items():
        if not 0 <= level < len(model.terms):
            yield f'clients.{client}: there is no level {level} in terms'


def _to_spec(model: _ServiceModel) -> ServiceSpec:
    return ServiceSpec(
        service=model.service,
        path_prefix=model.path_prefix,
        shards=model.shards,
        key=KeySource(
            KeyPlace(model.key.source),
            model.key.position,
            model.key.name,
        ),
        operations=tuple(map(_to_operation, model.operations)),
        ranks={
            rank: RankPolicy(policy.target_ms, policy.worth, policy.min_share)
            for rank, policy in model.ranks.items()
        },
        terms=tuple(
            TermsLevel(
                level.weight,
                level.max_in_flight,
                level.reserved_slots,
            )
            for level in model.terms
        ),
        client_levels=dict(model.clients),
    )


def _to_operation(model: _OperationModel) -> Operation:
    return Operation(
        name=model.name,
        methods=frozenset(model.methods),
        idempotent=model.idempotent,
        rank=model.rank,
        timeout_ms=model.timeout_ms,
        header=model.header,
        header_value=model.header_value,
    )
