"""Golden sessions from the announcement of upstreams to the answers."""

import asyncio
import unittest

from parameterized import parameterized

from ibisjunction.bench.demo import read_profile
from ibisjunction.control.commands import AnnounceUpstream, PublishRevision
from ibisjunction.outcomes import Answered
from tests.golden import verify_golden
from tests.samples import make_upstream
from tests.session import Session, join_lines

#: For each profile, the service that is read and the one that is written.
_SERVICES = {
    'consorcio': ('mail-log', 'contracts'),
    'guild': ('motions', 'registrations'),
}


async def _run_session(profile) -> tuple[str, list]:
    session = Session(['vm-1', 'vm-2'], voters=['vm-1'])
    read_service, write_service = _SERVICES[profile]
    # Two shards instead of 64 keep the golden files short.
    files = {
        f'{name}.toml': read_profile(profile)[f'{name}.toml'].replace(
            'shards = 64',
            'shards = 2',
        )
        for name in (read_service, write_service)
    }
    async with session.run():
        await session.register()
        await session.step()
        client = session.tasks['vm-2'].client
        for port, service in enumerate((read_service, write_service), 9001):
            record = make_upstream(
                f'{service}-1',
                service,
                address=f'127.0.0.1:{port}',
            )
            await client.propose(AnnounceUpstream(record))
        await client.propose(PublishRevision(0, 'p-1', files))
        # Enough for the shards to be assigned and the grants to be confirmed.
        for _ in range(16):
            await session.step()
        outcomes = [
            await session.request('vm-1', 'GET', f'/{read_service}/key-1'),
            await session.request(
                'vm-2',
                'POST',
                f'/{write_service}/key-2',
                (('Idempotency-Key', 'k-1'),),
                b'body',
            ),
            await session.request('vm-2', 'GET', '/elsewhere/key-3'),
        ]
    return join_lines(session), outcomes


class GoldenPathTest(unittest.TestCase):
    """Guards against unnoticed changes of messages, requests and answers."""

    @parameterized.expand([('consorcio',), ('guild',)])
    def test_path(self, profile):
        text, outcomes = asyncio.run(_run_session(profile))
        self.assertIsInstance(outcomes[0], Answered)
        self.assertIsInstance(outcomes[1], Answered)
        verify_golden(f'path-{profile}', text)
