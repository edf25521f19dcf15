"""Experiments on reservations."""

import random
import time
from signal import SIGCONT, SIGKILL, SIGSTOP

from bench_lib import objects
from bench_lib.verdict import pick

FIGURES = ("sent", "ok", "refused", "cut", "foreign", "attempts", "repeats",
           "p50_ms", "p99_ms", "p999_ms")
FAULT_SECONDS = 22


def platform_writes(fleet):
    return fleet.platform_calls().get("write", 0)


def faults(fleet, begin, seed):
    """One failure after another, in an order drawn from the seed."""
    dice = random.Random(seed)

    def kill(daemon):
        daemon.stop(SIGKILL)
        time.sleep(0.5)
        daemon.start()

    def freeze(daemon):
        daemon.signal(SIGSTOP)
        time.sleep(dice.uniform(0.5, 1.5))
        daemon.signal(SIGCONT)

    def lose_answers(_):
        fleet.platform_faults(lose_answers=0.2)
        time.sleep(1)
        fleet.platform_faults(lose_answers=0)

    def outage(_):
        fleet.platform_faults(outage=True)
        time.sleep(1)
        fleet.platform_faults(outage=False)

    def leaf_dies(_):
        fleet.leaf_change("*", die_share=0.02)
        time.sleep(1)
        fleet.leaf_change("*", die_share=0)

    kinds = [kill, freeze, lose_answers, outage, leaf_dies]
    done = []
    while time.monotonic() < begin + FAULT_SECONDS:
        kind = dice.choice(kinds)
        done.append(kind.__name__)
        kind(dice.choice(fleet.daemons))
        time.sleep(0.4)
    return done


def reserve(fleet, verdict):
    """Keyed reservations through seven daemons, without and with failures."""
    names = [f"leaf-{i + 1}" for i in range(12)]
    fleet.start_platform("--writes-per-second", 500,
                         "--reads-per-second", 2000)
    fleet.start_leafs(names, {"service_ms": 2, "slots": 8, "queue": 200,
                              "connections": 60}, history=True)
    fleet.start_daemons(7)
    fleet.apply(fleet.leaf_objects(names, slots=8, connections=60)
                + objects.whole_service("spares", objects.ring(names, 1),
                                        priority="bench", deadline_ms=2000))
    fleet.wait_ready()
    writes = platform_writes(fleet)
    calm = fleet.load("reserve-calm", "calm",
                      history=True)["groups"]["spares"]
    writes = platform_writes(fleet) - writes
    done = []
    rough = fleet.load(
        "reserve", "faults", history=True,
        during=lambda begin: done.extend(faults(fleet, begin, 6))
    )["groups"]["spares"]
    check = fleet.check_history("--cuts-allowed")
    per_reservation = writes / max(1, calm["ok"])
    verdict.baseline = {"kind": "no failures", **pick(calm, *FIGURES),
                        "platform_writes_per_reservation":
                        round(per_reservation, 4)}
    verdict.ibismux = {**pick(rough, *FIGURES), "failures": done,
                       "check": check}
    verdict.goal(f"{calm['ok']} of {calm['sent']} complete without failures",
                 calm["ok"] == calm["sent"])
    verdict.goal(f"{per_reservation:.3f} platform writes a reservation, "
                 "fewer than 0.1", per_reservation < 0.1)
    total = calm["sent"] + rough["sent"]
    verdict.goal(f"{total} keyed reservations, at least 50,000",
                 total >= 50_000)
    verdict.goal("history without violation (at most once, no false not_run, "
                 "results to their own keys)", check["exit"] == 0)
