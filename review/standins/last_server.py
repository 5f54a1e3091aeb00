"""Case: the only server of a service leaves while requests wait for it.

The rule is LOST: a process passes requests from kept connections on to sound
servers and closes those connections without an answer, more than three times.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
import harness

#: Small services with one server each, and servers of the large service.
SMALL = 6
LARGE = 40


async def case(record):
    deployment = harness.Deployment(record, controls=3, entries=2)
    servers = []
    try:
        await deployment.start_all()
        services = [f'small{number}' for number in range(SMALL)]
        for name in services:
            servers.append(
                harness.Server(
                    deployment,
                    record,
                    name,
                    f'{deployment.server_net}.251.1',
                    0,
                )
            )
        for _ in range(LARGE):
            servers.append(
                harness.Server(
                    deployment,
                    record,
                    'desk',
                    f'{deployment.server_net}.251.2',
                    0,
                    work_s=0.5,
                )
            )
        update = harness.make_update(
            [
                harness.make_route(
                    'r-desk', 'desk.example', '/d/', 'unsafe', 'desk'
                ),
                *(
                    harness.make_route(
                        f'r-{name}', f'{name}.example', '/s/', 'safe', name
                    )
                    for name in services
                ),
            ],
            [harness.make_service(name) for name in ('desk', *services)],
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
        await asyncio.sleep(4)
        return await play(record, deployment, services, servers)
    finally:
        for server in servers:
            await server.stop()
        await deployment.stop_all()


async def play(record, deployment, services, servers):
    start = time.monotonic()
    until = start + 8 + SMALL * 6
    port = deployment.ports[3]
    clients = []
    for ip in deployment.entry_ips:
        for _ in range(12):
            clients.append(
                harness.Client(
                    record,
                    ip,
                    port,
                    'desk.example',
                    '/d/',
                    'POST',
                    5000,
                    0.3,
                )
            )
        for name in services:
            for _ in range(5):
                clients.append(
                    harness.Client(
                        record,
                        ip,
                        port,
                        f'{name}.example',
                        '/s/',
                        'GET',
                        4000,
                        0.2,
                    )
                )
    tasks = [asyncio.create_task(client.run(until)) for client in clients]
    leaving = []
    for number, name in enumerate(services):
        await asyncio.sleep(max(0, start + 5 + number * 6 - time.monotonic()))
        if harness.TROUBLE:
            leaving.append(asyncio.create_task(servers[number].leave()))
    await asyncio.gather(*tasks)
    await asyncio.gather(*leaving)
    return judge(record, deployment, servers, clients)


def judge(record, deployment, servers, clients):
    """Count requests that were passed on and cut without an answer."""
    ran = {attempt for server in servers for attempt in server.runs}
    sound = {
        attempt
        for server in servers
        if server.service == 'desk'
        for attempt in server.runs
    }
    cut = [
        (client.address[0], attempt)
        for client in clients
        for _, _, attempt, result, is_kept in client.results
        if result == 'connection closed' and is_kept and attempt in sound
    ]
    answered = sum(
        result == 200
        for client in clients
        for _, _, _, result, _ in client.results
    )
    if answered < 100 or len(ran) < 100:
        raise harness.CannotRun('too few requests were served')
    record(f'served: {answered}')
    record(f'processes that ended by themselves: {len(deployment.ends)}')
    for ip in deployment.entry_ips:
        count = sum(machine == ip for machine, _ in cut)
        record(
            f'{ip}: {count} requests of kept connections were passed on to a '
            'sound server and cut without an answer (at most 3 allowed)'
        )
    worst = max(
        sum(machine == ip for machine, _ in cut) for ip in deployment.entry_ips
    )
    print(f'ends: {len(deployment.ends)}, cut at one machine: {worst}')
    return worst > 3


harness.run_case(Path(sys.argv[1]), case)
