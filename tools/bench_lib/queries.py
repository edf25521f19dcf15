"""Experiments on queries: cost, tail, overload."""

import json
import subprocess
import time

from bench_lib import objects
from bench_lib.fleet import program
from bench_lib.verdict import LATENCY, pick

COST_LEAFS = 230
COST_RATE = 60
COST_SECONDS = 8


def cost(fleet, verdict):
    """A fan-out of 230 through one daemon beside a bare Beast client."""
    names = [f"leaf-{i + 1}" for i in range(COST_LEAFS)]
    fleet.start_platform()
    fleet.start_leafs(names, {"service_ms": 5, "slots": 16, "queue": 1000,
                              "connections": 100})
    ports = ",".join(str(fleet.leaf_ports[name]) for name in names)
    bare = json.loads(subprocess.run(
        [program("bench-bare-client"), "--ports", ports,
         "--rate", str(COST_RATE), "--seconds", str(COST_SECONDS)],
        capture_output=True, text=True, timeout=40, check=True).stdout)
    verdict.baseline = {"kind": "bare Beast client, one thread", **{
        key: round(value, 3) for key, value in bare.items()}}

    fleet.start_daemons(1, threads=1)
    fleet.apply(fleet.leaf_objects(names, slots=16, connections=100)
                + objects.whole_service("wide", objects.ring(names, 1),
                                        priority="diagnostic",
                                        deadline_ms=2000, hedge_budget=0))
    fleet.wait_ready()
    daemon = fleet.daemons[0]
    memory_before = daemon.resident_kb()
    cpu_before = daemon.cpu_seconds()
    group = fleet.load("cost", "load")["groups"]["wide"]
    used_us = (daemon.cpu_seconds() - cpu_before) * 1e6
    stats = fleet.leaf_stats().values()
    connections = sum(one["connections"] for one in stats)
    calls = sum(one["calls"] for one in stats) - bare["leaf_calls"]
    per_call = used_us / max(1, calls)
    verdict.ibismux = {
        **pick(group, *LATENCY),
        "cpu_us_per_leaf_call": round(per_call, 2),
        "cpu_us_per_query": round(used_us / max(1, group["ok"]), 1),
        "leaf_calls_counted_by_leafs": calls,
        "leaf_connections": connections,
        "kb_per_connection": round((daemon.resident_kb() - memory_before)
                                   / max(1, connections), 2)}
    ratio = per_call / bare["cpu_us_per_leaf_call"]
    verdict.ibismux["cpu_ratio"] = round(ratio, 2)
    verdict.goal("all queries good", group["ok"] == group["sent"])
    verdict.goal(f"processor time per leaf call {ratio:.2f} times the bare "
                 "client's, at most 2", ratio <= 2)


def tail(fleet, verdict):
    """1 % of calls 20 times slow, two replicas a shard; hedges off and on."""
    names = [f"leaf-{i + 1}" for i in range(12)]
    fleet.start_platform()
    fleet.start_leafs(names, {
        "service_ms": 5, "slots": 8, "queue": 200, "connections": 60,
        "straggle_share": 0.01, "straggle_factor": 20})
    fleet.start_daemons(3)
    shape = dict(priority="diagnostic", deadline_ms=2000)
    fleet.apply(
        fleet.leaf_objects(names, slots=8, connections=60)
        + objects.whole_service("plain", objects.ring(names, 2),
                                hedge_budget=0, **shape)
        + objects.whole_service("hedged", objects.ring(names, 2),
                                hedge_budget=0.05, **shape))
    fleet.wait_ready()
    groups = {}
    for label in ("plain", "hedged"):
        groups[label] = fleet.load(f"tail-{label}", label)["groups"][label]
    plain, hedged = groups["plain"], groups["hedged"]
    verdict.baseline = {"kind": "hedge_budget 0", **pick(plain, *LATENCY)}
    verdict.ibismux = pick(hedged, *LATENCY)
    ratio = hedged["p99_ms"] / max(0.001, plain["p99_ms"])
    extra = (hedged["leaf_calls_per_query"]
             / max(0.001, plain["leaf_calls_per_query"]) - 1)
    verdict.ibismux.update(p99_ratio=round(ratio, 3),
                           extra_leaf_calls=round(extra, 4))
    verdict.goal(f"p99 {ratio:.2f} of the baseline's, at most 0.4",
                 ratio <= 0.4)
    verdict.goal(f"extra leaf calls {extra:.1%}, at most 5%", extra <= 0.05)
    verdict.goal("coverage no lower",
                 hedged["coverage"] >= plain["coverage"])


CAPACITY_PER_S = 400  # 6 leafs of 4 slots, 3 calls of 20 ms a query.
CLASSES = {"diagnostic": "diagnostic", "bench": "bench", "editor": "editor"}


def overload(fleet, verdict):
    """Twice the capacity for 20 s, with priority classes and without."""
    names = [f"leaf-{i + 1}" for i in range(6)]
    fleet.start_platform()
    fleet.start_leafs(names, {"service_ms": 20, "slots": 4, "queue": 8,
                              "connections": 60})
    fleet.start_daemons(3)
    everything = fleet.leaf_objects(names, slots=4, connections=60)
    lists = [[names[i], names[i + 3]] for i in range(3)]
    for name, priority in CLASSES.items():
        for prefix, own in (("", priority), ("flat-", "catalogue")):
            everything += objects.whole_service(
                prefix + name, lists, priority=own, deadline_ms=1000,
                hedge_budget=0)
    fleet.apply(everything)
    fleet.wait_ready()
    flat = fleet.load("overload-flat", "flat")["groups"]
    time.sleep(1)
    groups = fleet.load("overload", "classes")["groups"]
    verdict.baseline = {"kind": "one class for all", **{
        name: pick(flat[f"flat-{name}"], *LATENCY) for name in CLASSES}}
    for name in CLASSES:
        phases = groups[name]["phases"]
        verdict.ibismux[name] = {phase: pick(
            figures, "sent", "ok", "refused", "ok_per_s", "cut", "p99_ms",
            "refused_p99_ms", "no_retry_after")
            for phase, figures in phases.items()}
    judge_overload(verdict, groups)


def share_ok(figures):
    return figures["ok"] / max(1, figures["sent"])


def judge_overload(verdict, groups):
    for name in ("diagnostic", "bench"):
        phases = groups[name]["phases"]
        kept = share_ok(phases["overload"]) / max(
            0.001, share_ok(phases["alone"]))
        verdict.goal(f"{name} keeps {kept:.1%} of its goodput, at least 95%",
                     kept >= 0.95)
    total = sum(groups[name]["phases"]["overload"]["ok_per_s"]
                for name in CLASSES)
    verdict.goal(f"goodput {total:.0f}/s of a capacity of {CAPACITY_PER_S}/s, "
                 "at least 90%", total >= 0.9 * CAPACITY_PER_S)
    after = [groups[name]["phases"]["after"] for name in CLASSES]
    recovered = min(share_ok(figures) for figures in after)
    verdict.goal(f"from 2 s after on {recovered:.1%} of each class are good, "
                 "at least 99%", recovered >= 0.99)
    refused = groups["editor"]["phases"]["overload"]
    verdict.goal(f"refusals within {refused['refused_p99_ms']:.0f} ms (p99), "
                 "at most 100", refused["refused_p99_ms"] <= 100)
    verdict.goal("every refusal says when to come back", all(
        groups[name]["no_retry_after"] == 0 for name in CLASSES))
