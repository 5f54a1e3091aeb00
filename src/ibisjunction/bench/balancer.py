"""Simulates the load balancer of the platform.

It polls ``/ready`` of each VM, chooses the ready VMs in turn and pools the
connections to them.
"""

import asyncio
import contextlib
import itertools
from collections import defaultdict
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Final

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
)

from ibisjunction.bench.caller import CallerConnection, connect
from ibisjunction.bench.deployment import VmAddresses
from ibisjunction.clock import in_seconds
from ibisjunction.settings.loader import parse_address

_POLL_INTERVAL_MS: Final = 100
_POLL_TIMEOUT_MS: Final = 300
#: Idle connections kept for each VM; also the number of concurrent polls.
_MAX_IDLE_CONNECTIONS: Final = 64


class Balancer:
    """Chooses a VM for each attempt and pools connections to the VMs."""

    def __init__(self, vms: list[VmAddresses]) -> None:
        """Start without a ready VM."""
        self._vms = {vm.vm: vm for vm in vms}
        self._ready: set[str] = set()
        self._rotation = itertools.cycle([vm.vm for vm in vms])
        self._idle: dict[str, list[CallerConnection]] = defaultdict(list)

    async def run(self) -> None:
        """Poll every VM until cancelled."""
        client = AsyncHTTPClient(
            force_instance=True, max_clients=_MAX_IDLE_CONNECTIONS
        )
        await asyncio.gather(
            *(self._poll(client, vm) for vm in self._vms.values()),
        )

    def choose(self) -> str | None:
        """Return the next ready VM, or ``None`` if no VM is ready."""
        for vm in itertools.islice(self._rotation, len(self._vms)):
            if vm in self._ready:
                return vm
        return None

    async def wait_until_ready(self) -> None:
        """Wait until a poll has found a ready VM."""
        while not self._ready:
            await asyncio.sleep(in_seconds(_POLL_INTERVAL_MS))

    @contextlib.asynccontextmanager
    async def borrow(self, vm: str) -> AsyncIterator[CallerConnection]:
        """Provide a connection to a VM for one request.

        :raises OSError: if the VM does not accept a connection.
        """
        connection = await self._get_connection(vm)
        is_completed = False
        try:
            yield connection
            is_completed = True
        finally:
            idle = self._idle[vm]
            if (
                is_completed
                and connection.is_open
                and len(idle) < _MAX_IDLE_CONNECTIONS
            ):
                idle.append(connection)
            else:
                connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    async def _get_connection(self, vm: str) -> CallerConnection:
        idle = self._idle[vm]
        while idle:
            connection = idle.pop()
            if connection.is_open:
                return connection
        return await connect(parse_address(self._vms[vm].http))

    async def _poll(self, client: AsyncHTTPClient, vm: VmAddresses) -> None:
        request = HTTPRequest(
            f'http://{vm.admin}/ready',
            request_timeout=in_seconds(_POLL_TIMEOUT_MS),
            connect_timeout=in_seconds(_POLL_TIMEOUT_MS),
        )
        while True:
            if await _is_ready(client, request):
                self._ready.add(vm.vm)
            else:
                self._ready.discard(vm.vm)
            await asyncio.sleep(in_seconds(_POLL_INTERVAL_MS))


async def _is_ready(client: AsyncHTTPClient, request: HTTPRequest) -> bool:
    try:
        response = await client.fetch(request, raise_error=False)
    except (OSError, HTTPClientError):
        return False
    return response.code == HTTPStatus.OK
