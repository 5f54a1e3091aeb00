"""Publishes service files and records when they are in force."""

import asyncio
import itertools
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from tornado.httpclient import AsyncHTTPClient

from ibisjunction.bench.client import call_admin, decode_body
from ibisjunction.bench.deployment import Deployment, VmAddresses
from ibisjunction.bench.experiment_records import (
    InForceRecord,
    PublicationRecord,
)
from ibisjunction.clock import Clock, in_seconds

_POLL_INTERVAL_MS: Final = 20
#: Twice the 10 s within which a revision must be in force everywhere.
_IN_FORCE_TIMEOUT_MS: Final = 20_000


@dataclass(slots=True)
class Publisher:
    """Publishes ``files`` under new publication ids."""

    deployment: Deployment
    clock: Clock
    client: AsyncHTTPClient
    files: dict[str, str]
    publications: list[PublicationRecord] = field(default_factory=list)
    in_force: list[InForceRecord] = field(default_factory=list)
    _race_numbers: 'itertools.count[int]' = field(
        default_factory=lambda: itertools.count(1),
    )

    async def publish_first(self) -> PublicationRecord:
        """Publish the files as the first revision."""
        return await self._publish(self.deployment.vms[0], 0, 'first')

    async def publish_concurrently(self) -> None:
        """Publish through every VM at once, then send every call again.

        All calls name the same base revision, so they conflict. The
        second call with a publication id has to get the result of the first.
        """
        base_revision = max(
            publication.revision for publication in self.publications
        )
        calls = [
            (vm, f'race-{next(self._race_numbers)}')
            for vm in self.deployment.vms
        ]
        for _ in range(2):
            await asyncio.gather(
                *(
                    self._publish(vm, base_revision, publication_id)
                    for vm, publication_id in calls
                ),
            )
        await self.wait_until_in_force(
            max(publication.revision for publication in self.publications)
        )

    async def wait_until_in_force(self, revision: int) -> None:
        """Record when each VM first reports at least this revision.

        A VM that does not report it in time is recorded with revision 0.
        """
        await asyncio.gather(
            *(self._wait_for_vm(vm, revision) for vm in self.deployment.vms),
        )

    async def _publish(
        self,
        vm: VmAddresses,
        base_revision: int,
        publication_id: str,
    ) -> PublicationRecord:
        sent_ms = self.clock.now()
        answer = await call_admin(
            self.client,
            'POST',
            vm.admin,
            '/v1/revisions',
            {
                'base_revision': base_revision,
                'publication_id': publication_id,
                'files': self.files,
            },
        )
        is_accepted = answer.status == HTTPStatus.OK
        record = PublicationRecord(
            vm=vm.vm,
            publication_id=publication_id,
            base_revision=base_revision,
            status=answer.status,
            sent_ms=sent_ms,
            ended_ms=self.clock.now(),
            revision=decode_body(answer)['revision'] if is_accepted else 0,
        )
        self.publications.append(record)
        return record

    async def _wait_for_vm(self, vm: VmAddresses, revision: int) -> None:
        deadline_ms = self.clock.now() + _IN_FORCE_TIMEOUT_MS
        while self.clock.now() < deadline_ms:
            answer = await call_admin(
                self.client,
                'GET',
                vm.admin,
                '/v1/status',
            )
            is_ok = answer.status == HTTPStatus.OK
            if is_ok and decode_body(answer)['revision'] >= revision:
                now = self.clock.now()
                self.in_force.append(InForceRecord(vm.vm, revision, now))
                return
            await asyncio.sleep(in_seconds(_POLL_INTERVAL_MS))
        self.in_force.append(InForceRecord(vm.vm, 0, self.clock.now()))
