"""Golden sessions of hand-over and take-over."""

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

_FILES = {
    'mail-log.toml': read_profile('consorcio')['mail-log.toml'].replace(
        'shards = 64',
        'shards = 2',
    ),
}
#: Enough for every lease to run out and every retry to be made.
_FINISH_STEPS = 100
_ADDRESSES = ('127.0.0.1:9001', '127.0.0.1:9002')


def _make_record(number, checks_fence=True):
    record = make_upstream(f'up-{number}', address=_ADDRESSES[number - 1])
    return replace(record, checks_fence=checks_fence)


class _Watch:
    """Checks after each step that no shard is accepted by two upstreams."""

    def __init__(self, session) -> None:
        self._session = session
        self.overlaps: list[tuple] = []

    @property
    def state(self):
        tasks = self._session.tasks['vm-1']
        return tasks.membership.state

    async def step(self, count=1, delta_ms=100) -> None:
        for _ in range(count):
            await self._session.step(delta_ms)
            for shard in range(2):
                self._check(shard)

    def _check(self, shard) -> None:
        last_fence = self.state.last_fence
        owners = [
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
        if len(owners) > 1:
            self.overlaps.append((shard, owners))

    async def finish(self, *tasks) -> list:
        """Let time pass until the requests have ended; return outcomes."""
        for _ in range(_FINISH_STEPS):
            if all(task.done() for task in tasks):
                break
            await self.step(1, 20)
        return [task.result() for task in tasks]

    def owners(self) -> set[str]:
        grants = self.state.grants['mail-log'].values()
        return {grant.upstream for grant in grants}


@contextlib.asynccontextmanager
async def _run_session(checks_fence=True):
    """Two upstreams and three VMs, of which the first leads."""
    session = Session(['vm-1', 'vm-2', 'vm-3'], voters=['vm-1'])
    async with session.run():
        await session.register()
        await session.step()
        client = session.tasks['vm-1'].client
        for number in (1, 2):
            record = _make_record(number, checks_fence)
            await client.propose(AnnounceUpstream(record))
        await client.propose(PublishRevision(0, 'p-1', _FILES))
        watch = _Watch(session)
        await watch.step(10)
        session.recorder.lines.clear()
        yield session, watch


def _key_of(watch, upstream) -> str:
    """Return a key whose shard the upstream owns."""
    for number in range(100):
        key = f'key-{number}'
        shard = shard_of(key, 2)
        if watch.state.grant_of('mail-log', shard).upstream == upstream:
            return key
    raise AssertionError(f'{upstream} owns no shard')


async def _move(checks_fence) -> tuple[Session, _Watch, list]:
    async with _run_session(checks_fence) as (session, watch):
        target = f'/mail-log/{_key_of(watch, "up-1")}'
        session.upstreams.slow.add(_ADDRESSES[0])
        first = asyncio.create_task(session.request('vm-3', 'GET', target))
        await session.settle()
        await session.tasks['vm-1'].client.propose(DrainUpstream('up-1'))
        await watch.step(2)
        session.recorder.note('the first request is still running at up-1')
        assert 'up-1' in watch.owners()
        second = asyncio.create_task(session.request('vm-2', 'GET', target))
        await session.settle()
        session.upstreams.slow.clear()
        await watch.step(4, 50)
        return session, watch, await watch.finish(first, second)


async def _lose_upstream(checks_fence) -> tuple[Session, _Watch, list]:
    async with _run_session(checks_fence) as (session, watch):
        target = f'/mail-log/{_key_of(watch, "up-1")}'
        session.upstreams.unreachable.add(_ADDRESSES[0])
        session.recorder.note('up-1 answers no call')
        # Tickets end with the grant lease; this request comes after that.
        await watch.step(5)
        waiting = asyncio.create_task(session.request('vm-3', 'GET', target))
        await watch.step(9)
        return session, watch, await watch.finish(waiting)


async def _lose_dispatcher(checks_fence) -> tuple[Session, _Watch, list]:
    async with _run_session(checks_fence) as (session, watch):
        lost, upstream = _find_dispatched(watch, 'vm-1')
        other = next(vm for vm in ('vm-2', 'vm-3') if vm != lost)
        address = watch.state.upstreams[upstream].address
        target = f'/mail-log/{_key_of(watch, upstream)}'
        session.upstreams.slow.add(address)
        first = asyncio.create_task(session.request(other, 'GET', target))
        await session.settle()
        session.paused.add(lost)
        session.recorder.note(f'{lost} is paused')
        await watch.step(9)
        second = asyncio.create_task(session.request(other, 'GET', target))
        await session.settle()
        session.upstreams.slow.clear()
        await watch.step(1)
        session.recorder.note(f'{lost} resumes')
        session.resume(lost)
        await watch.step(6)
        third = asyncio.create_task(session.request(lost, 'GET', target))
        return session, watch, await watch.finish(first, second, third)


def _find_dispatched(watch, leader) -> tuple[str, str]:
    """Return a VM other than the leader and an upstream it dispatches for."""
    return next(
        (record.vm, upstream)
        for upstream, record in sorted(watch.state.dispatchers.items())
        if record.vm != leader
    )


async def _return_frozen(checks_fence) -> tuple[Session, _Watch, list]:
    async with _run_session(checks_fence) as (session, watch):
        target = f'/mail-log/{_key_of(watch, "up-1")}'
        session.upstreams.unreachable.add(_ADDRESSES[0])
        session.recorder.note('up-1 is frozen')
        await watch.step(14)
        assert watch.owners() == {'up-2'}
        session.recorder.note('up-1 returns and reads a delayed call')
        session.upstreams.unreachable.clear()
        await session.upstreams.replay(_ADDRESSES[0])
        await watch.step(1)
        record = _make_record(1, checks_fence)
        await session.tasks['vm-2'].client.propose(AnnounceUpstream(record))
        await watch.step(6)
        last = asyncio.create_task(session.request('vm-3', 'GET', target))
        return session, watch, await watch.finish(last)


_SESSIONS = {
    'planned-move': _move,
    'upstream-loss': _lose_upstream,
    'dispatcher-loss': _lose_dispatcher,
    'returning-upstream': _return_frozen,
}


class TakeoverSessionTest(unittest.TestCase):
    """Guards against two owners of a shard and against lost requests."""

    @parameterized.expand(
        [
            (f'{name}{suffix}', name, checks_fence)
            for name in _SESSIONS
            for suffix, checks_fence in (('', True), ('-unfenced', False))
        ]
    )
    def test_session(self, golden, name, checks_fence):
        session, watch, outcomes = asyncio.run(_SESSIONS[name](checks_fence))
        self.assertEqual(watch.overlaps, [])
        for outcome in outcomes:
            self.assertIsInstance(outcome, Answered)
        verify_golden(golden, join_lines(session))
