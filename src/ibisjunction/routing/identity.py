"""Record keys, digests and fingerprints that identify requests."""

from typing import Final

import xxhash

from ibisjunction.outcomes import Reason, Refused
from ibisjunction.routing.model import CallerRequest
from ibisjunction.services.catalogue import RequestHead, RouteMatch

CLIENT_HEADER: Final = 'Ibis-Client'
KEY_HEADER: Final = 'Idempotency-Key'
#: Longest accepted Idempotency-Key, in characters.
_MAX_KEY_LENGTH: Final = 255
#: Bytes of the body that are part of a fingerprint.
_FINGERPRINT_BYTES: Final = 1024


def read_record_key(
    head: RequestHead,
    route: RouteMatch,
) -> str | Refused | None:
    """Return the key of a request in the ledger, or ``None`` without one.

    Keys of different services and clients do not collide. A non-idempotent
    request without a key is refused.
    """
    idempotency_key = head.headers.get(KEY_HEADER, '')
    if len(idempotency_key) > _MAX_KEY_LENGTH:
        return Refused(
            Reason.BAD_HEADER,
            f'{KEY_HEADER}: at most {_MAX_KEY_LENGTH} characters',
        )
    if idempotency_key:
        client = head.headers.get(CLIENT_HEADER, '')
        return f'{route.spec.service}/{client}/{idempotency_key}'
    if route.operation.idempotent:
        return None
    return Refused(Reason.IDEMPOTENCY_KEY_REQUIRED)


def make_digest(head: RequestHead) -> str:
    """Return a hash that must be equal in requests with the same record key."""
    return xxhash.xxh3_128_hexdigest(f'{head.method} {head.target}'.encode())


async def make_fingerprint(
    request: CallerRequest,
    route: RouteMatch,
    record_key: str | None,
) -> str:
    """Return an identifier that a request shares with its resends.

    It is the record key or, without one, a hash of service, method, target and
    the start of the body. The start of the body is awaited in both cases, so
    that a request whose body does not arrive is refused before it is sent.
    """
    start = b''
    if request.has_body:
        start = await request.body.peek(_FINGERPRINT_BYTES)
    if record_key is not None:
        return record_key
    head = request.head
    text = f'{route.spec.service} {head.method} {head.target} '
    return xxhash.xxh3_128_hexdigest(text.encode() + start)
