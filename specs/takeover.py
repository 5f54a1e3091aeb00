"""Hand-over of a shard and take-over of its dispatcher.

One shard moves from upstream 1 to upstream 2, by plan or because upstream 1
is lost. VM A dispatches for upstream 1 under epoch 1 and VM B may replace it
under epoch 2. VM C asks A for one ticket. Upstream 1 checks no fences, so it
runs whatever C sends.

Time is left out: a lease ends at any moment, and what the code concludes from
the length of a lease is a guard here. One VM lease after a change is committed
every VM that still serves has applied it, and no ticket that was handed out
before may still be started; this becomes: C knows of the change or holds no
lease, and it holds no ticket.

The model is explored in two parts, each exhaustively: ``grants`` has the calls
to upstream 1 and no ticket; ``tickets`` has VM C and its ticket, and a revoked
grant is gone at once. ``MISTAKES`` names faults that can be put into the rules,
each with the part that shows it and the invariant that it breaks.
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
        'grant a moving shard anew': ('grants', 'one_owner'),
        'release while a ticket is out': ('tickets', 'one_acceptor'),
        'complete a loss before every VM knows': ('tickets', 'one_acceptor'),
        'issue before the survey is complete': ('tickets', 'one_dispatcher'),
        'use tickets of an earlier epoch': ('tickets', 'one_dispatcher'),
        'remove a VM whose lease runs': ('tickets', 'one_dispatcher'),
        'skip the lease check before the start': ('tickets', 'ticket_lease'),
    }
)
#: Calls per epoch: one to grant, one that is delayed and one to revoke.
_CALLS: Final = 3
#: Calls that may arrive at a time, the latest included.
_IN_FLIGHT: Final = 2


class Call(NamedTuple):
    """A grant call; a stale one starts no lease that still runs."""

    epoch: int
    sequence: int
    is_granted: bool
    is_stale: bool = False


class State(NamedTuple):
    """The whole system; ``is_late`` and the like record a violation."""

    # Control state
    phase: str = 'owned'
    epoch: int = 1
    is_ended: bool = False
    c_listed: bool = True
    # The dispatcher of the present epoch
    is_moving_known: bool = False
    is_ticket_out: bool = False
    has_survey: bool = True
    is_idle: bool = False
    is_lost: bool = False
    sequence: int = 0
    pending: Call | None = None
    accepted: Call | None = None
    # Upstream 1 and 2
    calls: frozenset[Call] = frozenset()
    position: tuple[int, int] = (0, 0)
    u1_granted: bool = False
    u1_leased: bool = False
    u2_granted: bool = False
    # VM A, as far as it issues tickets, and VM C
    a_issues: bool = True
    c_leased: bool = True
    c_knows_move: bool = False
    c_epoch: int = 1
    ticket: str = 'none'
    # Violations
    is_overlap: bool = False
    is_late: bool = False
    is_unleased: bool = False


Step = tuple[str, State]
Rule = Callable[[State, str], Iterator[Step]]


def _control(state: State, mistake: str) -> Iterator[Step]:
    if state.phase == 'owned' and state.accepted:
        yield 'begin move', state._replace(phase='moving')
    if state.phase == 'moving' and _has_ended(state, mistake):
        yield 'propose to complete', state._replace(is_ended=True)
    if state.phase == 'moving' and state.is_ended:
        yield 'complete move', state._replace(phase='moved', u2_granted=True)
    if state.epoch == 1:
        yield (
            'assign dispatcher B',
            state._replace(
                epoch=2,
                is_moving_known=state.phase != 'owned',
                is_ticket_out=False,
                has_survey=not state.c_listed or _skips_survey(mistake),
                is_idle=False,
                is_lost=False,
                sequence=_CALLS if state.c_epoch else 0,
                pending=None,
                accepted=state.accepted if state.c_epoch else None,
            ),
        )
    may_remove = mistake == 'remove a VM whose lease runs' or not state.c_leased
    if state.c_listed and may_remove:
        yield (
            'remove C',
            state._replace(
                c_listed=False,
                is_ticket_out=False,
                has_survey=True,
            ),
        )


def _has_ended(state: State, mistake: str) -> bool:
    """Return whether the former ownership has ended as the leader counts."""
    if state.is_idle and _is_revoked(state, mistake):
        return True
    waits = mistake != 'complete a loss while the grant lease runs'
    if not state.is_lost or (waits and state.u1_leased):
        return False
    if mistake == 'complete a loss before every VM knows':
        return True
    is_known = state.c_knows_move or not state.c_leased
    return is_known and state.ticket != 'held'


def _is_revoked(state: State, mistake: str) -> bool:
    call = state.accepted
    if mistake == 'report the release before the answer' and state.pending:
        call = state.pending
    return call is not None and not call.is_granted


def _dispatcher(state: State, mistake: str) -> Iterator[Step]:
    if state.phase == 'moving' and not state.is_moving_known:
        # A holds the shard from now on, also after B has replaced it.
        yield (
            'learn of the move',
            state._replace(
                is_moving_known=True,
                a_issues=state.a_issues and state.epoch > 1,
            ),
        )
    may_release = (
        state.has_survey and not state.is_ticket_out
    ) or mistake == 'release while a ticket is out'
    if state.is_moving_known and may_release and not state.is_idle:
        yield 'report idle', state._replace(is_idle=True)
    is_renewing = not state.is_lost or mistake == 'renew grants after a loss'
    is_free = state.pending is None and len(state.calls) < _IN_FLIGHT
    is_free = is_free and state.sequence < _CALLS
    if is_renewing and is_free and state.phase != 'moved':
        call = Call(
            state.epoch,
            state.sequence + 1,
            _wants_grant(state, mistake),
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
    if not state.is_lost and state.accepted:
        yield 'report the loss', state._replace(is_lost=True, pending=None)


def _wants_grant(state: State, mistake: str) -> bool:
    if not state.is_moving_known:
        return True
    if mistake == 'grant a moving shard anew' and not state.is_idle:
        return True
    if state.is_idle:
        return False
    return state.accepted is not None and state.accepted.is_granted


def _upstream(state: State, mistake: str) -> Iterator[Step]:
    for call in state.calls:
        yield f'deliver {call}', _deliver(state, call, mistake)
        yield f'lose {call}', state._replace(calls=state.calls - {call})
    if state.u1_leased and state.is_lost:
        stale = frozenset(call._replace(is_stale=True) for call in state.calls)
        yield 'grant lease ends', state._replace(u1_leased=False, calls=stale)


def _deliver(state: State, call: Call, mistake: str) -> State:
    state = state._replace(calls=state.calls - {call})
    position = (call.epoch, call.sequence)
    is_older = position <= state.position
    if mistake == 'ignore the sequence of calls':
        is_older = call.epoch < state.position[0]
    if is_older:
        return state
    state = state._replace(
        position=position,
        u1_granted=call.is_granted,
        u1_leased=state.u1_leased or not call.is_stale,
    )
    if state.pending == call._replace(is_stale=False):
        return state._replace(pending=None, accepted=call)
    return state


def _ticket(state: State, mistake: str) -> Iterator[Step]:
    if state.a_issues and state.ticket == 'none':
        # After the commit of epoch 2, A issues until it learns of it.
        yield (
            'A issues',
            state._replace(
                ticket='sent',
                is_ticket_out=state.epoch == 1 or state.is_ticket_out,
            ),
        )
    if state.a_issues:
        yield 'A stops', state._replace(a_issues=False)
    if state.ticket == 'sent':
        is_usable = state.c_leased and not state.c_knows_move
        if mistake != 'use tickets of an earlier epoch':
            is_usable = is_usable and state.c_epoch == 1
        yield 'C takes', state._replace(ticket='held' if is_usable else 'gone')
    if state.ticket == 'held':
        if state.c_leased or mistake == 'skip the lease check before the start':
            yield 'C starts', _start(state)
        yield 'the ticket runs out', state._replace(ticket='gone')
    if state.ticket in {'started', 'gone'} and state.is_ticket_out:
        yield (
            'C gives back',
            state._replace(ticket='returned', is_ticket_out=False),
        )


def _start(state: State) -> State:
    is_replaced = state.epoch == 2 and state.has_survey
    return state._replace(
        ticket='started',
        is_overlap=state.is_overlap or state.u2_granted,
        is_late=state.is_late or (is_replaced and not state.is_ticket_out),
        is_unleased=state.is_unleased or not state.c_leased,
    )


def _vm(state: State, mistake: str) -> Iterator[Step]:
    if state.phase != 'owned' and not state.c_knows_move:
        yield 'C learns of the move', state._replace(c_knows_move=True)
    if state.c_leased:
        yield "C's lease ends", state._replace(c_leased=False)
    elif not state.c_listed:
        # It registers again, knows the present state and drops its tickets.
        is_unused = state.ticket in {'sent', 'held'}
        yield (
            'C registers',
            state._replace(
                c_leased=True,
                c_listed=True,
                c_knows_move=state.phase != 'owned',
                c_epoch=state.epoch,
                ticket='gone' if is_unused else state.ticket,
            ),
        )
    if state.c_listed and not state.has_survey:
        yield (
            'C answers the survey',
            state._replace(
                c_epoch=2,
                has_survey=True,
                is_ticket_out=state.ticket in {'held', 'started'},
            ),
        )


def _skips_survey(mistake: str) -> bool:
    return mistake == 'issue before the survey is complete'


#: In ``grants`` C knows of every change and the survey is always complete; in
#: ``tickets`` no call is left to send and upstream 1 has no grant.
_PARTS: Final[Mapping[str, tuple[State, tuple[Rule, ...]]]] = MappingProxyType(
    {
        'grants': (
            State(c_knows_move=True, c_listed=False, c_epoch=0),
            (_control, _dispatcher, _upstream),
        ),
        'tickets': (
            State(sequence=_CALLS, accepted=Call(1, _CALLS, False)),
            (_control, _dispatcher, _ticket, _vm),
        ),
    }
)


def build_model(part: str, mistake: str = '') -> Protocol:
    """Return a part, with one of ``MISTAKES`` put into its rules."""
    initial, rules = _PARTS[part]

    def list_steps(state: State) -> list[Step]:
        return [step for rule in rules for step in rule(state, mistake)]

    return Protocol(
        name='takeover',
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=list_steps,
        invariants={
            'one_owner': lambda now: (
                not (
                    now['u1_granted'] and now['u1_leased'] and now['u2_granted']
                )
            ),
            'one_acceptor': lambda now: not now['is_overlap'],
            'one_dispatcher': lambda now: not now['is_late'],
            'ticket_lease': lambda now: not now['is_unleased'],
        },
    )
