"""Encoding of the fleet's commands and state for the log and for VMs."""

from typing import Any, Final, get_args

import msgspec

from ibisjunction.fleet.commands import FleetCommand
from ibisjunction.fleet.model import FleetState
from ibisjunction.peers.codec import Codec, CodecError

_commands: Final = Codec(get_args(FleetCommand))


def encode_fleet_command(command: FleetCommand) -> bytes:
    """Return the bytes of a command."""
    return _commands.encode(command)


def decode_fleet_command(encoded: bytes) -> Any:
    """Return the command that the bytes hold; ``None`` for no bytes.

    :raises CodecError: if they hold none.
    """
    return _commands.decode(encoded) if encoded else None


def encode_fleet(state: FleetState) -> bytes:
    """Return the bytes of a whole state."""
    return msgspec.msgpack.encode(state)


def decode_fleet(encoded: bytes) -> FleetState:
    """Return the state that the bytes hold; no bytes are an empty one.

    :raises CodecError: if they hold none.
    """
    if not encoded:
        return FleetState()
    try:
        return msgspec.msgpack.decode(encoded, type=FleetState)
    except msgspec.DecodeError as error:
        raise CodecError(f'not a fleet state: {error}') from error
