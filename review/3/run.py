"""A few answers of the store are lost, among them one to a watch, while the
leafs of the services are replaced one after the other."""

import os
import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
from deployment import Consumer, configuration, main, route  # noqa: E402
from farm import Farm  # noqa: E402
from store import Store  # noqa: E402

SEED = int(os.environ.get("SEED", "1"))
SHARDS = {"bay-diag": 10, "parts-counter": 15}
SINGLE = {"editor-desk": 5, "member-portal": 3}
DAEMONS = 7
LOST_SHARE = 0.1      # the site file has 0.35
LOST_S = 4.5          # as in the site file
DRAIN_S = 3.0         # DrainMs
STABILITY_S = 4.0     # StabilityWindowMs
SERVES_ON_S = 12.0    # DrainMs "and a little longer (at times many seconds)"
RELEASE_GAP_S = 0.5
SETTLED_S = 8.0
RELEASE_S = 24.0


def run(site, trouble):
    rng = random.Random(SEED)
    store = Store(seed=SEED)
    site.store_port = store.port
    farm = Farm(site)
    names = [f"{base}-{i}" for base, n in SHARDS.items() for i in range(n)]
    counts = {**{name: 3 for name in names}, **SINGLE}
    specs = {}

    def add_leaf(service, zone):
        leaf_id = f"i-{rng.randrange(1 << 32):08x}"
        server, port = farm.add(leaf_id)
        specs[leaf_id] = {
            "Service": service, "Address": f"127.0.0.1:{port}", "Zone": zone,
            "Version": "v1", "Slots": 4, "State": "ready", "WarmupLeftMs": 0,
            "Seq": 1}
        store.put("servers", leaf_id, specs[leaf_id])

    for service, count in counts.items():
        for i in range(count):
            add_leaf(service, f"z{i % 3 + 1}")
    shards = {base: [f"{base}-{i}" for i in range(n)]
              for base, n in SHARDS.items()}
    routes = [
        route("torque", "/torque/", "idempotent", Gather=shards["bay-diag"],
              TopK=10, MinCoverage=0.89),
        route("parts", "/parts/", "idempotent", Gather=shards["parts-counter"],
              TopK=5, MinCoverage=0.75),
        route("manual", "/manual/", "idempotent", Service="editor-desk"),
        route("portal", "/portal/", "idempotent", Service="member-portal")]
    store.put("config", "main", configuration(2, routes, list(counts)))

    stop, failures = threading.Event(), []

    def consume(number, port):
        consumer, count = Consumer(port), 0
        while not stop.is_set():
            for prefix in ("torque", "parts", "manual", "portal"):
                count += 1
                request_id = f"edge{number}-{count}"
                answer = consumer.ask(request_id, f"/{prefix}/{count}")
                if not answer or answer.status != 200:
                    failures.append(request_id)
                    site.note(f"ANSWER to {request_id}: "
                              f"{answer.status if answer else 'closed'}")
            time.sleep(0.05)

    for number in range(DAEMONS):
        _, ports, _ = site.start_edge(f"edge-{number}", f"z{number % 3 + 1}")
        site.wait_ready(ports["ready_port"])
        threading.Thread(target=consume, args=(number, ports["caller_port"]),
                         daemon=True).start()
    time.sleep(SETTLED_S)
    # The release: a new leaf starts, then an old one of its kind drains.
    began = time.monotonic()
    site.note("the release begins")
    lost_until = [began]

    def lose(share):
        store.lost_share = share
        lost_until[0] = time.monotonic()

    if trouble:
        threading.Timer(1.0, lose, (LOST_SHARE,)).start()
        threading.Timer(1.0 + LOST_S, lose, (0.0,)).start()
    for leaf_id in rng.sample(sorted(specs), len(specs)):
        now = time.monotonic() - began
        if now > RELEASE_S:
            break
        old = specs[leaf_id]
        add_leaf(old["Service"], old["Zone"])
        specs[leaf_id] = {**old, "State": "draining", "Seq": 2}
        farm.draining[leaf_id] = store.put("servers", leaf_id, specs[leaf_id])
        site.note(f"DRAINING {leaf_id} of {old['Service']} in {old['Zone']}")
        for other, since in list(farm.draining.items()):
            if time.monotonic() - since > SERVES_ON_S:
                store.delete("servers", other)
        time.sleep(RELEASE_GAP_S)
    time.sleep(DRAIN_S + 1)
    stop.set()
    time.sleep(0.5)
    for when, call in store.lost:
        site.note(f"LOST the answer to {call}, "
                  f"{when - began:.2f} s after the release began")
    late = []
    for when, leaf_id, request_id in farm.runs:
        confirmed = farm.draining.get(leaf_id)
        if (confirmed and confirmed > lost_until[0] + STABILITY_S
                and when > confirmed + DRAIN_S):
            late.append(request_id)
            site.note(f"LATE: {request_id} ran at {leaf_id} "
                      f"{when - confirmed:.2f} s after it was draining")
    text = (f"{len(farm.runs)} runs, {len(failures)} failed requests, "
            f"{len(store.lost)} answers of the store lost, "
            f"{len(late)} runs at draining leafs past DrainMs")
    site.note(text)
    print(text)
    return bool(late)


main(FOLDER, run)
