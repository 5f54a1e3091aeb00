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

_Positive = Annotated[int, msgspec.Meta(gt=0)]
_Text = Annotated[str, msgspec.Meta(min_length=1)]
_Rate = Annotated[float, msgspec.Meta(ge=0, lt=0.5)]
_MAX_PORT = 65535
_MIN_SECRET_LENGTH = 16


class SettingsError(Exception):
    """A settings file is not valid.

    ``problems`` lists every mistake found, each with the key it concerns.
    """

    def __init__(self, path: Path, problems: list[str]) -> None:
        """Keep the problems; the message has one line for each."""
        super().__init__('\n'.join(f'{path}: {text}' for text in problems))
        self.problems = problems


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all models: an unknown field is an error."""


class _VoterModel(_Strict, frozen=True):
    vm: _Text
    peer: _Text


class _KeyModel(_Strict, frozen=True):
    key_id: _Text
    secret: _Text


class _TimingModel(_Strict, frozen=True):
    heartbeat_ms: _Positive = 100
    vm_lease_ms: _Positive = 600
    grant_lease_ms: _Positive = 500
    grant_renewal_ms: _Positive = 150
    election_min_ms: _Positive = 150
    election_max_ms: _Positive = 300
    drain_ms: _Positive = 30_000
    clock_error: _Rate = 0.01


class _SettingsModel(_Strict, frozen=True):
    vm: _Text
    region: _Text
    failure_domain: _Text
    http: _Text
    admin: _Text
    peer: _Text
    voters: Annotated[list[_VoterModel], msgspec.Meta(min_length=1)]
    keys: Annotated[list[_KeyModel], msgspec.Meta(min_length=1, max_length=2)]
    operator_token: _Text
    upstream_token: _Text
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
    problems = list(_find_problems(model))
    if problems:
        raise SettingsError(path, problems)
    return _to_settings(model)


def _find_problems(model: _SettingsModel) -> Iterator[str]:
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
    yield from _find_key_problems(model)
    yield from _find_timing_problems(model.timing)
    is_voter = any(voter.vm == model.vm for voter in model.voters)
    if is_voter and model.data_folder is None:
        yield f'data_folder: required because voters names {model.vm}'


def _find_key_problems(model: _SettingsModel) -> Iterator[str]:
    for index, key in enumerate(model.keys):
        if len(key.secret) < _MIN_SECRET_LENGTH:
            yield (
                f'keys[{index}].secret: expected at least'
                f' {_MIN_SECRET_LENGTH} characters'
            )


def _find_timing_problems(timing: _TimingModel) -> Iterator[str]:
    pairs = (
        ('heartbeat_ms', 'vm_lease_ms'),
        ('grant_renewal_ms', 'grant_lease_ms'),
        ('election_min_ms', 'election_max_ms'),
    )
    for shorter, longer in pairs:
        if getattr(timing, shorter) >= getattr(timing, longer):
            yield f'timing.{shorter}: must be less than timing.{longer}'


def is_address(text: str) -> bool:
    """Return whether the text is ``host:port`` with an IP number."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and int(port) <= _MAX_PORT


def parse_address(text: str) -> Address:
    """Split ``host:port``; the text must have been checked before."""
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
