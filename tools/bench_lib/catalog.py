"""Every experiment by its name."""

import time
import traceback

from bench_lib import (changes, control, hops, queries, reservations, sites,
                       tails)
from bench_lib.fleet import Fleet, busy_share
from bench_lib.verdict import Verdict

EXPERIMENTS = {
    "cost": queries.cost,
    "hop": hops.hop,
    "tail": queries.tail,
    "single": tails.single,
    "refusals": tails.refusals,
    "overload": queries.overload,
    "snapshot": changes.snapshot,
    "drain": changes.drain,
    "restart": changes.restart,
    "reserve": reservations.reserve,
    "config": control.config,
    "control": control.control,
    "bajio": sites.bajio,
    "valle": sites.valle,
    "limits": sites.limits,
    "fanout": sites.fanout,
}


def run(name):
    """One experiment's result; what goes wrong in it makes it a failure."""
    verdict = Verdict()
    busy = busy_share()
    begin = time.monotonic()
    try:
        with Fleet(name) as fleet:
            EXPERIMENTS[name](fleet, verdict)
    except Exception as problem:  # pylint: disable=broad-except
        traceback.print_exc()
        verdict.goal(f"runs to its end ({problem})", False)
    result = verdict.result(name, {"load_per_cpu_before": busy,
                                   "load_per_cpu_after": busy_share()})
    result["seconds"] = round(time.monotonic() - begin, 1)
    return result
