"""Experiments on change under load: snapshots, leafs that leave, restarts."""

import time
from signal import SIGKILL

from bench_lib import objects
from bench_lib.verdict import LATENCY, pick

FLIP_SECONDS = 2
FLIPS = 8


def flip(fleet, names, sequence):
    """A new snapshot of the service `index`: 6 shards, then 12, then 6..."""
    label = f"index-v{sequence}"
    parts = objects.shards("index", label, objects.ring(
        names, 2, 12 if sequence % 2 == 0 else 6))
    new = objects.snapshot("index", label, sequence, parts)
    # The leafs load the new snapshot first and keep the one before it.
    fleet.leaf_change("*", snapshots=[f"index-v{sequence - 1}", label])
    for item in [*parts, new]:
        fleet.put_patiently(item, 0, time.monotonic() + 5)


def snapshot(fleet, verdict):
    """Snapshots flip every 2 s, and shards split and merge, under load."""
    names = [f"leaf-{i + 1}" for i in range(6)]
    fleet.start_platform()
    fleet.start_leafs(names, {"service_ms": 5, "slots": 8, "queue": 100,
                              "connections": 60,
                              "distribution": "exponential"}, history=True)
    fleet.start_daemons(3)
    fleet.apply(fleet.leaf_objects(names, slots=8, connections=60)
                + objects.whole_service("index", objects.ring(names, 2),
                                        deadline_ms=1000))
    fleet.wait_ready()
    still = fleet.load("snapshot-still", "still", history=True)
    still = still["groups"]["index"]

    def flips(begin):
        for i in range(FLIPS):
            time.sleep(max(0, begin + 1 + i * FLIP_SECONDS
                           - time.monotonic()))
            flip(fleet, names, i + 2)

    moving = fleet.load("snapshot", "flips", history=True, during=flips)
    moving = moving["groups"]["index"]
    check = fleet.check_history()
    verdict.baseline = {"kind": "no flips", **pick(still, *LATENCY)}
    verdict.ibismux = {**pick(moving, *LATENCY, "restarts"), "check": check}
    good = moving["ok"] / max(1, moving["sent"])
    verdict.goal(f"{good:.3%} answered, at least 99.9%", good >= 0.999)
    verdict.goal("history without violation", check["exit"] == 0)
    verdict.goal("no part of another request, shard or snapshot",
                 moving["foreign"] == 0)


def drain(fleet, verdict):
    """Leafs drain, leave, start cold, are lost, or are slow, under load."""
    names = [f"leaf-{i + 1}" for i in range(8)]
    fleet.start_platform()
    fleet.start_leafs(names, {"service_ms": 8, "slots": 4, "queue": 50,
                              "connections": 60}, history=True)
    fleet.start_daemons(3)
    fleet.apply(fleet.leaf_objects(names, slots=4, connections=60)
                + objects.whole_service("bays", objects.ring(names, 2),
                                        priority="diagnostic",
                                        deadline_ms=1000))
    fleet.wait_ready()
    seen = {}

    def events(begin):
        def at(second):
            time.sleep(max(0, begin + second - time.monotonic()))

        at(3)
        fleet.leaf_change("leaf-1", state="draining")
        fleet.leaf_change("leaf-3", state="leaving")
        at(5.2)
        before = fleet.leaf_stats()
        at(8)
        after = fleet.leaf_stats()
        for name in ("leaf-1", "leaf-3"):
            seen[name] = after[name]["calls"] - before[name]["calls"]
        # It comes back cold: ten times slower, then ramping for 3 s.
        fleet.leaf_change("leaf-1", state="ready", cold=True, cold_ms=3000)
        fleet.leaf_change("leaf-3", state="ready")
        at(12)
        fleet.leaf_change("leaf-5", state="down")
        at(14)
        fleet.leaf_change("leaf-5", state="ready")
        fleet.leaf_change("leaf-6", health_state="ready", health_load=0,
                          service_ms=80)

    load = fleet.load("drain", "drain", history=True, during=events)
    phases = load["groups"]["bays"]["phases"]
    check = fleet.check_history()
    verdict.baseline = {"kind": "before anything happens",
                        **pick(phases["still"], *LATENCY)}
    verdict.ibismux = {name: pick(figures, *LATENCY)
                       for name, figures in phases.items() if name != "still"}
    verdict.ibismux["calls_to_leaving_after_2_s"] = seen
    verdict.ibismux["check"] = check
    total = load["groups"]["bays"]
    verdict.goal("no new work to a leaving leaf after 2.2 s "
                 f"({sum(seen.values())} calls in the 2.8 s after)",
                 sum(seen.values()) == 0)
    verdict.goal("no request cut", total["cut"] == 0)
    good = total["ok"] / max(1, total["sent"])
    verdict.goal(f"{good:.3%} answered, at least 99.9%", good >= 0.999)
    verdict.goal("history without violation", check["exit"] == 0)


def roll(fleet, begin, number):
    """Stops and starts each daemon in turn."""
    for i, daemon in enumerate(fleet.daemons):
        time.sleep(max(0, begin + 1 + i * 1.6 - time.monotonic()))
        daemon.stop(number)
        daemon.start()
        end = time.monotonic() + 5
        while not daemon.is_ready() and time.monotonic() < end:
            time.sleep(0.03)


def restart(fleet, verdict):
    """Seven daemons restart one after another; killed, then stopped."""
    names = [f"leaf-{i + 1}" for i in range(6)]
    fleet.start_platform()
    fleet.start_leafs(names, {"service_ms": 20, "slots": 8, "queue": 100,
                              "connections": 60}, history=True)
    fleet.start_daemons(7)
    fleet.apply(fleet.leaf_objects(names, slots=8, connections=60)
                + objects.whole_service("bays", objects.ring(names, 2),
                                        priority="diagnostic",
                                        deadline_ms=1500))
    fleet.wait_ready()
    groups = {}
    for label, number in (("killed", SIGKILL), ("stopped", 15)):
        groups[label] = fleet.load(
            "restart", label, history=label == "stopped",
            during=lambda begin, number=number: roll(fleet, begin, number)
        )["groups"]["bays"]
    check = fleet.check_history()
    verdict.baseline = {"kind": "SIGKILL", **pick(groups["killed"], *LATENCY)}
    stopped = groups["stopped"]
    verdict.ibismux = {**pick(stopped, *LATENCY), "check": check}
    verdict.goal(f"no request cut ({stopped['cut']} of {stopped['sent']})",
                 stopped["cut"] == 0)
    good = stopped["ok"] / max(1, stopped["sent"])
    verdict.goal(f"{good:.3%} answered, at least 99.9%", good >= 0.999)
    verdict.goal("history without violation", check["exit"] == 0)
