"""Tests of the command line against a running daemon."""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

import ibisjunction
from ibisjunction.bench.client import make_client
from ibisjunction.bench.demo import wait_for_upstreams
from ibisjunction.bench.deployment import OPERATOR_TOKEN, run_deployment
from ibisjunction.cli.connection import (
    EXIT_INVALID,
    EXIT_REJECTED,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
)

_PROFILES = Path(ibisjunction.__file__).parent / 'bench' / 'profiles'
_FILES = str(_PROFILES / 'consorcio')


def _run(*arguments, token=OPERATOR_TOKEN) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, '-m', 'ibisjunction.cli', *arguments],
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, 'IBISJUNCTION_TOKEN': token},
    )


async def _wait_until_ready(deployment) -> bool:
    return await wait_for_upstreams(
        deployment, make_client(), upstreams=0, owners=0
    )


class OfflineTest(unittest.TestCase):
    """Guards against wrong exit codes and errors that lack advice."""

    @parameterized.expand(
        [
            ('valid files', ['check', _FILES], 0, ''),
            ('missing file', ['check', 'none.toml'], EXIT_INVALID, 'none.toml'),
            (
                'not a service',
                ['check', 'setup.cfg'],
                EXIT_INVALID,
                'setup.cfg',
            ),
            ('known event', ['explain-event', 'e501'], 0, ''),
            (
                'unknown event',
                ['explain-event', '1'],
                EXIT_INVALID,
                'log-events.md',
            ),
            ('no address', ['status'], EXIT_USAGE, '--admin'),
            (
                'no daemon at the address',
                ['status', '--admin=127.0.0.1:1'],
                EXIT_UNREACHABLE,
                'is the daemon running',
            ),
            ('unknown command', ['sttaus'], EXIT_USAGE, ''),
        ]
    )
    def test_exit_code(self, _name, arguments, exit_code, message):
        result = _run(*arguments)
        self.assertEqual(result.returncode, exit_code, result.stderr)
        self.assertIn(message, result.stderr)


class PublishTest(unittest.TestCase):
    """Guards against publications that are applied twice or overwrite others.

    A resend must return the first outcome, and a publication based on a
    revision that is no longer current must be rejected. The session also
    guards the exit codes and outputs of other commands that call a daemon.
    """

    def test_session(self):
        with run_deployment(1) as deployment:
            self.assertTrue(asyncio.run(_wait_until_ready(deployment)))
            admin = f'--admin={deployment.vms[0].admin}'
            first = ['publish', _FILES, admin, '--base=0']
            self._check(_run(*first, '--publication-id=p1'), 0, 'revision 1')
            with self.subTest('resend returns the first outcome'):
                result = _run(*first, '--publication-id=p1')
                self._check(result, 0, 'revision 1')
            with self.subTest('second publication on the same base'):
                result = _run(*first, '--publication-id=p2')
                self._check(result, EXIT_REJECTED, 'revision 1 was in force')
            with self.subTest('next revision'):
                result = _run('publish', _FILES, admin)
                self._check(result, 0, 'revision 2')
                self._check(result, 0, 'in force on all 1 live VMs')
            with self.subTest('wrong token'):
                result = _run('publish', _FILES, admin, token='wrong')
                self._check(result, EXIT_REJECTED, 'IBISJUNCTION_TOKEN')
            with self.subTest('status for scripts'):
                result = _run('status', admin, '--json')
                self.assertEqual(json.loads(result.stdout)['revision'], 2)
            with self.subTest('key without an owner'):
                result = _run('explain-key', 'mail-log', 'tenant/7', admin)
                self.assertIn('upstream: -', result.stdout)
            with self.subTest('voter with an invalid address'):
                result = _run('add-voter', 'vm-1/x', '--peer=host', admin)
                self._check(result, EXIT_INVALID, 'IP number:port')
            with self.subTest('the only voter cannot be removed'):
                result = _run('remove-voter', 'vm-1', admin)
                self._check(result, EXIT_REJECTED, 'voter')
            with self.subTest('renewed terms'):
                result = _run('renew-terms', 'mail-log', 'c', admin)
                self.assertEqual(result.stdout, 'c: level 1\n')

    def test_refuses_invalid_files_before_any_call(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'bad.toml'
            path.write_text('service = 1\n')
            result = _run('publish', folder, '--admin=127.0.0.1:1')
        self._check(result, EXIT_INVALID, 'bad.toml: service: ')

    def _check(self, result, exit_code, message) -> None:
        self.assertEqual(result.returncode, exit_code, result.stderr)
        self.assertIn(message, result.stderr)
