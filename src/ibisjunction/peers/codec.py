"""Encoding of messages between daemons.

A message is a frozen data class. On the wire it is a two-element MessagePack
array: the name of its class and its fields. Only classes that were registered
are accepted, and every field is validated against its type.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Any, Final

import msgspec

#: Encoded messages from this size on are kept for a while.
_LARGE_BYTES: Final = 1024
_MAX_LARGE: Final = 8


class CodecError(Exception):
    """The bytes are not a valid message of a registered type."""


class _EncodedMessage(msgspec.Struct, array_like=True, frozen=True):
    kind: str
    body: msgspec.Raw


class Codec:
    """Encodes and decodes messages of registered types."""

    def __init__(self, message_types: Iterable[type[Any]]) -> None:
        """Register the types by class name.

        :raises ValueError: if two types share a name.
        """
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._large: OrderedDict[int, tuple[object, bytes]] = OrderedDict()
        self._message_decoder = msgspec.msgpack.Decoder(_EncodedMessage)
        for message_type in message_types:
            self._register(message_type)

    def encode(self, message: object) -> bytes:
        """Return the bytes of a message.

        A large message that is encoded again soon yields the same object, so
        that the links to many VMs buffer one copy of it.

        :raises CodecError: if its type was not registered.
        """
        cached, encoded = self._large.get(id(message), (None, b''))
        if cached is message:
            return encoded
        encoded = self._encode(message)
        if len(encoded) >= _LARGE_BYTES:
            self._large[id(message)] = (message, encoded)
            if len(self._large) > _MAX_LARGE:
                self._large.popitem(last=False)
        return encoded

    def decode(self, data: bytes) -> Any:
        """Return the message that the bytes encode.

        :raises CodecError: if the bytes are not a message, its type is not
            registered or a field is not valid.
        """
        try:
            encoded = self._message_decoder.decode(data)
        except msgspec.DecodeError as error:
            raise CodecError(f'not a message: {error}') from error
        decoder = self._decoders.get(encoded.kind)
        if decoder is None:
            raise CodecError(f'message type {encoded.kind} is not registered')
        try:
            return decoder.decode(encoded.body)
        except msgspec.DecodeError as error:
            raise CodecError(f'{encoded.kind}: {error}') from error

    def _encode(self, message: object) -> bytes:
        kind = type(message).__name__
        if kind not in self._decoders:
            raise CodecError(f'message type {kind} is not registered')
        body = msgspec.Raw(self._encoder.encode(message))
        return self._encoder.encode(_EncodedMessage(kind, body))

    def _register(self, message_type: type[Any]) -> None:
        kind = message_type.__name__
        if kind in self._decoders:
            raise ValueError(f'two message types are named {kind}')
        self._decoders[kind] = msgspec.msgpack.Decoder(message_type)
