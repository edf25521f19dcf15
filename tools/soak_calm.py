"""What the soak asks of daemons once all faults are over: the newest configuration
is in force, and a request that ends leafs is kept from them."""

import http.client
import time

SERVICES = ("s1", "s2", "s3", "desk")
# Beyond the bounds of the users' pages by what a busy machine takes.
PATIENCE = 20.0
MOST_RETRIES = 3


def configuration(version, marker):
    """A configuration with the usual routes and one that only it has."""
    def route(name, **more):
        return {"Name": name, "Host": "search.example", "PathPrefix": f"/{name}/",
                "Type": "idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 200,
                "Priority": 1, "MaxAttempts": 2, **more}
    shards = ["s1", "s2", "s3"]
    return {
        "Version": version,
        "Routes": [route("query", Gather=shards, TopK=10, MinCoverage=0.6),
                   route("page", Service="desk"),
                   route("order", Service="desk", Type="non_idempotent"),
                   route(marker, Service="desk")],
        "Services": [{"Name": name, "MaxConns": 40} for name in SERVICES],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }


def ask(port, request, path):
    """The status and the headers of an answer; None where there is none."""
    link = http.client.HTTPConnection("127.0.0.1", port, timeout=4)
    try:
        link.request("GET", path, headers={"Host": "search.example",
                                           "X-Request-Id": request,
                                           "X-Deadline-Ms": "2000"})
        response = link.getresponse()
        response.read()
        return response.status, response.headers
    except (OSError, http.client.HTTPException):
        return None, {}
    finally:
        link.close()


def wait_until(reached):
    until = time.monotonic() + PATIENCE
    while not reached():
        if time.monotonic() > until:
            return False
        time.sleep(0.05)
    return True


class Calm:
    """A site whose faults are over."""

    def __init__(self, site, ports):
        """`ports`: where callers reach the daemons."""
        self.site, self.ports, self.count = site, ports, 0
        for service in SERVICES:
            site.fake("PUT", "leafs", {"service": service, "restart": True})

    def ask(self, daemon, path):
        self.count += 1
        return ask(self.ports[daemon], f"{self.site.prefix}calm-{self.count}", path)

    def serves_all(self, daemon):
        status, headers = self.ask(daemon, "/query/calm")
        return status == 200 and headers.get("X-Missing-Parts") == "0"

    def check_configuration(self, version):
        self.site.fake("PUT", "config", configuration(version, "newest"))
        return [f"daemon {i}: the newest configuration is not in force"
                for i in range(len(self.ports))
                if not wait_until(lambda i=i: self.ask(i, "/newest/1")[0] == 200)]

    def check_bad_request(self, path):
        for service in SERVICES:
            self.site.fake("PUT", "leafs", {"service": service, "crash_on": path})
        reached = 0
        for attempt in range(6):
            if not wait_until(lambda: all(map(self.serves_all, range(len(self.ports))))):
                return ["leafs that a request ended are not used again"]
            status, headers = self.ask(attempt % len(self.ports), path)
            runs = self.site.fake("GET", "runs")
            name = f"{self.site.prefix}calm-{self.count}"
            reached += any(name in row for row in runs.values())
            if status == 503 and not headers.get("Retry-After"):
                return ["a refusal that doesn't say when to come back"]
        if reached > MOST_RETRIES:
            return [f"a request that ends leafs reached them {reached} times"]
        return []
