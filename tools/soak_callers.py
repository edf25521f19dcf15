"""Callers of the soak of planned stops: plain sockets in one loop, so that the bytes
of half answers are seen."""

import select
import socket
import time

ROUTE_TIMEOUT_MS = 30000
METHODS = {"query": "GET", "page": "GET", "order": "POST"}


def parse(data):
    """Status, headers and how many bytes are beyond (below 0: missing from) the
    answer; None while its head is incomplete. Raises ValueError or KeyError where
    the bytes are no answer."""
    while True:
        head, mark, rest = bytes(data).partition(b"\r\n\r\n")
        if not mark:
            return None
        lines = head.split(b"\r\n")
        if not lines[0].startswith(b"HTTP/1.1 "):
            raise ValueError("no status line")
        status = int(lines[0].split()[1])
        headers = {name.strip().lower(): value.strip() for name, _, value in
                   (line.partition(b":") for line in lines[1:])}
        if status >= 200:
            return status, headers, len(rest) - int(headers[b"content-length"])
        data = rest  # After an interim answer.


class Exchange:
    """One request and what came back."""

    def __init__(self, name, kind, child, pieces):
        self.name, self.kind, self.child = name, kind, child
        self.pieces = pieces  # (when due, bytes) that are not sent yet.
        self.sent_at = None  # When the last byte was sent.
        self.ended_at = None  # When the connection ended, at the earliest.
        self.data = bytearray()
        self.status, self.fault = None, None

    def at(self, moment):
        """`moment` relative to the daemon's SIGTERM."""
        if moment is None or self.child.term_at is None:
            return "never" if moment is None else "before"
        return f"{moment - self.child.term_at:+.3f} s"


class Caller:
    """Sends one request after the other; its connection is used until it ends."""

    def __init__(self, play, number):
        self.play, self.number, self.random = play, number, play.random
        self.slow = number % 5 == 1  # Takes answers off in small bites.
        self.late = number % 5 == 2  # Sends only to daemons that are stopping.
        self.link, self.child, self.exchange = None, None, None
        self.count, self.next_at = 0, 0.0

    def step(self, now):
        if now < self.next_at:
            return
        if self.exchange is None:
            self.next_at = now + self.random.uniform(0, 0.15 if self.late else 0.01)
            self.begin(now)
        if self.exchange is not None and self.exchange.pieces:
            self.push(now)
        if self.exchange is not None and (self.slow or self.exchange.ended_at):
            self.next_at = now + (0.02 if self.slow else 0)
            self.pull()

    def begin(self, now):
        if self.link is None:
            self.connect()
        if self.link is None or (self.late and not self.child.term_at):
            return
        self.count += 1
        name = f"{self.play.site.prefix}c{self.number}-{self.count}"
        kind = self.random.choice(tuple(METHODS))
        body = bytes(self.random.choice((1, 1000, 100000))) if kind == "order" else b""
        patience = self.random.choice((400, 2500, ROUTE_TIMEOUT_MS, ROUTE_TIMEOUT_MS))
        text = (f"{METHODS[kind]} /{kind}/{self.count} HTTP/1.1\r\n"
                f"Host: search.example\r\nX-Request-Id: {name}\r\n"
                f"X-Deadline-Ms: {patience}\r\nContent-Length: {len(body)}\r\n\r\n")
        data = text.encode() + body
        cuts, due = [len(data)], [now]
        if self.random.random() < 0.05:
            cuts = sorted(self.random.sample(range(1, len(data)), 3)) + cuts
            due = sorted(now + self.random.uniform(0, 1.2) for _ in cuts)
        pieces = [(when, data[start:end])
                  for when, start, end in zip(due, [0] + cuts, cuts)]
        self.exchange = Exchange(name, kind, self.child, pieces)

    def connect(self):
        # Some connections cross the moment in which a daemon stops listening.
        known = self.play.running(0.3 if self.random.random() < 0.1 else 0)
        if not known:
            return
        self.child = self.random.choice(known)
        self.link = socket.socket()
        self.link.setblocking(False)
        if self.slow:
            self.link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2304)
        self.link.connect_ex(("127.0.0.1", self.child.ports["caller_port"]))
        reading = 0 if self.slow else select.EPOLLIN
        self.play.watch(self.link.fileno(), reading | select.EPOLLRDHUP, self)

    def push(self, now):
        exchange = self.exchange
        while exchange.pieces and exchange.pieces[0][0] <= now:
            due, piece = exchange.pieces[0]
            try:
                sent = self.link.send(piece)
            except BlockingIOError:
                return  # Not connected yet, or the daemon reads no faster.
            except OSError:
                self.pull()  # An answer may have come before the end.
                return
            exchange.pieces[0] = (due, piece[sent:])
            if sent == len(piece):
                exchange.pieces.pop(0)
        if not exchange.pieces and exchange.sent_at is None:
            exchange.sent_at = time.monotonic()

    def on_event(self, events):
        if events & (select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR):
            self.play.forget(self.link.fileno())
            if self.exchange is None:
                self.close()
                return
            self.exchange.ended_at = self.play.open_at
        if not self.slow:
            self.pull()

    def pull(self):
        exchange = self.exchange
        try:
            data = self.link.recv(16 if self.slow else 65536)
        except BlockingIOError:
            return
        except OSError as error:
            self.finish(f"connection failed: {error.strerror}")
            return
        if exchange is None or not data:
            self.finish("connection closed")
            return
        exchange.data += data
        try:
            answer = parse(exchange.data)
        except (ValueError, KeyError) as error:
            self.finish(f"no proper answer: {error!r}", keep=False)
            return
        if answer and answer[2] >= 0:
            exchange.status = answer[0]
            self.finish("bytes beyond the answer" if answer[2] else None,
                        keep=answer[1].get(b"connection") != b"close")

    def finish(self, fault, keep=None):
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            keep = keep and exchange.ended_at is None and not exchange.pieces
            exchange.fault = fault
            if exchange.ended_at is None:
                exchange.ended_at = self.play.open_at
            self.play.ended.append(exchange)
        if not keep:
            self.close()
        self.next_at = time.monotonic() + self.random.uniform(0, 0.06)

    def close(self):
        self.play.forget(self.link.fileno())
        self.link.close()
        self.link = None
