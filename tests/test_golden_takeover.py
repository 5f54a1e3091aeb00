"""Golden sessions of shard handover and of takeover after a failure."""

import asyncio
import contextlib
import unittest
from dataclasses import replace

from parameterized import parameterized

from ibisjunction.bench.demo import read_profile
from ibisjunction.control.commands import (
    AnnounceUpstream,
    DrainUpstream,
    PublishRevision,
)
from ibisjunction.outcomes import Answered
from ibisjunction.services.keys import shard_of
from tests.golden import verify_golden
from tests.samples import make_upstream
from tests.session import Session, join_lines

#: The published service; two shards instead of 64 keep the golden files short.
_FILES = {
    'mail-log.toml': read_profile('consorcio')['mail-log.toml'].replace(
        'shards = 64',
        'shards = 2',
    ),
}
#: Steps of 20 ms, enough for all leases to expire and all retries to be made.
_FINISH_STEPS = 100
_ADDRESSES = ('127.0.0.1:9001', '127.0.0.1:9002')


def _make_upstream_record(number, checks_fence=True):
    record = make_upstream(f'up-{number}', address=_ADDRESSES[number - 1])
    return replace(record, checks_fence=checks_fence)


class _OverlapChecker:
    """Advances a session and records shards with two owners.

    A shard has two owners if the grants of both upstreams permit its requests.
    """

    def __init__(self, session) -> None:
        self._session = session
        self.overlaps: list[tuple] = []

    @property
    def state(self):
        """The control state on vm-1, which leads and is never paused."""
        tasks = self._session.tasks['vm-1']
        return tasks.membership.state

    async def step(self, count=1, delta_ms=100) -> None:
        for _ in range(count):
            await self._session.step(delta_ms)
            for shard in range(2):
                self._check_shard(shard)

    def _check_shard(self, shard) -> None:
        last_fence = self.state.last_fence
        accepted_grants = [
            (address, fence)
            for address in _ADDRESSES
            for fence in range(1, last_fence + 1)
            if self._session.upstreams.allows(
                address,
                'mail-log',
                shard,
                fence,
            )
        ]
        if len(accepted_grants) > 1:
            self.overlaps.append((shard, accepted_grants))

    async def finish(self, *tasks) -> list:
        """Advance until the requests have ended; return their outcomes."""
        for _ in range(_FINISH_STEPS):
            if all(task.done() for task in tasks):
                break
            await self.step(1, 20)
        return [task.result() for task in tasks]

    def find_owners(self) -> set[str]:
        grants = self.state.grants['mail-log'].values()
        return {grant.upstream for grant in grants}


@contextlib.asynccontextmanager
async def _run_session(checks_fence=True):
    """Run three VMs, of which vm-1 leads, and announce two upstreams.

    The lines recorded during this setup are dropped.
    """
    session = Session(['vm-1', 'vm-2', 'vm-3'], voters=['vm-1'])
    async with session.run():
        await session.register()
        await session.step()
        client = session.tasks['vm-1'].client
        for number in (1, 2):
            record = _make_upstream_record(number, checks_fence)
            await client.propose(AnnounceUpstream(record))
        await client.propose(PublishRevision(0, 'p-1', _FILES))
        checker = _OverlapChecker(session)
        await checker.step(10)
        session.recorder.lines.clear()
        yield session, checker


def _find_key(checker, upstream) -> str:
    """Return a key whose shard the upstream owns."""
    for number in range(100):
        key = f'key-{number}'
        shard = shard_of(key, 2)
        if checker.state.grant_of('mail-log', shard).upstream == upstream:
            return key
    raise AssertionError(f'{upstream} owns no shard')


async def _drain_upstream(
    checks_fence,
) -> tuple[Session, _OverlapChecker, list]:
    async with _run_session(checks_fence) as (session, checker):
        target = f'/mail-log/{_find_key(checker, "up-1")}'
        session.upstreams.slow.add(_ADDRESSES[0])
        first = asyncio.create_task(session.request('vm-3', 'GET', target))
        await session.settle()
        await session.tasks['vm-1'].client.propose(DrainUpstream('up-1'))
        await checker.step(2)
        session.recorder.add_comment(
            'the first request is still running at up-1'
        )
        assert 'up-1' in checker.find_owners()
        second = asyncio.create_task(session.request('vm-2', 'GET', target))
        await session.settle()
        session.upstreams.slow.clear()
        await checker.step(4, 50)
        return session, checker, await checker.finish(first, second)


async def _lose_upstream(checks_fence) -> tuple[Session, _OverlapChecker, list]:
    async with _run_session(checks_fence) as (session, checker):
        target = f'/mail-log/{_find_key(checker, "up-1")}'
        session.upstreams.unreachable.add(_ADDRESSES[0])
        session.recorder.add_comment('up-1 answers no call')
        # The request is sent after the grant lease (500 ms) and with it all
        # tickets have expired.
        await checker.step(5)
        request_task = asyncio.create_task(
            session.request('vm-3', 'GET', target)
        )
        await checker.step(9)
        return session, checker, await checker.finish(request_task)


async def _lose_dispatcher(
    checks_fence,
) -> tuple[Session, _OverlapChecker, list]:
    async with _run_session(checks_fence) as (session, checker):
        paused_vm, upstream = _find_dispatcher(checker, 'vm-1')
        other_vm = next(vm for vm in ('vm-2', 'vm-3') if vm != paused_vm)
        address = checker.state.upstreams[upstream].address
        target = f'/mail-log/{_find_key(checker, upstream)}'
        session.upstreams.slow.add(address)
        first = asyncio.create_task(session.request(other_vm, 'GET', target))
        await session.settle()
        session.paused.add(paused_vm)
        session.recorder.add_comment(f'{paused_vm} is paused')
        # Its lease (600 ms) expires, and another VM becomes the dispatcher.
        await checker.step(9)
        second = asyncio.create_task(session.request(other_vm, 'GET', target))
        await session.settle()
        session.upstreams.slow.clear()
        await checker.step(1)
        session.recorder.add_comment(f'{paused_vm} resumes')
        session.resume(paused_vm)
        await checker.step(6)
        third = asyncio.create_task(session.request(paused_vm, 'GET', target))
        return session, checker, await checker.finish(first, second, third)


def _find_dispatcher(checker, leader) -> tuple[str, str]:
    """Return a VM other than the leader and an upstream it dispatches for."""
    return next(
        (record.vm, upstream)
        for upstream, record in sorted(checker.state.dispatchers.items())
        if record.vm != leader
    )


async def _resume_frozen_upstream(
    checks_fence,
) -> tuple[Session, _OverlapChecker, list]:
    async with _run_session(checks_fence) as (session, checker):
        target = f'/mail-log/{_find_key(checker, "up-1")}'
        session.upstreams.unreachable.add(_ADDRESSES[0])
        session.recorder.add_comment('up-1 is frozen')
        await checker.step(14)
        assert checker.find_owners() == {'up-2'}
        session.recorder.add_comment('up-1 returns and reads a delayed call')
        session.upstreams.unreachable.clear()
        await session.upstreams.replay(_ADDRESSES[0])
        await checker.step(1)
        record = _make_upstream_record(1, checks_fence)
        await session.tasks['vm-2'].client.propose(AnnounceUpstream(record))
        await checker.step(6)
        request_task = asyncio.create_task(
            session.request('vm-3', 'GET', target)
        )
        return session, checker, await checker.finish(request_task)


#: The function that runs each session, by the base name of its golden files.
_SESSIONS = {
    'planned-move': _drain_upstream,
    'upstream-loss': _lose_upstream,
    'dispatcher-loss': _lose_dispatcher,
    'returning-upstream': _resume_frozen_upstream,
}


class TakeoverSessionTest(unittest.TestCase):
    """Guards against two owners of a shard and against lost requests."""

    @parameterized.expand(
        [
            (f'{session_name}{suffix}', session_name, checks_fence)
            for session_name in _SESSIONS
            for suffix, checks_fence in (('', True), ('-unfenced', False))
        ]
    )
    def test_session(self, golden_name, session_name, checks_fence):
        session, checker, outcomes = asyncio.run(
            _SESSIONS[session_name](checks_fence),
        )
        self.assertEqual(checker.overlaps, [])
        for outcome in outcomes:
            self.assertIsInstance(outcome, Answered)
        verify_golden(golden_name, join_lines(session))
