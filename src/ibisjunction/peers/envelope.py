"""Signed envelopes of the messages between daemons."""

import msgspec

from ibisjunction.peers.authentication import Authenticator


class EnvelopeError(Exception):
    """A frame is not an envelope that this VM accepts."""

    def __init__(self, sender: str, detail: str) -> None:
        """Store the sender that the frame claims, and the cause."""
        super().__init__(detail)
        self.sender = sender


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A message with its number on the link and an acknowledgement.

    ``oldest`` is the number of the oldest message that the sender still
    buffers. The envelope acknowledges the messages that the recipient sent in
    its incarnation ``received_incarnation``, up to the number ``received``. An
    envelope with an empty ``payload`` carries only the acknowledgement. The
    payload may be one part of a message, with its position and the number of
    parts. The tag covers all other fields, so that a message to one VM can't be
    replayed to another.
    """

    sender: str
    incarnation: int
    recipient: str
    sequence: int
    oldest: int
    received_incarnation: int
    received: int
    payload: bytes
    key_id: str = ''
    tag: bytes = b''
    part: int = 0
    part_count: int = 1


def seal(envelope: Envelope, authenticator: Authenticator) -> bytes:
    """Return the frame of an envelope, signed with the first key."""
    unsigned = msgspec.structs.replace(envelope, key_id=authenticator.key_id)
    tag = authenticator.sign(msgspec.msgpack.encode(unsigned))
    return msgspec.msgpack.encode(msgspec.structs.replace(unsigned, tag=tag))


def unseal(
    frame: bytes,
    recipient: str,
    authenticator: Authenticator,
) -> Envelope:
    """Return the envelope of a frame addressed to ``recipient``.

    :raises EnvelopeError: if the frame is not valid, is addressed to another
        VM, or its tag does not match.
    """
    try:
        envelope = msgspec.msgpack.decode(frame, type=Envelope)
    except msgspec.DecodeError as error:
        raise EnvelopeError('unknown', str(error)) from error
    if envelope.recipient != recipient:
        raise EnvelopeError(
            envelope.sender,
            f'addressed to {envelope.recipient}',
        )
    signed = msgspec.msgpack.encode(msgspec.structs.replace(envelope, tag=b''))
    if not authenticator.verify(envelope.key_id, signed, envelope.tag):
        raise EnvelopeError(
            envelope.sender,
            f'tag does not match key {envelope.key_id}',
        )
    return envelope
