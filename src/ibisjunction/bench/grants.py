"""The rules by which a stand-in accepts and checks grants."""

from ibisjunction.upstreams.protocol import GrantAnswer, GrantCall


class GrantTable:
    """Grants in force at one process of an upstream.

    The lease starts at the clock reading that the call echoes, so a delayed
    call does not extend it. A call without an echo, or with an echo later than
    now, is refused; the answer carries the reading for the next call.
    """

    def __init__(self, incarnation: int) -> None:
        """Start without grants.

        :param incarnation: that of the process, as in its announcement.
        """
        self._incarnation = incarnation
        self._version = (0, 0)
        self._until_ms = 0
        self._fences: dict[tuple[str, int], int] = {}

    def accept(self, call: GrantCall, now: int) -> GrantAnswer | None:
        """Apply the grants of a call that is newer than the calls before.

        :return: ``None`` if the call is for another process. Its sender must
            not get a clock reading of this one.
        """
        if call.incarnation != self._incarnation:
            return None
        version = (call.epoch, call.sequence)
        if version <= self._version:
            return GrantAnswer(
                accepted=False,
                clock=now,
                detail=f'epoch and sequence {self._version} are in force',
            )
        self._version = version
        if call.echo is None or call.echo > now:
            return GrantAnswer(accepted=False, clock=now, detail='no echo')
        self._until_ms = max(self._until_ms, call.echo + call.lease_ms)
        self._fences = {
            (grant.service, grant.shard): grant.fence for grant in call.grants
        }
        return GrantAnswer(accepted=True, clock=now)

    def allows(self, service: str, shard: int, fence: int, now: int) -> bool:
        """Return whether a request with this fence may run now."""
        if now >= self._until_ms:
            return False
        return self._fences.get((service, shard)) == fence
