"""Encoding of commands in the control log and of snapshots."""

from typing import Any, Final, get_args

import msgspec

from ibisjunction.control.commands import Command, NoOperation
from ibisjunction.control.protocol import (
    Message,
)
from ibisjunction.control.state import ControlState
from ibisjunction.peers.codec import Codec, CodecError

_commands: Final = Codec(get_args(Command))
_messages: Final = Codec(get_args(Message))


def encode_command(command: Command) -> bytes:
    """Return the bytes of a command."""
    return _commands.encode(command)


def decode_command(encoded: bytes) -> Any:
    """Return the command that the bytes hold; no bytes are no operation.

    :raises CodecError: if they hold none.
    """
    return _commands.decode(encoded) if encoded else NoOperation()


def encode_message(message: Message) -> bytes:
    """Return the bytes of a message between replicas."""
    return _messages.encode(message)


def decode_message(encoded: bytes) -> Any:
    """Return the message between replicas that the bytes hold.

    :raises CodecError: if they hold none.
    """
    return _messages.decode(encoded)


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
