"""The HTTP front end on loopback, with tickets that are granted at once."""

import asyncio
import contextlib
import random

from ibisjunction.clock import SystemClock
from ibisjunction.dispatch.messages import TicketGranted
from ibisjunction.ledger.messages import OpenRecord
from ibisjunction.mailbox import Mailbox, run_task
from ibisjunction.routing.messages import (
    FindRoute,
    ObtainTicket,
    ReturnTicket,
    TicketHeld,
)
from ibisjunction.routing.model import RequestContext
from ibisjunction.routing.server import CallerServer
from ibisjunction.services.catalogue import ServiceCatalogue
from ibisjunction.settings import Address
from ibisjunction.upstreams.pool import ConnectionPool
from tests.samples import make_spec

_FAR_FUTURE_MS = 10**12


class FrontEnd:
    """A caller server whose routing and ledger only record their messages.

    ``upstream_address`` is the address in all tickets. ``returned`` lists the
    messages by which tickets were returned or abandoned.
    """

    def __init__(self, upstream_address) -> None:
        self.upstream_address = upstream_address
        self.returned: list = []
        self.ledger_messages: list = []
        self.cancellations: Mailbox = Mailbox()
        self._routing: Mailbox = Mailbox()
        self._ledger: Mailbox = Mailbox()
        self._catalogue = ServiceCatalogue([make_spec()])
        self._pool = ConnectionPool(SystemClock())
        self._context = RequestContext(
            SystemClock(),
            self._routing,
            self._pool,
            random.Random(1),
            self._ledger,
            self.cancellations,
        )
        self.server = CallerServer(self._context, Address('127.0.0.1', 0))
        self.port = 0

    @contextlib.asynccontextmanager
    async def run(self):
        async with (
            run_task(self._route(), 'routing'),
            run_task(self._record(), 'ledger'),
        ):
            self.port = self.server.start()
            yield self
            # A request that is retried by mistake is sent in this time.
            await self.server.drain(2000)
            await self._pool.close()

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def wait_for_return(self) -> ReturnTicket:
        """Wait until a ticket is returned."""
        while not self.returned:
            await asyncio.sleep(0.005)
        return self.returned[-1]

    async def _route(self) -> None:
        while True:
            match await self._routing.get():
                case FindRoute(head=head, reply=reply):
                    reply.post(self._catalogue.match(head))
                case ObtainTicket(ticket_id=ticket_id, reply=reply):
                    granted = TicketGranted(ticket_id, 'up-1', 1, 1)
                    reply.post(
                        TicketHeld(
                            granted,
                            self.upstream_address,
                            _FAR_FUTURE_MS,
                            False,
                        ),
                    )
                case message:
                    self.returned.append(message)

    async def _record(self) -> None:
        while True:
            message = await self._ledger.get()
            self.ledger_messages.append(message)
            if isinstance(message, OpenRecord):
                message.reply.post(None)
