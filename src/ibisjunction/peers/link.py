"""Sends messages to other daemons and receives theirs.

:class:`PeerTask` owns the listening socket and one sending socket for each
peer in use. A message reaches a peer at most once and in order. It is lost if
the peer restarts, or if the peer stays unreachable so long, or while so much
more is sent, that :class:`OutboundLink` drops it.
"""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any, Final, Protocol

import pynng

from ibisjunction.byte_budget import ByteBudget
from ibisjunction.clock import Clock, in_seconds
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox, run_task
from ibisjunction.peers.authentication import Authenticator
from ibisjunction.peers.codec import Codec, CodecError
from ibisjunction.peers.delivery import (
    MAX_IN_FLIGHT_BYTES,
    InboundLink,
    NumberedMessage,
    OutboundLink,
)
from ibisjunction.peers.envelope import (
    Envelope,
    EnvelopeError,
    seal,
    unseal,
)
from ibisjunction.peers.traffic import PeerTraffic, TrafficCounter
from ibisjunction.settings import Address

_logger = logging.getLogger(__name__)

#: Messages queued in the socket. One that does not fit is resent later, because
#: :class:`OutboundLink` buffers each until it is acknowledged.
_SEND_QUEUE_LENGTH: Final = 256
_TIMER_INTERVAL_MS: Final = 50
#: A message without a payload, whose number is not used.
_ACKNOWLEDGEMENT: Final = NumberedMessage(0, b'')
_MIN_RECONNECT_MS: Final = 50
_MAX_RECONNECT_MS: Final = 200
#: Interval at which the traffic is logged and reported.
_TRAFFIC_INTERVAL_MS: Final = 5000


@dataclass(frozen=True, slots=True)
class Received:
    """A message and the VM that sent it."""

    sender: str
    message: Any


class PeerNetwork(Protocol):
    """Interface through which tasks exchange messages with other daemons."""

    def send(self, vm: str, message: object) -> None:
        """Send a message to a VM, this one included; it may be lost."""

    def subscribe(
        self,
        mailbox: Mailbox[Any],
        *message_types: type[Any],
    ) -> None:
        """Deliver messages of these types to a mailbox as ``Received``."""

    def set_address(self, vm: str, address: Address) -> None:
        """Set the address of a VM; a new address closes the connection."""


_Mailboxes = list[Mailbox[Any]]


@dataclass(slots=True)
class _Peer:
    """Both directions of the link to one VM, and the sending socket.

    ``incarnation`` is that of this VM on the link.
    """

    outbound: OutboundLink
    inbound: InboundLink
    incarnation: int
    address: Address | None = None
    socket: pynng.Push0 | None = None


class PeerTask:
    """Owns the sockets between one daemon and its peers."""

    def __init__(
        self,
        vm: str,
        incarnation: int,
        clock: Clock,
        listen_address: Address,
        codec: Codec,
        authenticator: Authenticator,
        resolve: Callable[[str], Address | None] | None = None,
    ) -> None:
        """Prepare the task; sockets are opened by :meth:`run`.

        :param resolve: returns the address of a VM for which none was set.
        """
        self._resolve = resolve
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._listen_address = listen_address
        self._codec = codec
        self._authenticator = authenticator
        self._peers: dict[str, _Peer] = {}
        # Links with something to resend or to acknowledge. Most links of a
        # large deployment are idle most of the time.
        self._active: set[str] = set()
        self._subscribers: dict[type, _Mailboxes] = {}
        self._budget = ByteBudget(MAX_IN_FLIGHT_BYTES)
        self._traffic = TrafficCounter()
        self._next_traffic_ms = 0

    def subscribe(
        self,
        mailbox: Mailbox[Any],
        *message_types: type[Any],
    ) -> None:
        """Deliver messages of these types to a mailbox as ``Received``."""
        for message_type in message_types:
            self._subscribers.setdefault(message_type, []).append(mailbox)

    def set_address(self, vm: str, address: Address) -> None:
        """Set the address of a VM; a new address closes the connection."""
        peer = self._get_or_add_peer(vm)
        if peer.address != address:
            peer.address = address
            _close_socket(peer)

    def send(self, vm: str, message: object) -> None:
        """Send a message to a VM, this one included; it may be lost."""
        if vm == self._vm:
            self._deliver(vm, message)
            return
        peer = self._get_or_add_peer(vm)
        payload = self._codec.encode(message)
        kind = type(message).__name__
        self._traffic.record_sent(kind, len(payload))
        now = self._clock.now()
        peer.outbound.append(payload, now, kind)
        self._active.add(vm)
        self._transmit_sendable(vm, peer, now)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Receive and resend messages for the duration of the block."""
        listener = pynng.Pull0(listen=f'tcp://{self._listen_address}')
        receiver = asyncio.create_task(self._receive(listener), name='peers')
        try:
            async with run_task(self._run_timer(), 'peers timer'):
                yield
        finally:
            # Closing the socket ends the task. Cancelling it may not: pynng
            # drops a cancellation that races with a received message.
            listener.close()
            await receiver
            for peer in self._peers.values():
                _close_socket(peer)

    async def _receive(self, listener: pynng.Pull0) -> None:
        while True:
            try:
                frame = await listener.arecv()
            except pynng.Closed:
                return
            self._handle_frame(frame)

    async def _run_timer(self) -> None:
        while True:
            await asyncio.sleep(in_seconds(_TIMER_INTERVAL_MS))
            now = self._clock.now()
            for vm in list(self._active):
                self._check_link(vm, self._peers[vm], now)
            if now >= self._next_traffic_ms:
                self._next_traffic_ms = now + _TRAFFIC_INTERVAL_MS
                self._report_traffic()

    def _check_link(self, vm: str, peer: _Peer, now: int) -> None:
        """Resend and acknowledge what is due on a link."""
        if not peer.outbound.is_empty:
            self._resend(vm, peer, now)
            # Messages may wait for other links to leave the budget.
            self._transmit_sendable(vm, peer, now)
        if peer.inbound.is_ack_due(now):
            self._transmit(vm, peer, _ACKNOWLEDGEMENT)
        if peer.outbound.is_empty and not peer.inbound.is_ack_pending:
            self._active.discard(vm)

    def _report_traffic(self) -> None:
        """Log the traffic, and deliver it to the mailboxes subscribed to it."""
        links = [peer.outbound for peer in self._peers.values()]
        traffic = self._traffic.read(
            len(links),
            sum(link.buffered_messages for link in links),
            sum(link.buffered_size for link in links),
        )
        log_event(
            _logger,
            Event.PEER_TRAFFIC,
            links=traffic.links,
            buffered_messages=traffic.buffered_messages,
            buffered_bytes=traffic.buffered_size,
            envelopes_out=str(traffic.envelopes_out),
            envelopes_in=str(traffic.envelopes_in),
            kinds=traffic.describe_sent(),
            received=traffic.describe_received(),
        )
        for mailbox in self._subscribers.get(PeerTraffic, ()):
            mailbox.post(traffic)

    def _transmit_sendable(self, vm: str, peer: _Peer, now: int) -> None:
        for numbered in peer.outbound.take_sendable(now):
            self._transmit(vm, peer, numbered)

    def _resend(self, vm: str, peer: _Peer, now: int) -> None:
        discarded = peer.outbound.discard_undeliverable(now)
        if discarded:
            log_event(
                _logger,
                Event.PEER_UNREACHABLE,
                logging.WARNING,
                vm=vm,
                messages=discarded,
            )
        resends = peer.outbound.take_resends(now)
        if not resends:
            return
        log_event(
            _logger,
            Event.PEER_REDIALLED,
            vm=vm,
            address=peer.address,
            messages=len(resends),
        )
        _close_socket(peer)
        for numbered in resends:
            self._traffic.record_resent(numbered.kind, len(numbered.payload))
            self._transmit(vm, peer, numbered)

    def _handle_frame(self, frame: bytes) -> None:
        self._traffic.record_envelope_in(len(frame))
        try:
            envelope = unseal(frame, self._vm, self._authenticator)
        except EnvelopeError as error:
            _log_rejection(error.sender, str(error))
            return
        payload = self._update_link(envelope)
        if payload is not None:
            self._decode_and_deliver(envelope.sender, payload)

    def _update_link(self, envelope: Envelope) -> bytes | None:
        """Record an envelope; return the message that it completes, if any.

        A process whose wall clock is behind that of its predecessor starts with
        a lower incarnation. It learns from the acknowledgement which one it has
        to exceed; none of its messages was accepted before.
        """
        now = self._clock.now()
        peer = self._get_or_add_peer(envelope.sender)
        if envelope.incarnation < peer.inbound.incarnation:
            self._transmit(envelope.sender, peer, _ACKNOWLEDGEMENT)
            return None
        if envelope.incarnation > peer.inbound.incarnation:
            peer.inbound = InboundLink(envelope.incarnation)
        if envelope.received_incarnation > peer.incarnation:
            peer.incarnation = envelope.received_incarnation + 1
        elif envelope.received_incarnation == peer.incarnation:
            peer.outbound.acknowledge(envelope.received, now)
            self._transmit_sendable(envelope.sender, peer, now)
        if not envelope.payload:
            return None
        payload = envelope.payload
        self._active.add(envelope.sender)
        is_next = peer.inbound.accept(
            envelope.sequence, envelope.oldest, now, len(payload)
        )
        if peer.inbound.is_ack_due(now):
            self._transmit(envelope.sender, peer, _ACKNOWLEDGEMENT)
        if not is_next:
            return None
        return peer.inbound.add_part(
            payload, envelope.part, envelope.part_count
        )

    def _decode_and_deliver(self, sender: str, payload: bytes) -> None:
        try:
            message = self._codec.decode(payload)
        except CodecError as error:
            _log_rejection(sender, str(error))
            return
        self._traffic.record_received(type(message).__name__, len(payload))
        self._deliver(sender, message)

    def _deliver(self, sender: str, message: object) -> None:
        for mailbox in self._subscribers.get(type(message), ()):
            mailbox.post(Received(sender, message))

    def _transmit(
        self, vm: str, peer: _Peer, numbered: NumberedMessage
    ) -> None:
        socket = _get_or_open_socket(peer)
        if socket is None:
            return
        frame = self._seal(vm, peer, numbered)
        try:
            socket.send(frame, block=False)
        except pynng.TryAgain:
            _logger.debug('send queue to %s is full', vm)
            return
        self._traffic.record_envelope_out(len(frame))

    def _seal(self, vm: str, peer: _Peer, numbered: NumberedMessage) -> bytes:
        envelope = Envelope(
            sender=self._vm,
            incarnation=peer.incarnation,
            recipient=vm,
            sequence=numbered.sequence,
            oldest=peer.outbound.oldest,
            received_incarnation=peer.inbound.incarnation,
            received=peer.inbound.take_acknowledgement(),
            payload=bytes(numbered.payload),
            part=numbered.part,
            part_count=numbered.part_count,
        )
        return seal(envelope, self._authenticator)

    def _get_or_add_peer(self, vm: str) -> _Peer:
        peer = self._peers.get(vm)
        if peer is None:
            address = None if self._resolve is None else self._resolve(vm)
            peer = _Peer(
                OutboundLink(self._budget),
                InboundLink(0),
                self._incarnation,
                address,
            )
            self._peers[vm] = peer
        return peer


def _get_or_open_socket(peer: _Peer) -> pynng.Push0 | None:
    if peer.socket is None and peer.address is not None:
        socket = pynng.Push0(send_buffer_size=_SEND_QUEUE_LENGTH)
        socket.reconnect_time_min = _MIN_RECONNECT_MS
        socket.reconnect_time_max = _MAX_RECONNECT_MS
        socket.dial(f'tcp://{peer.address}', block=False)
        peer.socket = socket
    return peer.socket


def _close_socket(peer: _Peer) -> None:
    if peer.socket is not None:
        peer.socket.close()
        peer.socket = None


def _log_rejection(sender: str, detail: str) -> None:
    log_event(
        _logger,
        Event.MESSAGE_REJECTED,
        logging.WARNING,
        sender=sender,
        detail=detail,
    )
