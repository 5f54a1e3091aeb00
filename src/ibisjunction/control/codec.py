"""Encoding of commands in the control log and of snapshots."""

from typing import Any, Final, get_args

import msgspec

from ibisjunction.control.commands import Command
from ibisjunction.control.state import ControlState
from ibisjunction.peers.codec import Codec, CodecError

_commands: Final = Codec(get_args(Command))


def encode_command(command: Command) -> bytes:
    """Return the bytes of a command."""
    return _commands.encode(command)


def decode_command(encoded: bytes) -> Any:
    """Return the command that the bytes hold.

    :raises CodecError: if they hold none.
    """
    return _commands.decode(encoded)


def encode_state(state: ControlState) -> bytes:
    """Return the bytes of a whole control state."""
    return msgspec.msgpack.encode(state)


def decode_state(encoded: bytes) -> ControlState:
    """Return the control state that the bytes hold.

    :raises CodecError: if they hold none.
    """
    try:
        return msgspec.msgpack.decode(encoded, type=ControlState)
    except msgspec.DecodeError as error:
        raise CodecError(f'not a control state: {error}') from error
