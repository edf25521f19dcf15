"""Objects of the resource API, as experiments write them."""

import json
import re

KEY_SPACE = 65536


def read_file(path):
    """Objects of a file of JSON with comments and trailing commas."""
    text = re.sub(r"^\s*//.*$", "", path.read_text(), flags=re.M)
    return json.loads(re.sub(r",(\s*[\]}])", r"\1", text))["objects"]


def leaf(name, port, zone, slots=2, connections=25, connect_cost_ms=6,
         leaving=False):
    return {"kind": "backend_server", "name": name, "spec": {
        "address": "127.0.0.1", "port": port, "zone": zone, "slots": slots,
        "connections": connections, "connect_cost_ms": connect_cost_ms,
        "leaving": leaving}}


def service(name, **spec):
    return {"kind": "query_service", "name": name, "spec": spec}


def shards(service_name, prefix, replica_lists):
    """One shard for each list of replicas, over the whole key space."""
    count = len(replica_lists)
    edges = [KEY_SPACE * i // count for i in range(count + 1)]
    return [{"kind": "shard", "name": f"{prefix}-s{i + 1}", "spec": {
        "service": service_name, "begin": edges[i], "end": edges[i + 1],
        "replicas": list(replicas)}}
        for i, replicas in enumerate(replica_lists)]


def snapshot(service_name, name, sequence, shard_objects):
    return {"kind": "snapshot", "name": name, "spec": {
        "service": service_name, "sequence": sequence,
        "shards": [shard["name"] for shard in shard_objects]}}


def whole_service(name, replica_lists, **spec):
    """A service with one snapshot."""
    parts = shards(name, f"{name}-v1", replica_lists)
    return [service(name, **spec), *parts,
            snapshot(name, f"{name}-v1", 1, parts)]


def ring(names, copies, count=None):
    """Replica lists of shards: shard i on leafs i, i+1, ..."""
    count = len(names) if count is None else count
    return [[names[(i + k) % len(names)] for k in range(copies)]
            for i in range(count)]
