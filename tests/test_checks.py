"""Checks of the experiment records, with allowed cases and violations."""

import unittest

import msgspec
from parameterized import parameterized

from ibisjunction.bench.answers import digest_answer
from ibisjunction.bench.checks import CHECKS, find_violations
from ibisjunction.bench.experiment_records import (
    ActionRecord,
    ExperimentRecords,
    InForceRecord,
    PublicationRecord,
)
from ibisjunction.bench.request_records import Attempt, Kind, RequestRecord
from ibisjunction.bench.run_records import DrainStarted, Run, RunStarted
from ibisjunction.outcomes import Reason
from ibisjunction.verdict import Verdict

_TARGET = '/contracts/key-1/r-1'
_BYTES = 128


def _run(at_ms, ended_ms, upstream='up-1', fence=1, **fields):
    started = RunStarted(
        **{
            'run': f'{upstream}-0-{at_ms}',
            'upstream': upstream,
            'request_id': '',
            'idempotency_key': '',
            'shard': 'contracts/1',
            'fence': fence,
            'at_ms': at_ms,
            'method': 'POST',
            'target': _TARGET,
            'body_digest': '',
            **fields,
        }
    )
    return Run(started, ended_ms, 'done' if ended_ms else '')


def _attempt(**fields):
    return Attempt(
        **{
            'vm': 'vm-1',
            'sent_ms': 10,
            'ended_ms': 20,
            'status': 200,
            'verdict': Verdict.RAN,
            'digest': digest_answer(_TARGET, _BYTES),
            **fields,
        }
    )


def _refused(**fields):
    refusal = {'status': 503, 'verdict': Verdict.NOT_RUN, 'digest': ''}
    return _attempt(**{**refusal, **fields})


def _unanswered(**fields):
    return _attempt(status=0, verdict=None, digest='', **fields)


def _request(*attempts):
    return RequestRecord(
        number=1,
        kind=Kind.WRITES,
        phase='all',
        rank='standard',
        target_ms=1000,
        method='POST',
        target=_TARGET,
        shard='contracts/1',
        idempotency_key='k-1',
        expected_bytes=_BYTES,
        intended_ms=10,
        latency_us=10_000,
        attempts=list(attempts),
    )


def _publication(publication_id, revision, status=200):
    return PublicationRecord(
        'vm-1', publication_id, 1, status, 10, 20, revision
    )


_PAUSE = ActionRecord('Pause', 'up-1', 5, 5)
_SHUTDOWN = ActionRecord('Restart', 'vm-1', 15, 40, 0)
_LATE_IN_FORCE = InForceRecord('vm-2', 2, 10_021)
_KEY = {'idempotency_key': 'k-1'}

_ALLOWED = [
    ('nothing', ExperimentRecords()),
    ('answered', ExperimentRecords(requests=(_request(_attempt()),))),
    (
        'planned move',
        ExperimentRecords(runs=(_run(10, 20), _run(20, 30, 'up-2', fence=2))),
    ),
    (
        'run at an upstream that was paused before',
        ExperimentRecords(
            runs=(_run(4, 90), _run(20, 30, 'up-2', fence=2)),
            actions=(_PAUSE,),
        ),
    ),
    (
        'run interrupted by a crash',
        ExperimentRecords(runs=(_run(10, None), _run(20, 30, 'up-2', fence=2))),
    ),
    (
        'two keys run once each',
        ExperimentRecords(
            runs=(_run(10, 20, **_KEY), _run(30, 40, idempotency_key='k-2'))
        ),
    ),
    (
        'refused after a missing answer',
        ExperimentRecords(
            requests=(_request(_unanswered(), _refused()),),
            runs=(_run(12, 15),),
        ),
    ),
    (
        'run within the limit of a drain',
        ExperimentRecords(
            runs=(_run(3100, 3200),), drains=(DrainStarted('up-1', 100),)
        ),
    ),
    (
        'not accepted by a VM that shuts down',
        ExperimentRecords(
            requests=(_request(_unanswered(sent_ms=16)),), actions=(_SHUTDOWN,)
        ),
    ),
    (
        'answered by a VM that shuts down',
        ExperimentRecords(
            requests=(_request(_attempt()),), actions=(_SHUTDOWN,)
        ),
    ),
    (
        'one accepted publication, a resend and a refusal',
        ExperimentRecords(
            publications=(
                _publication('a', 2),
                _publication('b', 0, 409),
                _publication('a', 2),
                _publication('a', 0, 503),
            ),
            in_force=(InForceRecord('vm-2', 2, 9000),),
        ),
    ),
]

_VIOLATIONS = [
    # A former owner starts a run under its older fence.
    (
        'fence order',
        ExperimentRecords(runs=(_run(10, 20, fence=2), _run(30, 40, fence=1))),
    ),
    # Two upstreams run requests under one fence.
    (
        'fence order',
        ExperimentRecords(runs=(_run(10, 20, 'up-1'), _run(30, 40, 'up-2'))),
    ),
    # A hand-over doesn't wait for the former owner's run.
    (
        'overlap',
        ExperimentRecords(runs=(_run(10, 25), _run(20, 30, 'up-2', fence=2))),
    ),
    # The former owner is paused only after the hand-over.
    (
        'overlap',
        ExperimentRecords(
            runs=(_run(1, 90), _run(4, 30, 'up-2', fence=2)),
            actions=(_PAUSE,),
        ),
    ),
    # The process of an interrupted run is alive after the hand-over.
    (
        'overlap',
        ExperimentRecords(
            runs=(
                _run(10, None),
                _run(25, 26, shard='contracts/2'),
                _run(20, 30, 'up-2', fence=2),
            )
        ),
    ),
    # A request runs again after it has ended.
    (
        'at most once',
        ExperimentRecords(runs=(_run(10, 20, **_KEY), _run(30, 40, **_KEY))),
    ),
    # A request runs again after a crash interrupted it.
    (
        'at most once',
        ExperimentRecords(runs=(_run(10, None, **_KEY), _run(30, 40, **_KEY))),
    ),
    # The answer belongs to another request.
    (
        'whole and own answers',
        ExperimentRecords(
            requests=(
                _request(_attempt(digest=digest_answer('/other', _BYTES))),
            )
        ),
    ),
    # The answer is truncated.
    (
        'whole and own answers',
        ExperimentRecords(
            requests=(
                _request(
                    _attempt(digest=digest_answer(_TARGET, _BYTES - 1)),
                ),
            )
        ),
    ),
    # A request runs although its only attempt is refused.
    (
        'true refusals',
        ExperimentRecords(
            requests=(_request(_refused()),), runs=(_run(12, 15),)
        ),
    ),
    # An attempt without a connection doesn't make the outcome unknown.
    (
        'true refusals',
        ExperimentRecords(
            requests=(_request(_unanswered(was_sent=False), _refused()),),
            runs=(_run(12, None),),
        ),
    ),
    # A run starts 1 ms after the limit.
    (
        'drain',
        ExperimentRecords(
            runs=(_run(3101, 3200),), drains=(DrainStarted('up-1', 100),)
        ),
    ),
    # A request in flight gets no answer.
    (
        'graceful shutdown',
        ExperimentRecords(
            requests=(_request(_unanswered()),), actions=(_SHUTDOWN,)
        ),
    ),
    # A request that is accepted during the shutdown gets no answer.
    (
        'graceful shutdown',
        ExperimentRecords(
            requests=(_request(_unanswered(sent_ms=16)),),
            runs=(_run(17, 18),),
            actions=(_SHUTDOWN,),
        ),
    ),
    # The VM ends with exit code 1.
    (
        'graceful shutdown',
        ExperimentRecords(
            actions=(msgspec.structs.replace(_SHUTDOWN, exit_code=1),)
        ),
    ),
    # One revision has two publications.
    (
        'publications',
        ExperimentRecords(
            publications=(_publication('a', 2), _publication('b', 2))
        ),
    ),
    # A resend is accepted as another revision.
    (
        'publications',
        ExperimentRecords(
            publications=(_publication('a', 2), _publication('a', 3))
        ),
    ),
    # A resend of an accepted publication is refused.
    (
        'publications',
        ExperimentRecords(
            publications=(_publication('a', 2), _publication('a', 0, 409))
        ),
    ),
    # A VM reports the revision 1 ms after the limit.
    (
        'in force',
        ExperimentRecords(
            publications=(_publication('a', 2),), in_force=(_LATE_IN_FORCE,)
        ),
    ),
    # A VM never reports the revision.
    ('in force', ExperimentRecords(in_force=(InForceRecord('vm-2', 0, 10),))),
    # A VM does not find a published service.
    (
        'never reverted',
        ExperimentRecords(
            requests=(
                _request(
                    _refused(status=404, reason=Reason.UNKNOWN_SERVICE.value),
                ),
            )
        ),
    ),
]


class CheckTest(unittest.TestCase):
    """Guards against checks that miss a violation or report an allowed case."""

    @parameterized.expand(_ALLOWED)
    def test_allowed_case(self, _name, records):
        self.assertEqual(find_violations(records), [])

    @parameterized.expand(_VIOLATIONS)
    def test_violation(self, check, records):
        found = {violation.check for violation in find_violations(records)}
        self.assertEqual(found, {check})

    def test_each_check_has_a_violation(self):
        self.assertEqual({name for name, _ in _VIOLATIONS}, set(CHECKS))
