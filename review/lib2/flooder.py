"""A server that sends bytes without end, until the caller closes.

Arguments: host, port, mode. It runs as a process of its own.
"""

import socket
import sys
import threading

PIECES = {
    # A head that does not end: one long field, or many fields.
    'field': (b'HTTP/1.1 200 OK\r\nX-Field: ', b'x' * 65536),
    'fields': (b'HTTP/1.1 200 OK\r\n', b'X-Field: xxxxxxxx\r\n' * 4096),
    # Interim answers that no final one follows.
    'interim': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 2000),
    # Bodies that do not end.
    'chunks': (
        b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n'
        b'Attempt-Id: %(id)s\r\n\r\n',
        b'1\r\nx\r\n' * 8192,
    ),
    'largechunks': (
        b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n'
        b'Attempt-Id: %(id)s\r\n\r\n',
        b'10000\r\n' + b'x' * 65536 + b'\r\n',
    ),
    'unframed': (
        b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nAttempt-Id: %(id)s\r\n\r\n',
        b'x' * 65536,
    ),
    # Bytes that are no answer at all.
    'garbage': (b'', b'\x00\x01\x02garbage ' * 5000),
    'newlines': (b'', b'\r\n' * 30000),
    # Whole answers to requests that nobody sent, one after the other.
    'answers': (
        b'',
        b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nAttempt-Id: f00\r\n'
        b'Content-Length: 0\r\n\r\n' * 1000,
    ),
}


def serve(connection, mode):
    first, piece = PIECES[mode]
    try:
        data = b''
        while b'\r\n\r\n' not in data:
            part = connection.recv(65536)
            if not part:
                return
            data += part
        attempt = b''
        for line in data.split(b'\r\n'):
            if line.lower().startswith(b'attempt-id:'):
                attempt = line.partition(b':')[2].strip()
        connection.sendall(first.replace(b'%(id)s', attempt))
        while True:
            connection.sendall(piece)
    except OSError:
        pass
    finally:
        connection.close()


def main():
    host, port, mode = sys.argv[1], int(sys.argv[2]), sys.argv[3]
    listener = socket.create_server((host, port), backlog=128)
    print('listening', flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, mode), daemon=True).start()


main()
