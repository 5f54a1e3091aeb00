"""Case: a request crashes each server that runs it, and comes again.

The rule is BUDGET: such a request reaches servers in more than three retries
that are sent later than ContactWindowS after it has crashed the third.
"""

import asyncio
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
import harness

SERVERS = 10
CONTACT_WINDOW_S = 3.0
DOWN_S = 3.0
RESEND_S = 2.5
PATH = '/d/crash'


async def case(record):
    deployment = harness.Deployment(record, controls=3, entries=3)
    servers = []
    try:
        await deployment.start_all()
        for _ in range(SERVERS):
            servers.append(
                harness.Server(
                    deployment,
                    record,
                    'desk',
                    f'{deployment.server_net}.251.2',
                    0,
                    work_s=0.4,
                )
            )
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
    crashes = []  # (time, attempt)
    tasks = []

    def on_crash(server, attempt):
        crashes.append((time.monotonic(), attempt))
        tasks.append(asyncio.create_task(server.crash(DOWN_S)))

    for server in servers:
        server.crash_paths = (PATH,) if harness.TROUBLE else ()
        server.on_crash = on_crash
    start = time.monotonic()
    until = start + 45
    port = deployment.ports[3]
    clients = [
        harness.Client(
            record, ip, port, 'desk.example', '/d/', 'POST', 5000, 0.3
        )
        for ip in deployment.entry_ips
        for _ in range(5)
    ]
    others = [asyncio.create_task(client.run(until)) for client in clients]
    caller = Caller(record, deployment)
    await caller.run(until)
    await asyncio.gather(*others)
    await asyncio.gather(*tasks)
    return judge(record, servers, crashes, caller, clients)


class Caller:
    """Sends one request again and again, each time to the next machine."""

    def __init__(self, record, deployment):
        self.record = record
        self.deployment = deployment
        self.sent = {}  # attempt -> time

    async def run(self, until):
        number = 0
        while time.monotonic() < until:
            ips = self.deployment.entry_ips
            await self.send(ips[number % len(ips)])
            number += 1
            await asyncio.sleep(RESEND_S)

    async def send(self, ip):
        attempt = secrets.token_hex(8)
        self.sent[attempt] = time.monotonic()
        self.record(f'send   {attempt} POST {PATH} to {ip}, again the same')
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(
                    ip, self.deployment.ports[3]
                )
                writer.write(
                    f'POST {PATH} HTTP/1.1\r\nHost: desk.example\r\n'
                    f'Attempt-Id: {attempt}\r\nDeadline-Ms: 5000\r\n'
                    'Content-Length: 5\r\n\r\norder'.encode()
                )
                start, headers = await harness.read_head(reader)
                await harness.read_body(reader, headers)
                self.record(f'answer {attempt} {start.split()[1]}')
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record(f'answer {attempt} none: {error!r}')


def judge(record, servers, crashes, caller, clients):
    lost = sum(
        result in {502, 504, 'connection closed', 'no answer'}
        for client in clients
        for _, _, _, result, _ in client.results
    )
    served = sum(
        result == 200
        for client in clients
        for _, _, _, result, _ in client.results
    )
    record(f'orders of other callers: {served} served, {lost} lost midway')
    if served < 100:
        raise harness.CannotRun('too few requests were served')
    if len(crashes) < 3:
        print(f'crashes: {len(crashes)}, orders of others lost: {lost}')
        return False
    third = crashes[2][0]
    record(f'the request crashed {len(crashes)} servers')
    late = {
        attempt
        for server in servers
        for _, attempt in server.begun
        if caller.sent.get(attempt, 0) > third + CONTACT_WINDOW_S
    }
    record(
        f'retries that were sent later than {CONTACT_WINDOW_S} s after the third '
        f'crash and reached a server: {len(late)} (at most 3 allowed)'
    )
    print(
        f'crashes: {len(crashes)}, late retries: {len(late)}, '
        f'orders of others lost: {lost}'
    )
    return len(late) > 3


harness.run_case(Path(sys.argv[1]), case)
