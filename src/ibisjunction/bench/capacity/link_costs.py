"""Memory of links to other daemons."""

import contextlib
from typing import Final

import psutil
import pynng

from ibisjunction.bench.capacity.fit import Fit, fit_line

_KIB: Final = 1024
_LINK_COUNTS: Final = (50, 150, 300)
_SEND_QUEUE_LENGTH: Final = 256


def measure_links() -> Fit:
    """Return the resident memory of sending sockets, as a daemon opens them.

    All of them are connected to one listener of this process. The memory of its
    ends of the links is included, as a daemon also has one incoming link per
    peer.
    """
    process = psutil.Process()
    points = {}
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(
            pynng.Pull0(listen='tcp://127.0.0.1:0'),
        )
        address = str(listener.listeners[0].local_address)
        before = process.memory_info().rss
        opened = 0
        for count in _LINK_COUNTS:
            while opened < count:
                sender = pynng.Push0(send_buffer_size=_SEND_QUEUE_LENGTH)
                stack.enter_context(sender)
                sender.dial(f'tcp://{address}', block=True)
                sender.send(b'x' * _KIB)
                opened += 1
            points[count] = (process.memory_info().rss - before) / _KIB
    return fit_line('link to a peer', 'KiB', 'link', points)
