"""Whether a request may have run at an upstream."""

import enum
from typing import Final

#: Response header that carries the verdict to the caller.
VERDICT_HEADER: Final = 'Ibis-Verdict'


class Verdict(enum.Enum):
    """What is known about the execution of a request.

    The value is the text of the ``Ibis-Verdict`` header.
    """

    #: No upstream has run or will run the request. Sending it again is safe.
    NOT_RUN = 'not-run'
    #: Part of the request may have reached an upstream.
    MAY_HAVE_RUN = 'may-have-run'
    #: An upstream answered the request.
    RAN = 'ran'

    def combine(self, other: 'Verdict') -> 'Verdict':
        """Combine the verdicts of two attempts of the same request.

        ``RAN`` prevails over ``MAY_HAVE_RUN``, and both over ``NOT_RUN``.
        """
        for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
            if verdict in {self, other}:
                return verdict
        return Verdict.NOT_RUN


def parse_verdict(text: str | None) -> Verdict | None:
    """Return the verdict in a header, or ``None`` without a valid one."""
    try:
        return Verdict(text)
    except ValueError:
        return None
