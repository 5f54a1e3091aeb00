"""Encoding of commands, messages between replicas, and control states."""

from typing import Any, Final, get_args

import msgspec

from ibisjunction.control.commands import Command, NoOperation
from ibisjunction.control.protocol import (
    Message,
)
from ibisjunction.control.state import ControlState
from ibisjunction.peers.codec import Codec, CodecError

_command_codec: Final = Codec(get_args(Command))
_message_codec: Final = Codec(get_args(Message))


def encode_command(command: Command) -> bytes:
    """Return the bytes of a command."""
    return _command_codec.encode(command)


def decode_command(encoded: bytes) -> Any:
    """Decode a command; no bytes decode to :class:`NoOperation`.

    :raises CodecError: if the bytes are not an encoded command.
    """
    return _command_codec.decode(encoded) if encoded else NoOperation()


def encode_message(message: Message) -> bytes:
    """Return the bytes of a message between replicas."""
    return _message_codec.encode(message)


def decode_message(encoded: bytes) -> Any:
    """Decode a message between replicas.

    :raises CodecError: if the bytes are not an encoded message.
    """
    return _message_codec.decode(encoded)


def encode_state(state: ControlState) -> bytes:
    """Return the bytes of a whole control state."""
    return msgspec.msgpack.encode(state)


def decode_state(encoded: bytes) -> ControlState:
    """Decode a control state.

    :raises CodecError: if the bytes are not an encoded control state.
    """
    try:
        return msgspec.msgpack.decode(encoded, type=ControlState)
    except msgspec.DecodeError as error:
        raise CodecError(f'not a control state: {error}') from error
