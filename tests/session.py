"""Runs the tasks of several daemons in one event loop, without sockets.

Messages, calls to upstreams and requests are recorded in the order in which
they cross an interface. Time advances only with the manual clock.
"""

import asyncio
import contextlib
import itertools

import msgspec

from ibisjunction.bench.grants import GrantTable
from ibisjunction.clock import ManualClock, in_seconds
from ibisjunction.control.codec import decode_command
from ibisjunction.control.effects import (
    Tick as ControlTick,
)
from ibisjunction.control.messages import (
    CommittedEntries,
    ProposeCommand,
    StateSnapshot,
)
from ibisjunction.control.protocol import (
    Snapshot,
)
from ibisjunction.control.roles import StoredState
from ibisjunction.control.task import OpenedLog
from ibisjunction.control.voters import list_initial_voters
from ibisjunction.daemon.tasks import (
    PEER_MESSAGES,
    build_tasks,
    make_context,
)
from ibisjunction.dispatch.messages import UpstreamSpeed
from ibisjunction.dispatch.task import Tick as DispatchTick
from ibisjunction.ledger.messages import PullRecords, RecordsPulled
from ibisjunction.ledger.task import Tick as LedgerTick
from ibisjunction.mailbox import Mailbox, run_task
from ibisjunction.membership.messages import Heartbeat, LeaseRenewal
from ibisjunction.membership.registration import build_registration
from ibisjunction.membership.task import HeartbeatDue
from ibisjunction.ownership.task import RenewalDue
from ibisjunction.peers.codec import Codec
from ibisjunction.peers.link import Received
from ibisjunction.routing.body import CopiedBody
from ibisjunction.routing.model import CallerRequest
from ibisjunction.routing.request import serve_request
from ibisjunction.services import RequestHead
from ibisjunction.upstreams.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    BodyChunk,
    BodyEnd,
)
from ibisjunction.upstreams.protocol import (
    GrantCall,
    UpstreamUnreachableError,
)
from ibisjunction.verdict import Verdict
from tests.samples import make_settings

#: Event loop iterations, enough for the tasks to handle all queued messages.
_SETTLE_ITERATIONS = 60
#: That of the processes of all upstreams.
_INCARNATION = 1
#: Types of messages that are sent periodically, mostly without a change.
#: Recording them would obscure the other messages.
_NOT_RECORDED = (
    Heartbeat,
    LeaseRenewal,
    PullRecords,
    RecordsPulled,
    UpstreamSpeed,
)


class Recorder:
    """Records the messages, calls and requests of a session as text lines."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def add_message(self, sender, receiver, message) -> None:
        type_name = type(message).__name__
        self.lines.append(
            f'{sender} -> {receiver} {type_name} {_format_fields(message)}',
        )

    def add_comment(self, text) -> None:
        self.lines.append(f'# {text}')


def _format_fields(message) -> str:
    """Return the fields of a message as text, with commands decoded."""
    match message:
        case ProposeCommand(proposal_id=proposal_id, command=command):
            return f'{proposal_id} {decode_command(command)}'
        case CommittedEntries(first_index=first_index, commands=commands):
            decoded = [str(decode_command(command)) for command in commands]
            return f'{first_index} {decoded}'
        case StateSnapshot(index=index):
            return f'{index}'
    return msgspec.json.encode(message).decode()


class SessionNetwork:
    """A peer network without delay.

    Messages are encoded and decoded, as between processes.
    """

    def __init__(self, vm, session) -> None:
        self._vm = vm
        self._session = session
        self.subscribers: dict[type, list[Mailbox]] = {}

    def subscribe(self, mailbox, *message_types) -> None:
        for message_type in message_types:
            self.subscribers.setdefault(message_type, []).append(mailbox)

    def set_address(self, vm, address) -> None:
        """Do nothing; every VM is reachable by name."""

    def send(self, vm, message) -> None:
        self._session.deliver(self._vm, vm, message)


class SessionStore:
    """A log store without files, since no session restarts a replica."""

    def write(self, writes) -> None:
        """Do nothing; on return, the writes count as durable."""

    def replace(self, change) -> None:
        """Do nothing; on return, the change counts as durable."""


async def _run_inline(function, *arguments):
    return function(*arguments)


def _open_log(settings) -> OpenedLog | None:
    if not settings.is_voter:
        return None
    snapshot = Snapshot(0, 0, list_initial_voters(settings), b'')
    stored = StoredState(0, '', snapshot, ())
    return OpenedLog(settings.vm, stored, SessionStore(), _run_inline)


class SessionUpstreams:
    """Stand-ins that accept grants and answer requests immediately.

    A call to an address in ``unreachable`` fails. A request to an address in
    ``slow`` is answered once the address is removed.
    """

    def __init__(self, recorder, clock) -> None:
        self._recorder = recorder
        self._clock = clock
        self._grants: dict[str, GrantTable] = {}
        self._last_contents: dict[str, GrantCall] = {}
        self._delivered_calls: dict[str, GrantCall] = {}
        self.unreachable: set[str] = set()
        self.slow: set[str] = set()

    def allows(self, address, service, shard, fence) -> bool:
        """Return whether the grants of a stand-in permit a request."""
        grants = self._grants.get(address, GrantTable(_INCARNATION))
        return grants.allows(service, shard, fence, self._clock.now())

    async def call(self, address, call, _timeout_ms):
        if address in self.unreachable:
            raise UpstreamUnreachableError(f'{address}: no answer')
        self._delivered_calls[address] = call
        grants = self._grants.setdefault(address, GrantTable(_INCARNATION))
        answer = grants.accept(call, self._clock.now())
        if answer is None:
            raise UpstreamUnreachableError(f'{address}: another process')
        if self._has_new_content(address, call):
            self._recorder.add_message(call.vm, address, call)
            self._recorder.add_message(address, call.vm, answer)
        return answer

    async def cancel(self, address, request_id, _timeout_ms) -> None:
        self._recorder.lines.append(f'cancel {request_id} -> {address}')

    async def replay(self, address) -> None:
        """Deliver the last call again, as may happen if a connection breaks."""
        await self.call(address, self._delivered_calls[address], 0)

    def _has_new_content(self, address, call) -> bool:
        """Store a call; return whether it does more than renew the last one."""
        # A renewal has another value of ``echo``, so only its presence counts.
        content = msgspec.structs.replace(
            call,
            echo=min(call.echo or 0, 1),
            sequence=0,
        )
        last = self._last_contents.get(address)
        self._last_contents[address] = content
        return content != last

    @contextlib.asynccontextmanager
    async def borrow(self, address, request_id, *, can_repeat=True):
        connection = _SessionConnection(self._recorder, str(address), self)
        async with run_task(connection.run(), 'connection'):
            yield connection


class _SessionConnection:
    """Records and answers one request."""

    def __init__(self, recorder, address, upstreams) -> None:
        self._recorder = recorder
        self._address = address
        self._upstreams = upstreams
        self.is_open = True
        self.mailbox: Mailbox = Mailbox()

    async def run(self) -> None:
        exchange = await self.mailbox.get()
        lines = [f'{exchange.method} {exchange.target}']
        lines += [f'{name}: {value}' for name, value in exchange.headers]
        self._recorder.lines.append(f'request -> {self._address}')
        self._recorder.lines += [f'    {line}' for line in lines]
        body = b''
        part = await exchange.body.get()
        while isinstance(part, BodyChunk):
            body += part.chunk
            part = await exchange.body.get()
        self._recorder.lines.append(f'    body: {body.decode()}')
        while self._address in self._upstreams.slow:
            await asyncio.sleep(0)
        answer = f'answer to {exchange.target}'.encode()
        headers = (('Content-Length', str(len(answer))),)
        await exchange.answer_parts.put(AnswerHead(200, headers))
        await exchange.answer_parts.put(AnswerChunk(answer))
        await exchange.answer_parts.put(AnswerEnd())


class SessionCaller:
    """A caller that records the answer it receives."""

    def __init__(self, recorder) -> None:
        self._recorder = recorder

    async def send_head(self, head, request_id) -> None:
        self._recorder.lines.append(
            f'answer {request_id} -> caller {head.status} {head.headers}'
            f' verdict {Verdict.RAN.value}',
        )

    async def send_chunk(self, chunk) -> None:
        self._recorder.lines.append(f'    body: {chunk.decode()}')

    def finish(self) -> None:
        self._recorder.lines.append('    end')

    def abort(self) -> None:
        self._recorder.lines.append('    aborted')


class Session:
    """The tasks of several daemons, connected by simulated networks."""

    def __init__(self, vms, voters) -> None:
        self.recorder = Recorder()
        self.clock = ManualClock(1000)
        self.upstreams = SessionUpstreams(self.recorder, self.clock)
        self._codec = Codec(PEER_MESSAGES)
        self._request_numbers = itertools.count(1)
        self.paused: set[str] = set()
        self._undelivered: list[tuple[str, str, object]] = []
        self.networks = {vm: SessionNetwork(vm, self) for vm in vms}
        self.settings = {vm: make_settings(vm, voters) for vm in vms}
        self.tasks = {
            vm: build_tasks(
                self.settings[vm],
                1,
                self.clock,
                self.networks[vm],
                self.upstreams.call,
                self.upstreams.cancel,
                _open_log(self.settings[vm]),
            )
            for vm in vms
        }

    def deliver(self, sender, receiver, message) -> None:
        if not isinstance(message, _NOT_RECORDED):
            self.recorder.add_message(sender, receiver, message)
        if receiver in self.paused:
            self._undelivered.append((sender, receiver, message))
            return
        self._post(sender, receiver, message)

    def _post(self, sender, receiver, message) -> None:
        network = self.networks[receiver]
        decoded = self._codec.decode(self._codec.encode(message))
        for mailbox in network.subscribers.get(type(message), ()):
            mailbox.post(Received(sender, decoded))

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the tasks of all VMs while the context is open."""
        # Sleeps and timeouts of requests follow the manual clock as well.
        loop = asyncio.get_running_loop()
        loop.time = lambda: in_seconds(self.clock.now())
        async with contextlib.AsyncExitStack() as stack:
            for tasks in self.tasks.values():
                for task in tasks.list_all():
                    await stack.enter_async_context(
                        run_task(task.run(), type(task).__name__),
                    )
            await self._tick_voters()
            yield self

    async def _tick_voters(self) -> None:
        """Post a first tick, on which a single voter becomes the leader."""
        for tasks in self.tasks.values():
            if tasks.control is not None:
                tasks.control.mailbox.post(ControlTick())
        await self.settle()

    def resume(self, vm) -> None:
        """Resume a paused VM and deliver the messages sent to it meanwhile."""
        self.paused.discard(vm)
        undelivered, self._undelivered = self._undelivered, []
        for sender, receiver, message in undelivered:
            if receiver == vm:
                self._post(sender, receiver, message)
            else:
                self._undelivered.append((sender, receiver, message))

    async def step(self, delta_ms=100) -> None:
        """Advance the clock and post ticks to the tasks of VMs not paused."""
        self.clock.advance(delta_ms)
        for vm, tasks in self.tasks.items():
            if vm in self.paused:
                continue
            tasks.membership.mailbox.post(HeartbeatDue())
            await self.settle()
            tasks.ownership.mailbox.post(RenewalDue())
            tasks.dispatch.mailbox.post(DispatchTick())
            tasks.ledger.mailbox.post(LedgerTick())
            if tasks.control is not None:
                tasks.control.mailbox.post(ControlTick())
        await self.settle()

    async def settle(self) -> None:
        """Run the event loop until the tasks have handled all messages."""
        for _ in range(_SETTLE_ITERATIONS):
            await asyncio.sleep(0)

    async def register(self) -> None:
        """Register every VM."""
        for vm, tasks in self.tasks.items():
            command = build_registration(self.settings[vm], 1)
            await tasks.client.propose(command)

    async def request(self, vm, method, target, headers=(), body=b''):
        """Send one request through a VM and return its outcome."""
        request_id = f'request-{next(self._request_numbers)}'
        self.recorder.add_comment(
            f'{request_id}: {method} {target} through {vm}'
        )
        mailbox: Mailbox = Mailbox()
        if body:
            mailbox.post(BodyChunk(body))
        mailbox.post(BodyEnd())
        request = CallerRequest(
            request_id=request_id,
            head=RequestHead(method, target, dict(headers)),
            headers=tuple(headers),
            has_body=bool(body),
            body=CopiedBody(mailbox),
            caller=SessionCaller(self.recorder),
        )
        context = make_context(self.tasks[vm], self.clock, self.upstreams, 1)
        outcome = await serve_request(context, request)
        await self.settle()
        self.recorder.add_comment(f'{request_id}: {outcome}')
        return outcome


def join_lines(session) -> str:
    """Return the recorded lines of a session as text for a golden file."""
    return '\n'.join((*session.recorder.lines, ''))
