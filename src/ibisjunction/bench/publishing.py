"""Publishes service files and watches when they are in force."""

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

_POLL_MS: Final = 20
#: Twice the 10 s within which a revision must be in force everywhere.
_GIVE_UP_MS: Final = 20_000


@dataclass(slots=True)
class Publisher:
    """Publishes ``files`` under new publication ids."""

    deployment: Deployment
    clock: Clock
    client: AsyncHTTPClient
    files: dict[str, str]
    publications: list[PublicationRecord] = field(default_factory=list)
    in_force: list[InForceRecord] = field(default_factory=list)
    _numbers: 'itertools.count[int]' = field(
        default_factory=lambda: itertools.count(1),
    )

    async def publish_first(self) -> PublicationRecord:
        """Publish the files as the first revision."""
        return await self._publish(self.deployment.vms[0], 0, 'first')

    async def race(self) -> None:
        """Publish from every VM at once, then send every call again."""
        base = max(found.revision for found in self.publications)
        named = [
            (vm, f'race-{next(self._numbers)}') for vm in self.deployment.vms
        ]
        for _ in range(2):
            await asyncio.gather(
                *(self._publish(vm, base, name) for vm, name in named),
            )
        await self.watch(max(found.revision for found in self.publications))

    async def watch(self, revision: int) -> None:
        """Record when each VM reports at least this revision."""
        await asyncio.gather(
            *(self._watch(vm, revision) for vm in self.deployment.vms),
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

    async def _watch(self, vm: VmAddresses, revision: int) -> None:
        give_up_ms = self.clock.now() + _GIVE_UP_MS
        while self.clock.now() < give_up_ms:
            answer = await call_admin(
                self.client,
                'GET',
                vm.admin,
                '/v1/status',
            )
            is_known = answer.status == HTTPStatus.OK
            if is_known and decode_body(answer)['revision'] >= revision:
                now = self.clock.now()
                self.in_force.append(InForceRecord(vm.vm, revision, now))
                return
            await asyncio.sleep(in_seconds(_POLL_MS))
        self.in_force.append(InForceRecord(vm.vm, 0, self.clock.now()))
