"""Runs local deployments and sends requests of all three kinds."""

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from types import MappingProxyType
from typing import IO, Final

from tornado.httpclient import AsyncHTTPClient

from ibisjunction.bench.client import (
    Answer,
    call,
    call_admin,
    decode_body,
    make_client,
)
from ibisjunction.bench.deployment import (
    Deployment,
    VmAddresses,
    run_deployment,
)
from ibisjunction.bench.upstream import make_answer
from ibisjunction.verdict import VERDICT_HEADER

_VM_COUNT: Final = 5
_UPSTREAMS: Final = 6
_MAX_POLLS: Final = 200
_POLL_INTERVAL_S: Final = 0.1
_DOWNLOAD_BYTES: Final = 20_000_000
_SMALL_ANSWER_BYTES: Final = 128
_PROFILES_FOLDER: Final = Path(__file__).parent / 'profiles'


def run_demo(output: IO[str]) -> int:
    """Run both deployments one after the other and return the exit code."""
    failures = 0
    for profile in ('consorcio', 'guild'):
        failures += _run_profile(profile, output)
    output.write(f'{failures} requests failed\n')
    return 1 if failures else 0


def read_profile(profile: str) -> dict[str, str]:
    """Return the service files of a profile by file name."""
    folder = _PROFILES_FOLDER / profile
    return {
        path.name: path.read_text() for path in sorted(folder.glob('*.toml'))
    }


def _run_profile(profile: str, output: IO[str]) -> int:
    with run_deployment(_VM_COUNT) as deployment:
        output.write(f'{profile}: {_VM_COUNT} daemons in {deployment.folder}\n')
        start_upstreams(deployment, profile)
        failures = asyncio.run(_send_requests(deployment, profile, output))
        codes = deployment.stop_all()
    all_stopped = all(code == 0 for code in codes.values())
    output.write(f'{profile}: all processes stopped cleanly: {all_stopped}\n')
    return failures + (not all_stopped)


#: Services for reads, writes and downloads, in this order, by profile.
_SERVICES: Final = MappingProxyType(
    {
        'consorcio': ('mail-log', 'contracts', 'documents'),
        'guild': ('motions', 'registrations', 'packs'),
    }
)


def start_upstreams(deployment: Deployment, profile: str) -> None:
    """Start two stand-ins for each service of a profile."""
    slots = 3 if profile == 'consorcio' else 4
    for service in _SERVICES[profile]:
        is_download = service in {'documents', 'packs'}
        length = _DOWNLOAD_BYTES if is_download else _SMALL_ANSWER_BYTES
        for number in (1, 2):
            deployment.start_upstream(
                f'{service}-{number}',
                f'--service={service}',
                f'--slots={slots}',
                f'--answer-bytes={length}',
            )


async def publish(
    deployment: Deployment,
    client: AsyncHTTPClient,
    profile: str,
) -> Answer:
    """Publish the service files of a profile as the first revision."""
    return await call_admin(
        client,
        'POST',
        deployment.vms[0].admin,
        '/v1/revisions',
        {
            'base_revision': 0,
            'publication_id': f'first-{profile}',
            'files': read_profile(profile),
        },
    )


async def wait_for_upstreams(
    deployment: Deployment,
    client: AsyncHTTPClient,
    upstreams: int,
    owners: int,
) -> bool:
    """Wait until each VM is ready and reports these numbers of upstreams.

    Returns whether this happened in time.

    :param upstreams: number of all upstreams.
    :param owners: number of upstreams that own shards.
    """
    for _ in range(_MAX_POLLS):
        answers = [
            await call_admin(client, 'GET', vm.admin, '/v1/status')
            for vm in deployment.vms
        ]
        if all(
            _is_ready_with_counts(answer, upstreams, owners)
            for answer in answers
        ):
            return True
        await asyncio.sleep(_POLL_INTERVAL_S)
    return False


def _is_ready_with_counts(answer: Answer, upstreams: int, owners: int) -> bool:
    if answer.status != HTTPStatus.OK:
        return False
    status = decode_body(answer)
    owning = [entry for entry in status['upstreams'] if entry['shards']]
    counts = (len(status['upstreams']), len(owning))
    return status['ready'] and counts == (upstreams, owners)


async def _send_requests(
    deployment: Deployment,
    profile: str,
    output: IO[str],
) -> int:
    client = make_client()
    await wait_for_upstreams(deployment, client, _UPSTREAMS, 0)
    published = await publish(deployment, client, profile)
    output.write(f'{profile}: publish {published.status} {published.body!r}\n')
    if not await wait_for_upstreams(deployment, client, _UPSTREAMS, _UPSTREAMS):
        output.write(f'{profile}: not served in time\n')
        return 1
    results = [
        await _check_answer(client, vm, method, target, length)
        for number, vm in enumerate(deployment.vms)
        for method, target, length in _list_requests(profile, number)
    ]
    for result in results:
        output.write(f'{result.line}\n')
    return sum(not result.is_whole for result in results)


@dataclass(frozen=True, slots=True)
class _CheckResult:
    line: str
    is_whole: bool


def _list_requests(
    profile: str,
    number: int,
) -> tuple[tuple[str, str, int], ...]:
    """Return method, target and answer length of one request of each kind."""
    reads, writes, downloads = _SERVICES[profile]
    return (
        ('GET', f'/{reads}/key-{number}', _SMALL_ANSWER_BYTES),
        ('POST', f'/{writes}/key-{number}', _SMALL_ANSWER_BYTES),
        ('GET', f'/{downloads}/key-{number}', _DOWNLOAD_BYTES),
    )


async def _check_answer(
    client: AsyncHTTPClient,
    vm: VmAddresses,
    method: str,
    target: str,
    length: int,
) -> _CheckResult:
    answer = await call(
        client,
        method,
        f'http://{vm.http}{target}',
        b'content' if method == 'POST' else None,
        {'Idempotency-Key': f'demo{target}'},
    )
    is_whole = answer.body == make_answer(target, length)
    verdict = answer.headers.get(VERDICT_HEADER)
    return _CheckResult(
        f'{vm.vm} {method} {target}: {answer.status} {verdict}'
        f' {len(answer.body)} bytes, whole: {is_whole}',
        is_whole,
    )
