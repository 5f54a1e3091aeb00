"""What all requests on one entry VM use."""

from dataclasses import dataclass, field
from typing import Any

from ibisjunction.catalogue.routes import Splitter
from ibisjunction.clock import Clock
from ibisjunction.entry.following.evacuations import EvacuatedDomains
from ibisjunction.entry.hedging.policy import HedgePolicy, HedgeTerms
from ibisjunction.entry.link.transfers import FreeLink, Link
from ibisjunction.entry.model import HeaderNames
from ibisjunction.entry.serving.budget import RetryBudget
from ibisjunction.entry.serving.crashes import CrashSuspects, LostRun
from ibisjunction.entry.upstream_calls.notices import UpstreamNotices
from ibisjunction.entry.upstream_calls.pool import ConnectionPool
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.leases import VmLease


@dataclass(slots=True)
class EntryComponents:
    """Tasks, stores and settings of the VM, shared by its requests."""

    vm: str
    failure_domain: str
    clock: Clock
    names: HeaderNames
    lease: VmLease
    tickets: Mailbox[Any]
    splitter: Splitter
    budget: RetryBudget
    pool: ConnectionPool
    notices: UpstreamNotices
    suspects: CrashSuspects
    crashes: Mailbox[LostRun]
    evacuations: EvacuatedDomains
    link: Link = field(default_factory=FreeLink)
    hedging: HedgePolicy = field(
        default_factory=lambda: HedgePolicy(HedgeTerms())
    )
