"""Case: two control machines lose their disks after another was replaced.

The rule is CONFIG: read back, an item is older than its newest acknowledged
version, or nothing comes.
"""

import asyncio
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
import harness

CATCH_UP_S = 4.0
#: The successor starts this long before its predecessor gets SIGTERM.
AHEAD_S = 1.0
#: The next machines are lost this much more than CatchUpS after the old one is
#: gone, which is also later than CatchUpS after the start of its successor.
MARGIN_S = 0.75
DOWN_S = 1.0
#: RecoveryS, and then as long again as an operator asks.
READ_BACK_S = 30


async def case(record):
    deployment = harness.Deployment(record, controls=6, entries=2)
    spare = deployment.control_ips.pop()
    deployment.spare = spare
    servers = []
    try:
        await deployment.start_all()
        servers = [
            harness.Server(
                deployment, record, 'desk', f'{deployment.server_net}.251.2', 0
            )
            for _ in range(6)
        ]
        update = harness.make_update(
            [
                harness.make_route(
                    'r-desk', 'desk.example', '/d/', 'unsafe', 'desk'
                )
            ],
            [harness.make_service('desk')],
            harness.LIMITS,
        )
        if (
            await deployment.control_call('POST', '/Config.Update', update)
            != {}
        ):
            raise harness.CannotRun('the desired state was not accepted')
        record('operator: r7 is confirmed')
        for server in servers:
            await server.start()
        await deployment.wait_ready()
        # The machines are in touch, and five of them vote.
        await asyncio.sleep(8)
        return await play(record, deployment, servers)
    finally:
        for server in servers:
            await server.stop()
        await deployment.stop_all()


async def play(record, deployment, servers):
    client = harness.Client(
        record,
        deployment.entry_ips[0],
        deployment.ports[3],
        'desk.example',
        '/d/',
        'POST',
        5000,
        0.2,
    )
    start = time.monotonic()
    task = asyncio.create_task(client.run(start + 14 + READ_BACK_S))
    old = deployment.control_ips[3]
    lost = deployment.control_ips[:2]
    # Planned replacement: the new machine first, then SIGTERM for the old one.
    successor = deployment.spare
    deployment.control_ips.append(successor)
    await deployment.start(successor)
    await asyncio.sleep(AHEAD_S)
    deployment.expect_end(old)
    deployment.signal(old, signal.SIGTERM)
    await deployment.wait_end(old)
    deployment.control_ips.remove(old)
    record(f'{old} is gone for good; its successor is {successor}')
    await asyncio.sleep(CATCH_UP_S + MARGIN_S)
    update = harness.make_update(
        [
            harness.make_route(
                'r-desk',
                'desk.example',
                '/d/',
                'unsafe',
                'desk',
                version='r9',
                TimeoutS=2.0,
            )
        ],
    )
    if await deployment.control_call('POST', '/Config.Update', update) != {}:
        raise harness.CannotRun('the change was not accepted')
    record('operator: r9 is confirmed')
    if harness.TROUBLE:
        await lose_disks(record, deployment, lost)
    version = await read_back(record, deployment)
    await task
    late = [
        result
        for sent, _, _, result, _ in client.results
        if sent > start + 10 + 15
    ]
    record(
        f'requests sent 15 s after it: {late.count(200)} of {len(late)} served'
    )
    record(f'read back: {version}')
    print(
        f'read back: {version}; served late: {late.count(200)} of {len(late)}'
    )
    return version != 'r9'


async def lose_disks(record, deployment, ips):
    """Machines lose their disks, and start again with empty ones."""
    for ip in ips:
        deployment.expect_end(ip)
        deployment.signal(ip, signal.SIGKILL)
    for ip in ips:
        await deployment.wait_end(ip)
        shutil.rmtree(deployment.folder / ip / 'data')
        record(f'{ip} has lost its disk')
    await asyncio.sleep(DOWN_S)
    for ip in ips:
        deployment.forget_end(ip)
        await deployment.start(ip)


async def read_back(record, deployment):
    """Return the version of the route, asked for as long as an operator asks."""
    until = time.monotonic() + READ_BACK_S
    await asyncio.sleep(5)
    while time.monotonic() < until:
        answer = await deployment.control_call(
            'GET', '/Config.Describe', tries=5
        )
        if answer and 'Routes' in answer:
            table = answer['Routes']
            column = table['Columns'].index('Version')
            return table['Rows'][0][column]
        await asyncio.sleep(0.5)
    return 'nothing comes'


harness.run_case(Path(sys.argv[1]), case)
