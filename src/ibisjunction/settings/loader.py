"""Reads and checks the settings file of a daemon."""

import ipaddress
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import msgspec

from ibisjunction.settings.spec import (
    Address,
    AuthKey,
    Settings,
    TimingSettings,
    VoterAddress,
)
from ibisjunction.validation import find_mistakes

_PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
_NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
_ClockError = Annotated[float, msgspec.Meta(ge=0, lt=0.5)]
_MAX_PORT = 65535
_MIN_SECRET_LENGTH = 16


class SettingsError(Exception):
    """A settings file is not valid.

    ``mistakes`` has a line for each, starting with the key it concerns.
    """

    def __init__(self, path: Path, mistakes: list[str]) -> None:
        """Store the mistakes; the message has one line for each."""
        super().__init__('\n'.join(f'{path}: {text}' for text in mistakes))
        self.mistakes = mistakes


class _StrictModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all models: an unknown field is an error."""


class _VoterModel(_StrictModel, frozen=True):
    vm: _NonEmptyText
    peer: _NonEmptyText


class _KeyModel(_StrictModel, frozen=True):
    key_id: _NonEmptyText
    secret: _NonEmptyText


class _TimingModel(_StrictModel, frozen=True):
    heartbeat_ms: _PositiveInt = 100
    vm_lease_ms: _PositiveInt = 600
    grant_lease_ms: _PositiveInt = 500
    grant_renewal_ms: _PositiveInt = 150
    election_min_ms: _PositiveInt = 150
    election_max_ms: _PositiveInt = 300
    drain_ms: _PositiveInt = 30_000
    clock_error: _ClockError = 0.01


class _SettingsModel(_StrictModel, frozen=True):
    vm: _NonEmptyText
    region: _NonEmptyText
    failure_domain: _NonEmptyText
    http: _NonEmptyText
    admin: _NonEmptyText
    peer: _NonEmptyText
    voters: Annotated[list[_VoterModel], msgspec.Meta(min_length=1)]
    keys: Annotated[list[_KeyModel], msgspec.Meta(min_length=1, max_length=2)]
    operator_token: _NonEmptyText
    upstream_token: _NonEmptyText
    data_folder: str | None = None
    timing: _TimingModel = _TimingModel()


def load_settings(path: Path) -> Settings:
    """Read a TOML settings file.

    :raises SettingsError: if the file cannot be read or is not valid.
    """
    try:
        raw = msgspec.toml.decode(path.read_text())
    except (OSError, UnicodeError, msgspec.DecodeError) as error:
        raise SettingsError(path, [str(error)]) from error
    mistakes = list(find_mistakes(raw, _SettingsModel))
    if mistakes:
        raise SettingsError(path, mistakes)
    model = msgspec.convert(raw, _SettingsModel)
    value_mistakes = list(_find_value_mistakes(model))
    if value_mistakes:
        raise SettingsError(path, value_mistakes)
    return _to_settings(model)


def _find_value_mistakes(model: _SettingsModel) -> Iterator[str]:
    """Yield the mistakes that the types of single fields can't exclude."""
    addresses = {
        'http': model.http,
        'admin': model.admin,
        'peer': model.peer,
    }
    for index, voter in enumerate(model.voters):
        addresses[f'voters[{index}].peer'] = voter.peer
    for name, text in addresses.items():
        if not is_address(text):
            yield f'{name}: expected "IP number:port", found "{text}"'
    yield from _find_key_mistakes(model)
    yield from _find_timing_mistakes(model.timing)
    is_voter = any(voter.vm == model.vm for voter in model.voters)
    if is_voter and model.data_folder is None:
        yield f'data_folder: required because voters names {model.vm}'


def _find_key_mistakes(model: _SettingsModel) -> Iterator[str]:
    for index, key in enumerate(model.keys):
        if len(key.secret) < _MIN_SECRET_LENGTH:
            yield (
                f'keys[{index}].secret: expected at least'
                f' {_MIN_SECRET_LENGTH} characters'
            )


def _find_timing_mistakes(timing: _TimingModel) -> Iterator[str]:
    ordered_fields = (
        ('heartbeat_ms', 'vm_lease_ms'),
        ('grant_renewal_ms', 'grant_lease_ms'),
        ('election_min_ms', 'election_max_ms'),
    )
    for shorter, longer in ordered_fields:
        if getattr(timing, shorter) >= getattr(timing, longer):
            yield f'timing.{shorter}: must be less than timing.{longer}'


def is_address(text: str) -> bool:
    """Return whether the text is ``host:port`` with an IP number."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    is_number = port.isdecimal() and len(port) <= len(str(_MAX_PORT))
    return is_number and int(port) <= _MAX_PORT


def parse_address(text: str) -> Address:
    """Split ``host:port``.

    The text must be valid; :func:`is_address` checks it.
    """
    host, _, port = text.rpartition(':')
    return Address(host.strip('[]'), int(port))


def _to_settings(model: _SettingsModel) -> Settings:
    data_folder = model.data_folder
    return Settings(
        vm=model.vm,
        region=model.region,
        failure_domain=model.failure_domain,
        http=parse_address(model.http),
        admin=parse_address(model.admin),
        peer=parse_address(model.peer),
        voters=tuple(
            VoterAddress(voter.vm, parse_address(voter.peer))
            for voter in model.voters
        ),
        keys=tuple(
            AuthKey(key.key_id, key.secret.encode()) for key in model.keys
        ),
        operator_token=model.operator_token,
        upstream_token=model.upstream_token,
        timing=TimingSettings(**msgspec.structs.asdict(model.timing)),
        data_folder=None if data_folder is None else Path(data_folder),
    )
