"""The grant rules of an upstream, as a stand-in keeps them."""

from ibisjunction.upstreams.protocol import GrantAnswer, GrantCall


class GrantBook:
    """Grants in force at one upstream.

    The lease is counted from the clock reading that the call echoes.
    """

    def __init__(self) -> None:
        """Start without grants."""
        self._position = (0, 0)
        self._until_ms = 0
        self._fences: dict[tuple[str, int], int] = {}

    def accept(self, call: GrantCall, now: int) -> GrantAnswer:
        """Take a call of a dispatcher, or refuse an older one."""
        position = (call.epoch, call.sequence)
        if position <= self._position:
            return GrantAnswer(
                accepted=False,
                clock=now,
                detail=f'epoch and sequence {self._position} are in force',
            )
        self._position = position
        if call.echo is None or call.echo > now:
            return GrantAnswer(accepted=False, clock=now, detail='no echo')
        self._until_ms = max(self._until_ms, call.echo + call.lease_ms)
        self._fences = {
            (grant.service, grant.shard): grant.fence for grant in call.grants
        }
        return GrantAnswer(accepted=True, clock=now)

    def allows(self, service: str, shard: int, fence: int, now: int) -> bool:
        """Return whether a request under this fence may run now."""
        if now >= self._until_ms:
            return False
        return self._fences.get((service, shard)) == fence
