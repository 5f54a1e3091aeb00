"""Decodes the platform's JSON bodies and names its headers."""

from typing import Annotated, Any, Final, TypeVar

import msgspec

from ibisjunction.clock import MS_PER_S
from ibisjunction.entry.model import HeaderNames

HEADERS: Final = HeaderNames(
    request_id='Attempt-Id',
    deadline='Deadline-Ms',
    shard_key='Shard-Key',
    expected_upstream='Expected-Instance',
    not_run='Not-Executed',
    receipt='Response-Signature',
    limit='Server-Limit',
    leaving='Server-Leaving',
)

#: Numbers that JSON writers represent exactly; larger ones can't be stored.
_MAX_INTEGER: Final = 9_007_199_254_740_991
_MAX_SECONDS: Final = 1e9
#: More requests a second than any upstream takes.
_MAX_RATE: Final = 1e9
_MAX_NAME_LENGTH: Final = 256
Natural = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]
Integer = Annotated[int, msgspec.Meta(ge=-_MAX_INTEGER, le=_MAX_INTEGER)]
Seconds = Annotated[float, msgspec.Meta(gt=-_MAX_SECONDS, lt=_MAX_SECONDS)]
Rate = Annotated[float, msgspec.Meta(ge=0, lt=_MAX_RATE)]
Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)]

_Body = TypeVar('_Body', bound='Body')


class InvalidBodyError(Exception):
    """A body is not valid; the message gives the reason and any wrong field."""


class Body(msgspec.Struct, rename='pascal', frozen=True):
    """Base of the JSON objects in a body; unknown fields are ignored."""


def decode_body(body: bytes, model: type[_Body]) -> _Body:
    """Decode a JSON body.

    :raises InvalidBodyError: if it is not valid JSON, is nested too deeply,
        or a field is missing or wrong.
    """
    try:
        return msgspec.json.decode(body, type=model)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise InvalidBodyError(str(error)) from error


def convert_fields(fields: dict[str, Any], model: type[_Body]) -> _Body:
    """Convert a JSON object that is already decoded.

    :raises InvalidBodyError: if a field is missing or wrong.
    """
    try:
        return msgspec.convert(fields, type=model)
    except msgspec.ValidationError as error:
        raise InvalidBodyError(str(error)) from error


def seconds_to_ms(seconds: float) -> int:
    """Convert seconds to whole milliseconds."""
    return round(seconds * MS_PER_S)
