"""The soak of planned stops: daemons get SIGTERM in series that overlap, while
callers go on using their connections. Checked is that no request that a daemon has
read ends without a complete answer, that what was refused has not run, and that each
daemon exits in time.

All callers are one loop over plain sockets, so that half answers are seen. When a
connection ended is taken as the last look that found it open: a busy machine makes
that time too early, which is to the daemon's advantage, and never too late."""

import os
import random
import select
import signal
import threading
import time
from collections import Counter

import soak_calm
from soak_callers import ROUTE_TIMEOUT_MS, Caller

LIMIT_SECONDS = 2.0
# A request whose last byte crosses the close may be lost, unless it was passed on.
CROSSING_SECONDS = 0.2
CALLERS = 40
LOOK_SECONDS = 0.01
# For the last slow readers, once all daemons are gone.
REST_SECONDS = 3.0
# A daemon that still runs so long after SIGTERM hangs.
HANGS_SECONDS = 10.0
EVENTS = ("drain", "stop_limit", "stop")


class Play:
    """One run: the stops, the faults of leafs, and the callers."""

    def __init__(self, site, seed):
        self.site, self.random = site, random.Random(seed)
        self.faults = random.Random(seed + 1)
        self.epoll, self.watched = select.epoll(), {}
        self.open_at = 0.0  # Start of the last look before this one.
        self.children, self.ended, self.version = [], [], 1
        for child in site.daemons:
            self.add(child)

    def add(self, child):
        child.term_at, child.exit_at = None, None
        self.children.append(child)
        # Readable once the process has ended.
        self.watch(os.pidfd_open(child.process.pid), select.EPOLLIN, child)

    def watch(self, descriptor, events, owner):
        self.watched[descriptor] = owner
        self.epoll.register(descriptor, events)

    def forget(self, descriptor):
        if self.watched.pop(descriptor, None):
            self.epoll.unregister(descriptor)

    def running(self, seconds):
        """The daemons that got no SIGTERM, or that got it less than `seconds` ago."""
        now = time.monotonic()
        return [child for child in self.children
                if child.term_at is None or now - child.term_at < seconds]

    def configure(self, connections=40):
        """Puts a new version into force; services get at most `connections` each."""
        self.version += 1
        wanted = soak_calm.configuration(self.version, "patient")
        for route in wanted["Routes"]:
            route["TimeoutMs"] = ROUTE_TIMEOUT_MS
        for service in wanted["Services"]:
            service["MaxConns"] = connections
        self.site.fake("PUT", "config", wanted)

    def await_configuration(self):
        name = self.site.prefix + "ask"
        for child in self.children:
            port = child.ports["caller_port"]
            soak_calm.wait_until(
                lambda port=port: soak_calm.ask(port, name, "/patient/1")[0] == 200)

    def stop(self, child):
        if self.faults.random() < 0.25:
            child.signal(signal.SIGHUP)
            time.sleep(self.faults.choice((0, 0, 0.002, 0.02)))
        child.signal(signal.SIGTERM)
        child.term_at = time.monotonic()

    def strike_until(self, until):
        """Stops daemons, changes leafs and settings; each stopped daemon is started
        again, at once or when it has gone."""
        rng = self.faults
        gravity = rng.choice((0.5, 0.7, 0.9))
        for _ in range(rng.randrange(8)):
            self.site.fake("PUT", "leafs", leaf_change(rng, gravity))
        while time.monotonic() < until:
            time.sleep(rng.uniform(0.02, 0.3))
            number = rng.randrange(3)
            child = self.site.daemons[number]
            if child.term_at is None and rng.random() < 0.3:
                self.stop(child)
            elif child.term_at and child.exit_at is None and rng.random() < 0.2:
                child.signal(signal.SIGTERM)
            elif rng.random() < 0.7:
                self.site.fake("PUT", "leafs", leaf_change(rng, gravity))
            elif rng.random() < 0.5:
                self.configure(rng.choice((2, 5, 40)))
            elif child.term_at is None:
                child.signal(signal.SIGHUP)
            if child.term_at and (child.exit_at or rng.random() < 0.5):
                self.site.daemons[number] = self.site.start(number)
                self.add(self.site.daemons[number])
                if rng.random() < 0.05:
                    self.stop(self.site.daemons[number])
        for child in self.children:
            if child.term_at is None:
                self.stop(child)

    def look(self):
        started = time.monotonic()
        for descriptor, events in self.epoll.poll(LOOK_SECONDS):
            owner = self.watched.get(descriptor)
            if isinstance(owner, Caller):
                owner.on_event(events)
            elif owner is not None:
                owner.process.wait()
                owner.exit_at = self.open_at
                self.forget(descriptor)
                os.close(descriptor)
        self.open_at = started

    def run(self, seconds):
        self.configure()
        self.await_configuration()
        striker = threading.Thread(target=self.strike_until,
                                   args=(time.monotonic() + seconds,))
        callers = [Caller(self, number) for number in range(CALLERS)]
        striker.start()
        all_gone = None
        while all_gone is None or (time.monotonic() < all_gone + REST_SECONDS and
                                   any(caller.exchange for caller in callers)):
            self.look()
            now = time.monotonic()
            for caller in callers:
                caller.step(now)
            if all_gone is None and not striker.is_alive() and all(
                    child.exit_at or now > child.term_at + HANGS_SECONDS
                    for child in self.children):
                all_gone = now
        for caller in callers:
            if caller.exchange:
                caller.finish("still open")


def leaf_change(rng, gravity):
    """`gravity`: how likely it is a fault, and not the end of one."""
    change = {"service": rng.choice(soak_calm.SERVICES)}
    if rng.random() < 0.6:
        change["index"] = rng.randrange(3)
    choice = rng.choice(("silent", "silent", "work_ms", "work_ms", "sheds", "fails",
                         "restart", "crash"))
    if rng.random() > gravity:
        change.update(silent=False, sheds=False, fails=False, work_ms=0,
                      restart=rng.random() < 0.5)  # Also of one that has crashed.
    elif choice == "work_ms":
        change[choice] = rng.choice((0, 0, 40, 400, 1500, 3000))
    else:
        change[choice] = choice in ("restart", "crash") or rng.random() < 0.8
    return change


def log_lines(child):
    with open(child.log, encoding="utf-8") as file:
        return [line.strip() for line in file
                if any(f'"event":"{event}"' in line for event in EVENTS)]


def check(play, runs):
    """What the stops met, how the requests ended, and the promises that were broken,
    some lines each."""
    counts, in_flight, broken = Counter(), 0, []

    def add(what, child):
        broken.append("\n        ".join([what] + log_lines(child)))

    for exchange in play.ended:
        ran = sum(row.get(exchange.name, 0) for row in runs.values())
        how, child = exchange.status, exchange.child
        text = (f"{exchange.name} {exchange.kind} at {child.name}: status {how}, "
                f"{exchange.fault}, {len(exchange.data)} bytes came, last byte sent "
                f"{exchange.at(exchange.sent_at)}, end {exchange.at(exchange.ended_at)} "
                f"after SIGTERM, {ran} runs")
        if exchange.fault is None:
            if exchange.kind == "order" and how in (503, 429, 408, 421) and ran:
                add("refused and run: " + text, child)
        elif exchange.data:
            add("half an answer: " + text, child)
        elif exchange.sent_at is None:
            how = "unsent"
        elif not ran and exchange.ended_at - exchange.sent_at < CROSSING_SECONDS:
            how = "crossed"
        else:
            add("no answer: " + text, child)
        counts[str(how)] += 1
        if exchange.sent_at and child.term_at:
            in_flight += exchange.sent_at < child.term_at < exchange.ended_at
    for child in play.children:
        if child.exit_at is None:
            add(f"{child.name} still runs", child)
        elif child.process.returncode != 0:
            add(f"{child.name}: exit code {child.process.returncode}, "
                f"{child.exit_at - child.term_at:.3f} s after SIGTERM", child)
        elif child.exit_at - child.term_at > LIMIT_SECONDS:
            add(f"{child.name}: exit {child.exit_at - child.term_at:.3f} s after "
                f"SIGTERM, the limit is {LIMIT_SECONDS} s", child)
    lines = [line for child in play.children for line in log_lines(child)]
    foreign = sum(not name.startswith(play.site.prefix)
                  for row in runs.values() for name in row)
    stops = (f"{len(play.children)} stops, {in_flight} requests in flight at SIGTERM, "
             f"{sum('stop_limit' in line for line in lines)} stops out of time, "
             f"{foreign} requests of runs beside this one")
    return stops, counts, broken


def play(site, seed, seconds):
    """One run. @return The seed, and what `check()` found."""
    one = Play(site, seed)
    one.run(seconds)
    time.sleep(0.3)  # The last lines of the logs.
    return (seed, *check(one, site.fake("GET", "runs")))


def text_of(seed, stops, counts, broken):
    ended = ", ".join(f"{how}: {count}" for how, count in sorted(counts.items()))
    return [f"seed {seed}: {stops}; {sum(counts.values())} requests ({ended}); "
            f"{len(broken)} promises broken"] + ["    " + line for line in broken[:8]]
