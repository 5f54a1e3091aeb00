"""Case: an entry process is killed again soon after its start, under load.

The rule is ROUTE: a request is run by a service to which no desired state ever
sent allows it to go.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
import harness

SERVICES = ('alpha', 'beta', 'gamma', 'delta', 'epsilon', 'zeta')
SERVERS = 2
ROUNDS = 13
#: Time from the start to the second kill, in turn.
BETWEEN_KILLS_S = (1.0, 1.25, 1.5, 1.75)
ROUND_S = 7.0


async def case(record):
    deployment = harness.Deployment(record, controls=3, entries=2)
    servers = []
    try:
        await deployment.start_all()
        for name in SERVICES:
            for _ in range(SERVERS):
                servers.append(
                    harness.Server(
                        deployment,
                        record,
                        name,
                        f'{deployment.server_net}.251.2',
                        0,
                        work_s=0.4,
                    )
                )
        update = harness.make_update(
            [
                harness.make_route(
                    f'r-{name}',
                    f'{name}.example',
                    '/s/',
                    'unsafe',
                    name,
                    TimeoutS=4.0,
                    TargetLatencyS=2.5,
                )
                for name in SERVICES
            ],
            [harness.make_service(name) for name in SERVICES],
            harness.LIMITS,
        )
        if (
            await deployment.control_call('POST', '/Config.Update', update)
            != {}
        ):
            raise harness.CannotRun('the desired state was not accepted')
        record('operator: the desired state is confirmed')
        for server in servers:
            await server.start()
        await deployment.wait_ready()
        await asyncio.sleep(3)
        return await play(record, deployment, servers)
    finally:
        for server in servers:
            await server.stop()
        await deployment.stop_all()


async def play(record, deployment, servers):
    start = time.monotonic()
    until = start + 4 + ROUNDS * ROUND_S
    clients = [
        harness.Client(
            record,
            ip,
            deployment.ports[3],
            f'{name}.example',
            '/s/',
            'POST',
            5000,
            0.2,
        )
        for ip in deployment.entry_ips
        for name in SERVICES
        for _ in range(16)
    ]
    tasks = [asyncio.create_task(client.run(until)) for client in clients]
    await asyncio.sleep(3)
    if harness.TROUBLE:
        for number in range(ROUNDS):
            victim = deployment.entry_ips[number % len(deployment.entry_ips)]
            await kill(deployment, victim)
            await asyncio.sleep(
                BETWEEN_KILLS_S[number // 2 % len(BETWEEN_KILLS_S)]
            )
            await kill(deployment, victim)
            await asyncio.sleep(
                max(0, start + 3 + (number + 1) * ROUND_S - time.monotonic())
            )
    await asyncio.gather(*tasks)
    return judge(record, servers, clients)


async def kill(deployment, ip):
    """Kill a process; the platform starts it again half a second later."""
    deployment.expect_end(ip)
    deployment.signal(ip, signal.SIGKILL)
    await deployment.wait_end(ip)
    await asyncio.sleep(0.5)
    deployment.forget_end(ip)
    await deployment.start(ip)


def judge(record, servers, clients):
    served = sum(
        result == 200
        for client in clients
        for _, _, _, result, _ in client.results
    )
    if served < 100:
        raise harness.CannotRun('too few requests were served')
    foreign = [
        (attempt, host, server)
        for server in servers
        for attempt, host in server.hosts.items()
        if host != f'{server.service}.example'
    ]
    for attempt, host, server in foreign:
        record(
            f'{attempt} for {host} was run by {server.id} of {server.service}'
        )
    record(
        f'{served} served; {len(foreign)} run by a service that no route '
        'allows (none allowed)'
    )
    print(f'served: {served}, run by a foreign service: {len(foreign)}')
    return bool(foreign)


harness.run_case(Path(sys.argv[1]), case)
