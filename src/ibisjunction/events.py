"""Numbered log events.

Each routing or placement decision is one log line that starts with the event's
number. ``docs/log-events.md`` explains every number; a test compares the two.
"""

import enum
import logging
from typing import Final

#: Attributes of log records that hold the event and its fields.
EVENT_ATTRIBUTE: Final = 'ibis_event'
FIELDS_ATTRIBUTE: Final = 'ibis_fields'


class Event(enum.Enum):
    """An event with its stable number and short name.

    Numbers are never reused: 1xx process, 2xx control log, 3xx membership,
    4xx placement and ownership, 5xx dispatch, 6xx routing, 7xx upstreams,
    8xx peers, 9xx configuration and terms.
    """

    DAEMON_STARTED = (101, 'daemon started')
    DAEMON_DRAINING = (102, 'daemon is draining')
    DAEMON_STOPPED = (103, 'daemon stopped')
    TASK_FAILED = (104, 'daemon stopped because a task failed')
    SETTINGS_RELOADED = (105, 'settings reloaded')
    SETTINGS_REJECTED = (106, 'changed settings rejected')
    LOOP_LATE = (107, 'event loop was late')
    LEADER_ELECTED = (201, 'control leader elected')
    LEADER_STOPPED = (202, 'control leader stopped acting')
    VOTERS_CHANGED = (203, 'voters changed')
    SNAPSHOT_SAVED = (204, 'control snapshot saved')
    SNAPSHOT_INSTALLED = (205, 'control snapshot installed')
    STORAGE_FAILED = (206, 'control storage failed')
    STORAGE_REFUSED = (207, 'control storage refused')
    STORAGE_FULL = (208, 'control storage is full, writes wait')
    COMMAND_PROPOSED = (209, 'command proposed')
    CALL_ANSWERED = (210, 'call answered')
    CHECK_INS_PUT_OFF = (211, 'check-ins put off')
    LEASE_HELD = (301, 'VM lease obtained')
    LEASE_LOST = (302, 'VM lease ran out')
    VM_LOST = (304, 'VM lost')
    RELAY_CHOSEN = (305, 'leader asked through another VM')
    LEADER_REACHED = (306, 'leader reached again')
    VIEW_UPDATES = (307, 'fleet view updates')
    DISPATCHER_ASSIGNED = (401, 'dispatcher assigned')
    SHARDS_ASSIGNED = (402, 'shards assigned')
    MOVE_STARTED = (403, 'move started')
    MOVE_COMPLETED = (404, 'move completed')
    GRANT_ACCEPTED = (405, 'upstream accepted its grants')
    GRANT_FAILED = (406, 'upstream did not accept its grants')
    SHARD_RELEASED = (407, 'shard released')
    TAKEOVER_STARTED = (408, 'survey of tickets started')
    TAKEOVER_COMPLETED = (409, 'survey of tickets completed')
    TICKET_GRANTED = (501, 'ticket granted')
    TICKET_REFUSED = (502, 'ticket refused')
    LIMIT_CHANGED = (503, 'limit changed')
    BREAKER_OPENED = (504, 'breaker opened')
    BREAKER_CLOSED = (505, 'breaker closed')
    DISPATCHER_SILENT = (506, 'dispatcher did not answer')
    UPSTREAM_COLD = (510, 'upstream is cold')
    UPSTREAM_WARM = (511, 'upstream is warm')
    TOO_LITTLE_ROOM = (520, 'too little room')
    REQUEST_ROUTED = (601, 'request routed')
    REQUEST_ANSWERED = (602, 'request answered')
    REQUEST_REFUSED = (603, 'request refused')
    REQUEST_FAILED = (604, 'request failed')
    RECORD_REFUSED = (605, 'request refused by its record')
    LEDGER_COMPLETE = (606, 'ledger is complete')
    REQUEST_BLOCKED = (607, 'request blocked after crashes')
    REQUEST_SENT = (608, 'request sent to an upstream')
    REQUEST_GRANTED = (609, 'request may be sent')
    REQUEST_REPEATED = (610, 'request is sent again')
    REQUEST_OVERLAPS = (611, 'request runs beside earlier ones')
    REQUEST_HEDGED = (612, 'request is slow')
    HEDGE_WON = (613, 'second attempt has answered first')
    SHUTDOWN_TOO_SHORT = (614, 'request does not fit in the shutdown')
    REQUEST_CUT = (615, 'connection ended under the request')
    REQUEST_LATE = (616, 'request ended after its timeout')
    LINK_USED = (630, 'use of the link')
    BODY_STARTED = (631, 'large body may be sent')
    ANSWER_ASKED = (632, 'large answer may be asked for')
    BODY_DROPPED = (620, 'body dropped for lack of memory')
    CONNECTION_DROPPED = (621, 'connection dropped for lack of room')
    ANSWER_DROPPED = (622, 'answer dropped that its caller did not take')
    UPSTREAM_ANNOUNCED = (701, 'upstream announced')
    UPSTREAM_DRAINING = (702, 'upstream is draining')
    UPSTREAM_REMOVED = (703, 'upstream removed')
    CANCELLED_AT_UPSTREAM = (705, 'request cancelled at upstream')
    CANCELLATION_FAILED = (706, 'request not cancelled at upstream')
    CONNECTION_SILENT = (707, 'connection was silent, upstream answers')
    UPSTREAM_LOST = (704, 'upstream lost')
    DOMAIN_EVACUATED = (710, 'failure domain is evacuated')
    DOMAIN_RESTORED = (711, 'failure domain is no longer evacuated')
    MESSAGE_REJECTED = (801, 'peer message rejected')
    PEER_REDIALLED = (802, 'peer link redialled')
    PEER_TRAFFIC = (803, 'peer traffic')
    PEER_UNREACHABLE = (804, 'messages to a peer discarded')
    REVISION_PUBLISHED = (901, 'revision published')
    PUBLICATION_REJECTED = (902, 'publication rejected')
    TERMS_RENEWED = (903, 'terms renewed')

    def __init__(self, number: int, summary: str) -> None:
        """Store the number and the summary of the member."""
        self.number = number
        self.summary = summary


def log_event(
    logger: logging.Logger,
    event: Event,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Write one line: number, summary and ``name=value`` fields."""
    if not logger.isEnabledFor(level):
        return
    details = [f'{name}={value}' for name, value in fields.items()]
    line = ' '.join((f'E{event.number}', event.summary, *details))
    extra = {EVENT_ATTRIBUTE: event, FIELDS_ATTRIBUTE: fields}
    logger.log(level, '%s', line, extra=extra)
