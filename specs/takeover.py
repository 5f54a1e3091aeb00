"""Specification of shard hand-over and dispatcher take-over.

One shard moves from upstream 1 to upstream 2, as planned or because upstream 1
is lost. Upstream 2 may be the next process of upstream 1 at the same address,
where calls for upstream 1 reach it. VM A dispatches for upstream 1 under epoch
1 and VM B may replace it under epoch 2. VM C requests one ticket from A.
Upstream 1 does not check fences, so it runs every request that C sends.

Time is not modelled: a lease may end at any moment. Where the code relies on
the length of a lease, a step has a guard instead. One VM lease after the commit
of a change, every VM that still serves has applied it, and no ticket issued
before may still be started. The guard for this is that C has applied the change
or holds no lease, and that it holds no ticket.

The model is explored in two scenarios, each exhaustively: ``grants`` has the
calls to upstream 1 and no ticket; ``tickets`` has VM C and its ticket, and a
revoked grant ends at once. ``MISTAKES`` names faults that can be put into the
rules, each with the scenario that shows it and the invariant that it breaks.
"""

from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import Final, NamedTuple

from minicheck import Protocol

MISTAKES: Final = MappingProxyType(
    {
        'report the release before the answer': ('grants', 'one_owner'),
        'complete a loss while the grant lease runs': ('grants', 'one_owner'),
        'renew grants after a loss': ('grants', 'one_owner'),
        'ignore the sequence of calls': ('grants', 'one_owner'),
        'accept a call for another process': ('grants', 'one_owner'),
        'grant a moving shard again': ('grants', 'one_owner'),
        'release while a ticket is outstanding': ('tickets', 'one_acceptor'),
        'complete a loss before all VMs apply the move': (
            'tickets',
            'one_acceptor',
        ),
        'issue before the survey is complete': ('tickets', 'one_dispatcher'),
        'use tickets of an earlier epoch': ('tickets', 'one_dispatcher'),
        'remove a VM during its lease': ('tickets', 'one_dispatcher'),
        'skip the lease check before the start': ('tickets', 'ticket_lease'),
    }
)
#: Calls per epoch: one that grants, one that is delayed and one that revokes.
_MAX_CALLS: Final = 3
#: Calls that may be in flight at the same time, the latest included.
_MAX_IN_FLIGHT: Final = 2


class Call(NamedTuple):
    """A grant call; the lease of a stale call has already ended."""

    epoch: int
    sequence: int
    is_granted: bool
    is_stale: bool = False


class State(NamedTuple):
    """The state of all processes, and the violations that occurred.

    ``pending`` is the call whose answer the dispatcher waits for, ``accepted``
    the last one whose answer it received, and ``position`` the epoch and
    sequence of the last one that upstream 1 applied.

    A violation is that C starts its ticket although upstream 2 has the grant
    (``is_overlap``), although the new dispatcher has completed its survey
    without that ticket (``is_unsurveyed``), or without a lease
    (``is_unleased``).
    """

    # Control state
    phase: str = 'owned'
    epoch: int = 1
    is_completion_proposed: bool = False
    c_registered: bool = True
    # The dispatcher of the current epoch
    has_applied_move: bool = False
    is_ticket_outstanding: bool = False
    is_survey_complete: bool = True
    is_idle_reported: bool = False
    is_loss_reported: bool = False
    sequence: int = 0
    pending: Call | None = None
    accepted: Call | None = None
    # Upstreams 1 and 2
    calls: frozenset[Call] = frozenset()
    position: tuple[int, int] = (0, 0)
    u1_granted: bool = False
    u1_leased: bool = False
    u2_granted: bool = False
    # VM A as an issuer of tickets, and VM C
    a_issues: bool = True
    c_leased: bool = True
    c_applied_move: bool = False
    c_epoch: int = 1
    ticket: str = 'none'
    # Violations
    is_overlap: bool = False
    is_unsurveyed: bool = False
    is_unleased: bool = False


Step = tuple[str, State]
Rule = Callable[[State, str], Iterator[Step]]


def _control_steps(state: State, mistake: str) -> Iterator[Step]:
    if state.phase == 'owned' and state.accepted:
        yield 'begin move', state._replace(phase='moving')
    if state.phase == 'moving' and _may_complete_move(state, mistake):
        yield 'propose completion', state._replace(is_completion_proposed=True)
    if state.phase == 'moving' and state.is_completion_proposed:
        yield 'complete move', state._replace(phase='moved', u2_granted=True)
    if state.epoch == 1:
        # In ``tickets``, where ``c_epoch`` is not 0, B sends no calls.
        yield (
            'assign dispatcher B',
            state._replace(
                epoch=2,
                has_applied_move=state.phase != 'owned',
                is_ticket_outstanding=False,
                is_survey_complete=not state.c_registered
                or _skips_survey(mistake),
                is_idle_reported=False,
                is_loss_reported=False,
                sequence=_MAX_CALLS if state.c_epoch else 0,
                pending=None,
                accepted=state.accepted if state.c_epoch else None,
            ),
        )
    may_remove = mistake == 'remove a VM during its lease' or not state.c_leased
    if state.c_registered and may_remove:
        yield (
            'remove C',
            state._replace(
                c_registered=False,
                is_ticket_outstanding=False,
                is_survey_complete=True,
            ),
        )


def _may_complete_move(state: State, mistake: str) -> bool:
    """Return whether the leader may end the ownership of upstream 1."""
    if state.is_idle_reported and _is_revoked(state, mistake):
        return True
    waits_for_lease = mistake != 'complete a loss while the grant lease runs'
    if not state.is_loss_reported or (waits_for_lease and state.u1_leased):
        return False
    if mistake == 'complete a loss before all VMs apply the move':
        return True
    has_c_stopped = state.c_applied_move or not state.c_leased
    return has_c_stopped and state.ticket != 'held'


def _is_revoked(state: State, mistake: str) -> bool:
    call = state.accepted
    if mistake == 'report the release before the answer' and state.pending:
        call = state.pending
    return call is not None and not call.is_granted


def _dispatcher_steps(state: State, mistake: str) -> Iterator[Step]:
    if state.phase == 'moving' and not state.has_applied_move:
        # In epoch 1 the dispatcher is A, which issues no more tickets from
        # here on, even after B has replaced it.
        yield (
            'apply the move',
            state._replace(
                has_applied_move=True,
                a_issues=state.a_issues and state.epoch > 1,
            ),
        )
    may_release = (
        state.is_survey_complete and not state.is_ticket_outstanding
    ) or mistake == 'release while a ticket is outstanding'
    if state.has_applied_move and may_release and not state.is_idle_reported:
        yield 'report idle', state._replace(is_idle_reported=True)
    may_renew = (
        not state.is_loss_reported or mistake == 'renew grants after a loss'
    )
    may_call = state.pending is None and len(state.calls) < _MAX_IN_FLIGHT
    may_call = may_call and state.sequence < _MAX_CALLS
    if may_renew and may_call and state.phase != 'moved':
        call = Call(
            state.epoch,
            state.sequence + 1,
            _should_grant(state, mistake),
        )
        yield (
            'call',
            state._replace(
                sequence=call.sequence,
                pending=call,
                calls=state.calls | {call},
            ),
        )
    if state.pending is not None:
        yield 'give up the call', state._replace(pending=None)
    if not state.is_loss_reported and state.accepted:
        yield (
            'report the loss',
            state._replace(is_loss_reported=True, pending=None),
        )


def _should_grant(state: State, mistake: str) -> bool:
    if not state.has_applied_move:
        return True
    if mistake == 'grant a moving shard again' and not state.is_idle_reported:
        return True
    if state.is_idle_reported:
        return False
    return state.accepted is not None and state.accepted.is_granted


def _upstream_steps(state: State, mistake: str) -> Iterator[Step]:
    for call in state.calls:
        yield f'deliver {call}', _deliver(state, call, mistake)
        yield f'lose {call}', state._replace(calls=state.calls - {call})
        if mistake == 'accept a call for another process':
            # Without the mistake, this equals the loss of the call.
            yield (
                f'accept {call} at upstream 2',
                state._replace(
                    calls=state.calls - {call},
                    u2_granted=state.u2_granted or call.is_granted,
                ),
            )
    if state.u1_leased and state.is_loss_reported:
        stale = frozenset(call._replace(is_stale=True) for call in state.calls)
        yield 'grant lease ends', state._replace(u1_leased=False, calls=stale)


def _deliver(state: State, call: Call, mistake: str) -> State:
    state = state._replace(calls=state.calls - {call})
    position = (call.epoch, call.sequence)
    is_outdated = position <= state.position
    if mistake == 'ignore the sequence of calls':
        is_outdated = call.epoch < state.position[0]
    if is_outdated:
        return state
    state = state._replace(
        position=position,
        u1_granted=call.is_granted,
        u1_leased=state.u1_leased or not call.is_stale,
    )
    if state.pending == call._replace(is_stale=False):
        return state._replace(pending=None, accepted=call)
    return state


def _ticket_steps(state: State, mistake: str) -> Iterator[Step]:
    if state.a_issues and state.ticket == 'none':
        # After the commit of epoch 2, A may issue until it applies epoch 2.
        yield (
            'A issues',
            state._replace(
                ticket='sent',
                is_ticket_outstanding=state.epoch == 1
                or state.is_ticket_outstanding,
            ),
        )
    if state.a_issues:
        yield 'A stops', state._replace(a_issues=False)
    if state.ticket == 'sent':
        is_usable = state.c_leased and not state.c_applied_move
        if mistake != 'use tickets of an earlier epoch':
            is_usable = is_usable and state.c_epoch == 1
        yield (
            'C receives',
            state._replace(ticket='held' if is_usable else 'discarded'),
        )
    if state.ticket == 'held':
        if state.c_leased or mistake == 'skip the lease check before the start':
            yield 'C starts', _start(state)
        yield 'the ticket expires', state._replace(ticket='discarded')
    if state.ticket in {'started', 'discarded'} and state.is_ticket_outstanding:
        yield (
            'C returns the ticket',
            state._replace(ticket='returned', is_ticket_outstanding=False),
        )


def _start(state: State) -> State:
    has_b_surveyed = state.epoch == 2 and state.is_survey_complete
    return state._replace(
        ticket='started',
        is_overlap=state.is_overlap or state.u2_granted,
        is_unsurveyed=state.is_unsurveyed
        or (has_b_surveyed and not state.is_ticket_outstanding),
        is_unleased=state.is_unleased or not state.c_leased,
    )


def _vm_steps(state: State, mistake: str) -> Iterator[Step]:
    if state.phase != 'owned' and not state.c_applied_move:
        yield 'C applies the move', state._replace(c_applied_move=True)
    if state.c_leased:
        yield "C's lease ends", state._replace(c_leased=False)
    elif not state.c_registered:
        # C registers again, has the current state and discards its tickets.
        is_unused = state.ticket in {'sent', 'held'}
        yield (
            'C registers',
            state._replace(
                c_leased=True,
                c_registered=True,
                c_applied_move=state.phase != 'owned',
                c_epoch=state.epoch,
                ticket='discarded' if is_unused else state.ticket,
            ),
        )
    if state.c_registered and not state.is_survey_complete:
        yield (
            'C answers the survey',
            state._replace(
                c_epoch=2,
                is_survey_complete=True,
                is_ticket_outstanding=state.ticket in {'held', 'started'},
            ),
        )


def _skips_survey(mistake: str) -> bool:
    return mistake == 'issue before the survey is complete'


#: In ``grants`` C has applied every change, its epoch is 0 and the survey is
#: always complete; in ``tickets`` no call remains to be sent and upstream 1 has
#: no grant.
_SCENARIOS: Final[Mapping[str, tuple[State, tuple[Rule, ...]]]] = (
    MappingProxyType(
        {
            'grants': (
                State(c_applied_move=True, c_registered=False, c_epoch=0),
                (_control_steps, _dispatcher_steps, _upstream_steps),
            ),
            'tickets': (
                State(sequence=_MAX_CALLS, accepted=Call(1, _MAX_CALLS, False)),
                (_control_steps, _dispatcher_steps, _ticket_steps, _vm_steps),
            ),
        }
    )
)


def make_protocol(scenario: str, mistake: str = '') -> Protocol:
    """Return one scenario, with one of ``MISTAKES`` put into its rules."""
    initial, rules = _SCENARIOS[scenario]

    def list_steps(state: State) -> list[Step]:
        return [step for rule in rules for step in rule(state, mistake)]

    return Protocol(
        name='takeover',
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=list_steps,
        invariants={
            'one_owner': lambda values: (
                not (
                    values['u1_granted']
                    and values['u1_leased']
                    and values['u2_granted']
                )
            ),
            'one_acceptor': lambda values: not values['is_overlap'],
            'one_dispatcher': lambda values: not values['is_unsurveyed'],
            'ticket_lease': lambda values: not values['is_unleased'],
        },
    )
