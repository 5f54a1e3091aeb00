"""Calls of a stand-in to the administration API of the system."""

import asyncio
import logging
from http import HTTPStatus
from typing import Final

import msgspec
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
)

from ibisjunction.bench.profile import UpstreamProfile
from ibisjunction.bench.stand_in import StandIn
from ibisjunction.clock import in_seconds
from ibisjunction.upstreams.protocol import Announcement

_logger = logging.getLogger(__name__)

_ANNOUNCE_INTERVAL_MS: Final = 1000
_CALL_TIMEOUT_S: Final = 2.0
_MAX_CONNECTIONS: Final = 100


async def announce(stand_in: StandIn, address: str) -> None:
    """Announce the upstream periodically until cancelled.

    It is not announced while it is frozen or draining.
    """
    profile = stand_in.profile
    announcement = Announcement(
        upstream=profile.upstream,
        service=profile.service,
        address=address,
        failure_domain=profile.failure_domain,
        slots=profile.slots,
        connections=_MAX_CONNECTIONS,
        checks_fence=profile.checks_fence,
        incarnation=stand_in.incarnation,
    )
    while True:
        await stand_in.faults.thawed.wait()
        if not stand_in.faults.is_draining:
            await _call_until_accepted(
                profile,
                '/v1/upstreams',
                msgspec.json.encode(announcement),
            )
        await asyncio.sleep(in_seconds(_ANNOUNCE_INTERVAL_MS))


async def drain(profile: UpstreamProfile) -> bool:
    """Request the drain of the upstream; return whether a VM accepted."""
    path = f'/v1/upstreams/{profile.upstream}/drain'
    return await _call_until_accepted(profile, path, b'')


async def _call_until_accepted(
    profile: UpstreamProfile, path: str, body: bytes
) -> bool:
    """Send the call to one VM after another until one accepts."""
    for address in profile.announce_to:
        if await _call(f'http://{address}{path}', profile.token, body):
            return True
    _logger.warning('no VM accepted %s', path)
    return False


async def _call(url: str, token: str, body: bytes) -> bool:
    request = HTTPRequest(
        url,
        method='POST',
        headers={'Authorization': f'Bearer {token}'},
        body=body,
        request_timeout=_CALL_TIMEOUT_S,
    )
    try:
        response = await AsyncHTTPClient().fetch(request, raise_error=False)
    except (OSError, HTTPClientError):
        return False
    return response.code == HTTPStatus.NO_CONTENT
