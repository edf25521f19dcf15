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
# As at mcbs-treaty.
SHARDS = {"claims-desk": 10, "cedent-portal": 15}
SINGLE = {"ledger-recon": 11, "audit-trail": 5}
DAEMONS = 6
LOST_SHARE = 0.1      # the site file has 0.35
LOST_S = 4.5          # as in the site file
DRAIN_S = 3.0         # DrainMs
STABILITY_S = 4.0     # StabilityWindowMs
SERVES_ON_S = 12.0    # DrainMs "and a little longer (at times many seconds)"
RELEASE_SHARE = 0.45  # as in the site file
RELEASE_GAP_S = 0.8   # as in the site file
HEARTBEAT_S = 1.2     # HeartbeatMs
WARMUP_MS = 3000      # the site file's cold_s
SETTLED_S = 8.0
RELEASE_S = 26.0


def run(site, trouble):
    rng = random.Random(SEED)
    store = Store(seed=SEED)
    site.store_port = store.port
    farm = Farm(site)
    names = [f"{base}-{i}" for base, n in SHARDS.items() for i in range(n)]
    counts = {**{name: 3 for name in names}, **SINGLE}
    specs, servers = {}, {}

    def add_leaf(service, zone, warmup_ms=0):
        leaf_id = f"i-{rng.randrange(1 << 32):08x}"
        servers[leaf_id], port = farm.add(leaf_id)
        specs[leaf_id] = {
            "Service": service, "Address": f"127.0.0.1:{port}", "Zone": zone,
            "Version": "v1", "Slots": 2, "State": "ready",
            "WarmupLeftMs": warmup_ms, "Seq": 1}
        store.put("servers", leaf_id, specs[leaf_id])
        return leaf_id

    def warm_up(leaf_id):
        """The heartbeats of a new leaf, as long as they change its entry."""
        spec = specs[leaf_id]
        while spec["WarmupLeftMs"] > 0:
            time.sleep(HEARTBEAT_S)
            left = max(0, spec["WarmupLeftMs"] - int(HEARTBEAT_S * 1000))
            spec = {**spec, "WarmupLeftMs": left, "Seq": spec["Seq"] + 1}
            store.put("servers", leaf_id, spec)

    for service, count in counts.items():
        for i in range(count):
            add_leaf(service, f"z{i % 3 + 1}")
    shards = {base: [f"{base}-{i}" for i in range(n)]
              for base, n in SHARDS.items()}
    routes = [
        route("loss", "/loss/", "idempotent", Gather=shards["claims-desk"],
              TopK=10, MinCoverage=0.89),
        route("renewal", "/renewal/", "idempotent",
              Gather=shards["cedent-portal"], TopK=5, MinCoverage=0.75),
        route("recon", "/recon/", "idempotent", Service="ledger-recon"),
        route("audit", "/audit/", "idempotent", Service="audit-trail")]
    store.put("config", "main", configuration(2, routes, list(counts)))

    stop, failures = threading.Event(), []

    def consume(number, port):
        consumer, count = Consumer(port), 0
        while not stop.is_set():
            for prefix in ("loss", "renewal", "recon", "audit"):
                count += 1
                request_id = f"edge{number}-{count}"
                answer = consumer.ask(request_id, f"/{prefix}/{count}")
                status = answer.status if answer else "closed"
                site.note(f"SENT {request_id} /{prefix}/{count} "
                          f"ANSWER {status}")
                if status != 200:
                    failures.append(request_id)
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
    replaced = rng.sample(sorted(specs), int(RELEASE_SHARE * len(specs)))
    for leaf_id in replaced:
        if time.monotonic() - began > RELEASE_S:
            break
        old = specs[leaf_id]
        fresh = add_leaf(old["Service"], old["Zone"], WARMUP_MS)
        threading.Thread(target=warm_up, args=(fresh,), daemon=True).start()
        specs[leaf_id] = {**old, "State": "draining", "Seq": 2}
        farm.draining[leaf_id] = store.put("servers", leaf_id, specs[leaf_id])
        site.note(f"DRAINING {leaf_id} of {old['Service']} in {old['Zone']}")
        for other, since in list(farm.draining.items()):
            if other in servers and time.monotonic() - since > SERVES_ON_S:
                farm.end(other, servers.pop(other))
                store.delete("servers", other)
                site.note(f"ENDED {other}")
        time.sleep(RELEASE_GAP_S)
    time.sleep(DRAIN_S + 1)
    stop.set()
    time.sleep(0.5)
    site.note_runs(farm.runs)
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
