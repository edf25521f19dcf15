"""Experiments on what a tier does where another replica is no help."""

from bench_lib import objects
from bench_lib.verdict import LATENCY, pick

LEAFS = 12
ANSWER_BY_MS = 60
MIN_COVERAGE = 0.6
RETRY_SHARE = 0.10
# Tokens that are saved up before the leafs begin to refuse.
RETRY_BURST = 100


def single(fleet, verdict):
    """One replica a shard, 1 % of calls 20 times slow: time against coverage."""
    names = [f"leaf-{i + 1}" for i in range(LEAFS)]
    fleet.start_platform()
    fleet.start_leafs(names, {
        "service_ms": 5, "slots": 8, "queue": 200, "connections": 60,
        "straggle_share": 0.01, "straggle_factor": 20}, history=True)
    fleet.start_daemons(3)
    lists = objects.ring(names, 1)
    fleet.apply(
        fleet.leaf_objects(names, slots=8, connections=60)
        + objects.whole_service("plain", lists, priority="catalogue",
                                deadline_ms=2000, hedge_budget=0)
        + objects.whole_service("bay", lists, priority="diagnostic",
                                deadline_ms=2000, answer_by_ms=ANSWER_BY_MS,
                                min_coverage=MIN_COVERAGE)
        + objects.whole_service("catalogue", lists, priority="catalogue",
                                deadline_ms=2000))
    fleet.wait_ready()
    groups = fleet.load("single", "single", history=True)["groups"]
    check = fleet.check_history()
    verdict.baseline = {"kind": "waits for coverage, no hedges",
                        **pick(groups["plain"], *LATENCY)}
    verdict.ibismux = {name: pick(groups[name], *LATENCY)
                       for name in ("bay", "catalogue")}
    verdict.ibismux["check"] = check
    bay, catalogue = groups["bay"], groups["catalogue"]
    verdict.goal(f"bays answer within {bay['p999_ms']:.0f} ms (p99.9), answer_by "
                 f"{ANSWER_BY_MS} and 20 more", bay["p999_ms"]
                 <= ANSWER_BY_MS + 20)
    verdict.goal(f"bays cover {bay['coverage']:.4f}, at least {MIN_COVERAGE}, "
                 "and all are answered",
                 bay["coverage"] >= MIN_COVERAGE and bay["ok"] == bay["sent"])
    verdict.goal(f"catalogue covers {catalogue['coverage']:.4f}, all, in "
                 "every answer", catalogue["coverage"] == 1
                 and catalogue["ok"] == catalogue["sent"])
    verdict.goal("coverage as merged, by the leafs' own record",
                 check["exit"] == 0)


def told_calls(group):
    """The calls to leafs that the answers of a group tell of."""
    return round(group["leaf_calls_per_query"] * group["ok"])


def refusals(fleet, verdict):
    """Half of the leafs refuse all: a shard's other replica serves, or none."""
    names = [f"leaf-{i + 1}" for i in range(LEAFS)]
    fleet.start_platform()
    fleet.start_leafs(names, {"service_ms": 5, "slots": 8, "queue": 200,
                              "connections": 60})
    fleet.start_daemons(3)
    fleet.apply(fleet.leaf_objects(names, slots=8, connections=60)
                + objects.whole_service("bays", objects.ring(names, 2),
                                        priority="diagnostic",
                                        deadline_ms=1000, hedge_budget=0)
                + objects.whole_service("alone", objects.ring(names, 1),
                                        deadline_ms=1000, hedge_budget=0,
                                        min_coverage=0.4))
    fleet.wait_ready()

    def events(begin):
        fleet.sleep_until(begin + 5)
        for name in names[::2]:
            fleet.leaf_change(name, shed_share=1)

    load = fleet.load("refusals", "refusals", during=events)["groups"]
    received = sum(one["calls"] for one in fleet.leaf_stats().values())
    calm = load["bays"]["phases"]["calm"]
    storm = load["bays"]["phases"]["half refuse"]
    alone = load["alone"]["phases"]["half refuse"]
    asked = (storm["sent"] + alone["sent"]) * len(names)
    extra = told_calls(storm) + told_calls(alone) - asked
    told = sum(told_calls(group) for group in load.values())
    allowed = RETRY_SHARE * asked + RETRY_BURST * len(fleet.daemons)
    verdict.baseline = {"kind": "nobody refuses", **pick(calm, *LATENCY)}
    verdict.ibismux = {"bays": pick(storm, *LATENCY),
                       "alone": pick(alone, *LATENCY),
                       "extra_calls": extra, "extra_calls_allowed":
                       round(allowed), "calls_told": told,
                       "calls_counted_by_leafs": received}
    verdict.goal(f"{extra} calls more than shards asked, at most a tenth and "
                 f"what was saved: {allowed:.0f}", extra <= allowed)
    verdict.goal(f"leafs counted {received} calls, answers tell {told}, within "
                 "1%", abs(received - told) <= told / 100)
    good = storm["ok"] / max(1, storm["sent"])
    verdict.goal(f"{good:.2%} answered, at least 99%, as each shard has a "
                 "replica that serves", good >= 0.99)
    verdict.goal(f"coverage {storm['coverage']:.4f}", storm["coverage"] == 1)
    verdict.goal(f"with no other replica coverage {alone['coverage']:.4f}, at "
                 "least the serving half's 0.4999",
                 alone["coverage"] >= 0.4999)
