"""What a leaf call costs more when another daemon is its gateway."""

from bench_lib import objects
from bench_lib.verdict import LATENCY, pick

LEAFS = 230
FLEETS = (1, 3, 7)


def measure(fleet, names, count):
    """One wide query load over `count` daemons; processor time of them all."""
    fleet.start_daemons(count, threads=1)
    fleet.apply(fleet.leaf_objects(names, slots=16, connections=100)
                + objects.whole_service("wide", objects.ring(names, 1),
                                        priority="diagnostic",
                                        deadline_ms=2000, hedge_budget=0))
    fleet.wait_ready()
    calls = sum(one["calls"] for one in fleet.leaf_stats().values())
    cpu = fleet.daemon_cpu_seconds()
    group = fleet.load("cost", f"load-{count}")["groups"]["wide"]
    cpu = fleet.daemon_cpu_seconds() - cpu
    calls = sum(one["calls"] for one in fleet.leaf_stats().values()) - calls
    fleet.stop_daemons()
    return {**pick(group, *LATENCY),
            "cpu_us_per_leaf_call": round(cpu * 1e6 / max(1, calls), 2)}


def hop(fleet, verdict):
    """A fan-out of 230 through 1, 3 and 7 daemons, one load for all."""
    names = [f"leaf-{i + 1}" for i in range(LEAFS)]
    fleet.start_platform()
    fleet.start_leafs(names, {"service_ms": 5, "slots": 16, "queue": 1000,
                              "connections": 100})
    rows = {count: measure(fleet, names, count) for count in FLEETS}
    alone = rows[1]["cpu_us_per_leaf_call"]
    verdict.baseline = {"kind": "1 daemon: no call crosses", **rows[1]}
    # With n daemons, (n - 1) / n of the calls go through another one.
    verdict.ibismux = {f"{count} daemons": {
        **row, "cpu_us_per_hop": round((row["cpu_us_per_leaf_call"] - alone)
                                       * count / (count - 1), 2)}
        for count, row in rows.items() if count > 1}
    verdict.goal("all queries good",
                 all(row["ok"] == row["sent"] for row in rows.values()))
