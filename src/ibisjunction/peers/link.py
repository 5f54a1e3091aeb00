"""Sends messages to other daemons and receives theirs.

:class:`PeerTask` owns the listening socket and one sending socket for each
peer in use. Messages may be lost; senders repeat what matters.
"""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, Final, Protocol

import msgspec
import pynng

from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.peers.authentication import Authenticator
from ibisjunction.peers.codec import Codec, CodecError
from ibisjunction.settings import Address

_logger = logging.getLogger(__name__)

#: Messages kept for a peer that does not take them; older ones are dropped
#: first, because a newer message of the same exchange replaces them.
_SEND_QUEUE_LENGTH: Final = 256
_RECONNECT_MS: Final = 50
_RECONNECT_MAX_MS: Final = 200


@dataclass(frozen=True, slots=True)
class Received:
    """A message and the VM that sent it."""

    sender: str
    message: Any


class PeerNetwork(Protocol):
    """What tasks use to talk to other daemons."""

    def send(self, vm: str, message: object) -> None:
        """Send a message to a VM, or to this one; it may be lost."""

    def subscribe(
        self,
        mailbox: Mailbox[Any],
        *message_types: type[Any],
    ) -> None:
        """Deliver messages of these types to a mailbox as ``Received``."""

    def set_address(self, vm: str, address: Address) -> None:
        """Set where a VM listens; an unchanged address keeps the link."""


_Mailboxes = list[Mailbox[Any]]


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """What crosses the wire around a message."""

    sender: str
    incarnation: int
    sequence: int
    key_id: str
    tag: bytes
    payload: bytes


class PeerTask:
    """The sockets of one daemon towards its peers."""

    def __init__(
        self,
        vm: str,
        incarnation: int,
        listen: Address,
        codec: Codec,
        authenticator: Authenticator,
    ) -> None:
        """Prepare the task; sockets are opened by :meth:`run`."""
        self._vm = vm
        self._incarnation = incarnation
        self._listen = listen
        self._codec = codec
        self._authenticator = authenticator
        self._sequence = 0
        self._last_heard: dict[str, tuple[int, int]] = {}
        self._addresses: dict[str, Address] = {}
        self._senders: dict[str, pynng.Push0] = {}
        self._subscribers: dict[type, _Mailboxes] = {}

    def subscribe(
        self,
        mailbox: Mailbox[Any],
        *message_types: type[Any],
    ) -> None:
        """Deliver messages of these types to a mailbox as ``Received``."""
        for message_type in message_types:
            self._subscribers.setdefault(message_type, []).append(mailbox)

    def set_address(self, vm: str, address: Address) -> None:
        """Set where a VM listens; an unchanged address keeps the link."""
        if self._addresses.get(vm) == address:
            return
        self._addresses[vm] = address
        self._close_sender(vm)

    def send(self, vm: str, message: object) -> None:
        """Send a message to a VM, or to this one; it may be lost."""
        if vm == self._vm:
            self._deliver(vm, message)
            return
        sender = self._find_sender(vm)
        if sender is None:
            return
        try:
            sender.send(self._seal(message), block=False)
        except pynng.TryAgain:
            _logger.debug('queue to %s is full, message dropped', vm)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Listen for peers for the duration of the block."""
        listener = pynng.Pull0(listen=f'tcp://{self._listen}')
        receiver = asyncio.create_task(self._receive(listener), name='peers')
        try:
            yield
        finally:
            # Closing the socket ends the task. Cancelling it may not: pynng
            # drops a cancellation that races with a received message.
            listener.close()
            await receiver
            self._close_senders()

    async def _receive(self, listener: pynng.Pull0) -> None:
        while True:
            try:
                frame = await listener.arecv()
            except pynng.Closed:
                return
            self._accept(frame)

    def _accept(self, frame: bytes) -> None:
        try:
            envelope = msgspec.msgpack.decode(frame, type=Envelope)
        except msgspec.DecodeError as error:
            self._reject('unknown', str(error))
            return
        signed = _signed_part(envelope)
        if not self._authenticator.verify(
            envelope.key_id,
            signed,
            envelope.tag,
        ):
            self._reject(envelope.sender, f'key {envelope.key_id}')
            return
        position = (envelope.incarnation, envelope.sequence)
        if position <= self._last_heard.get(envelope.sender, (0, 0)):
            self._reject(envelope.sender, f'repeated sequence {position}')
            return
        self._last_heard[envelope.sender] = position
        try:
            message = self._codec.decode(envelope.payload)
        except CodecError as error:
            self._reject(envelope.sender, str(error))
            return
        self._deliver(envelope.sender, message)

    def _reject(self, sender: str, detail: str) -> None:
        log_event(
            _logger,
            Event.MESSAGE_REJECTED,
            logging.WARNING,
            sender=sender,
            detail=detail,
        )

    def _deliver(self, sender: str, message: object) -> None:
        for mailbox in self._subscribers.get(type(message), ()):
            mailbox.post(Received(sender, message))

    def _seal(self, message: object) -> bytes:
        self._sequence += 1
        unsigned = Envelope(
            sender=self._vm,
            incarnation=self._incarnation,
            sequence=self._sequence,
            key_id=self._authenticator.key_id,
            tag=b'',
            payload=self._codec.encode(message),
        )
        tag = self._authenticator.sign(_signed_part(unsigned))
        return msgspec.msgpack.encode(
            msgspec.structs.replace(unsigned, tag=tag),
        )

    def _find_sender(self, vm: str) -> pynng.Push0 | None:
        sender = self._senders.get(vm)
        if sender is not None:
            return sender
        address = self._addresses.get(vm)
        if address is None:
            return None
        sender = pynng.Push0(send_buffer_size=_SEND_QUEUE_LENGTH)
        sender.reconnect_time_min = _RECONNECT_MS
        sender.reconnect_time_max = _RECONNECT_MAX_MS
        sender.dial(f'tcp://{address}', block=False)
        self._senders[vm] = sender
        return sender

    def _close_senders(self) -> None:
        for vm in tuple(self._senders):
            self._close_sender(vm)

    def _close_sender(self, vm: str) -> None:
        sender = self._senders.pop(vm, None)
        if sender is not None:
            sender.close()


def _signed_part(envelope: Envelope) -> bytes:
    return msgspec.msgpack.encode(
        msgspec.structs.replace(envelope, tag=b''),
    )
