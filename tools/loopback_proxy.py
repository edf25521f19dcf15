"""A TCP proxy on loopback that makes trouble with the connections it carries."""

import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
# How often a connection that is held back looks whether it may go on.
LOOK_SECONDS = 0.02


class Proxy:
    """Carries connections from `port` to `target`, a port on loopback.

    Faults hold for connections that are open and for those to come:

        proxy.delay = 0.05        # seconds, each chunk, both ways
        proxy.held = {"up"}       # one way cut: towards the target ("down": back)
        proxy.reset()             # all open connections, at once
        proxy.heal()
    """

    def __init__(self, target):
        self.target = target
        self.delay = 0.0
        self.held = set()
        self.closed = False
        self.open = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def heal(self):
        self.delay = 0.0
        self.held = set()

    def reset(self):
        with self.lock:
            connections, self.open = self.open, set()
        for connection in connections:
            self.end(connection, reset=True)

    def close(self):
        self.closed = True
        self.heal()
        self.listener.close()
        self.reset()

    @staticmethod
    def end(connection, reset=False):
        try:
            if reset:
                # No linger: the other side gets a reset and not an orderly end.
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      struct.pack("ii", 1, 0))
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The other side has ended it already.
        connection.close()

    def accept(self):
        while not self.closed:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return  # `close()` has been called.
            try:
                far = socket.create_connection(("127.0.0.1", self.target), timeout=2)
            except OSError:
                self.end(near, reset=True)
                continue
            far.settimeout(None)
            with self.lock:
                self.open |= {near, far}
            for source, sink, way in ((near, far, "up"), (far, near, "down")):
                threading.Thread(target=self.carry, args=(source, sink, way),
                                 daemon=True).start()

    def carry(self, source, sink, way):
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.delay:
                    time.sleep(self.delay)
                while way in self.held and not self.closed:
                    time.sleep(LOOK_SECONDS)
                sink.sendall(data)
        except OSError:
            pass  # Reset by either side; both ends are closed below.
        with self.lock:
            self.open -= {source, sink}
        self.end(source)
        self.end(sink)
