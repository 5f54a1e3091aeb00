"""Encoding of the fleet's commands and state for the log and for VMs."""

from typing import Any, Final, get_args

import msgspec

from ibisjunction.compression import CompressionError, compress, decompress
from ibisjunction.fleet.commands import FleetCommand
from ibisjunction.fleet.model import FleetState
from ibisjunction.peers.codec import Codec, CodecError

_commands: Final = Codec(get_args(FleetCommand))


def encode_fleet_command(command: FleetCommand) -> bytes:
    """Encode a command."""
    return compress(_commands.encode(command))


def decode_fleet_command(encoded: bytes) -> Any:
    """Decode a command; no bytes yield ``None``.

    :raises CodecError: if the bytes are not a valid command.
    """
    return _commands.decode(_decompress(encoded)) if encoded else None


def encode_fleet(state: FleetState) -> bytes:
    """Encode a whole state."""
    return compress(msgspec.msgpack.encode(state))


def decode_fleet(encoded: bytes) -> FleetState:
    """Decode a state; no bytes yield an empty state.

    :raises CodecError: if the bytes are not a valid state.
    """
    if not encoded:
        return FleetState()
    try:
        return msgspec.msgpack.decode(_decompress(encoded), type=FleetState)
    except msgspec.DecodeError as error:
        raise CodecError(f'not a fleet state: {error}') from error


def _decompress(encoded: bytes) -> bytes:
    try:
        return decompress(encoded)
    except CompressionError as error:
        raise CodecError(f'not a fleet command or state: {error}') from error
