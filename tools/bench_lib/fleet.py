"""A whole small site on this machine: platform, leafs and daemons."""

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import time
import urllib.parse

from bench_lib import objects, rest
from bench_lib.process import Process, stop_all

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("IBISMUX_BUILD", ROOT / "build"))
PROGRAMS = {
    "ibismuxd": "apps/ibismuxd/ibismuxd",
    "ibismuxctl": "apps/ibismuxctl/ibismuxctl",
    "ibismux-load": "apps/ibismux-load/ibismux-load",
    "ibismux-check": "apps/ibismux-check/ibismux-check",
    "bench-bare-client": "apps/bench-bare-client/bench-bare-client",
    "bench-fanout": "apps/bench-fanout/bench-fanout",
    "bench-policy": "apps/bench-policy/bench-policy",
    "ibismux-fake-leaf": "standins/leaf/ibismux-fake-leaf",
    "ibismux-fake-platform": "standins/platform/ibismux-fake-platform",
}
ZONES = ("zone-a", "zone-b", "zone-c")
START_TRIES = 3
# Hundreds of objects are written at once before a run; experiments on control
# pass AS_SHIPPED instead.
SET_UP_BUDGET = {"platform.fleet_reads_per_second": 20000,
                 "platform.fleet_writes_per_second": 5000}
AS_SHIPPED = {"platform.fleet_reads_per_second": 1000,
              "platform.fleet_writes_per_second": 300}


def program(name):
    return str(BUILD / PROGRAMS[name])


def free_ports(count):
    """Ports free now: held all at once, so that no two are the same."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Daemon(Process):
    """One ibismuxd with a settings file of its own."""

    def __init__(self, folder, index, zone, platform_port, overrides):
        self.member = f"host-{index + 1}"
        self.zone = zone
        self.path = folder / f"{self.member}.json"
        self.settings = {
            "member": self.member, "zone": zone,
            "threads": overrides.pop("threads", 2),
            "platform": {"address": "127.0.0.1", "port": platform_port}}
        for key, value in overrides.items():
            group, name = key.split(".")
            self.settings.setdefault(group, {})[name] = value
        super().__init__(self.member,
                         [program("ibismuxd"), "--settings", self.path],
                         folder / f"{self.member}.log")

    def take_ports(self, ports):
        self.caller, self.peer, self.operator = ports
        for group, port in zip(("caller", "peer", "operator"), ports):
            self.settings[group] = {"address": "127.0.0.1", "port": port}
        self.path.write_text(json.dumps(self.settings, indent=1))

    def is_ready(self):
        try:
            rest.call(self.operator, "GET", "/readyz", timeout=1)
            return True
        except (OSError, rest.RestError):
            return False

    def status(self):
        return rest.call(self.operator, "GET", "/v1/status")


class Fleet:
    """Starts and stops everything; use as a context manager."""

    def __init__(self, name):
        self.folder = BUILD / "bench" / name
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        self.platform = None
        self.leafs = None
        self.leaf_ports = {}
        self.daemons = []
        self.objects = []
        self.history = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_daemons()
        stop_all([one for one in (self.leafs, self.platform) if one])

    def stop_daemons(self):
        stop_all(self.daemons)
        self.daemons = []

    def start_platform(self, *arguments):
        arguments = arguments or ("--reads-per-second", 0,
                                  "--writes-per-second", 0)
        self.platform = Process(
            "platform", [program("ibismux-fake-platform"), *arguments],
            self.folder / "platform.log").start()

    def platform_faults(self, **faults):
        rest.call(self.platform.ready["port"], "PUT", "/fake/faults", faults)

    def platform_stats(self):
        return rest.call(self.platform.ready["port"], "GET", "/fake/stats")

    def platform_calls(self):
        """How many calls of each kind the platform has counted."""
        return {kind: sum(by_status.values()) for kind, by_status
                in self.platform_stats()["calls"].items()}

    def start_leafs(self, names, config=None, history=False, threads=4):
        arguments = [program("ibismux-fake-leaf"), "--names", ",".join(names),
                     "--threads", threads,
                     "--config", json.dumps(config or {})]
        if history:
            path = self.folder / "leafs.jsonl"
            self.history.append(path)
            arguments += ["--history", path]
        self.leafs = Process("leafs", arguments,
                             self.folder / "leafs.log").start()
        self.leaf_ports = self.leafs.ready["leafs"]

    def leaf_change(self, name, **change):
        rest.call(self.leafs.ready["control"], "PUT",
                  f"/fake/leafs/{name}", change)

    def leaf_stats(self):
        return rest.call(self.leafs.ready["control"], "GET", "/fake/stats")

    def leaf_objects(self, names, **spec):
        return [objects.leaf(name, self.leaf_ports[name],
                             ZONES[i % len(ZONES)], **spec)
                for i, name in enumerate(names)]

    def start_daemons(self, count, zones=ZONES, seconds=20, **overrides):
        port = self.platform.ready["port"]
        self.daemons = [
            Daemon(self.folder, i, zones[i % len(zones)], port,
                   {**SET_UP_BUDGET, **overrides}) for i in range(count)]
        ports = free_ports(3 * count)
        for i, daemon in enumerate(self.daemons):
            daemon.take_ports(ports[3 * i:3 * i + 3])
        self.tell_hosts()
        for daemon in self.daemons:
            daemon.start(wait=False)
        for daemon in self.daemons:
            self.finish_start(daemon)

    def finish_start(self, daemon):
        """An outgoing connection may have taken a port meanwhile."""
        for _ in range(START_TRIES):
            try:
                daemon.wait_ready()
                return
            except RuntimeError:
                daemon.stop()
                daemon.take_ports(free_ports(3))
                self.tell_hosts()
                daemon.start(wait=False)
        daemon.wait_ready()

    def tell_hosts(self, leaving=()):
        rest.call(self.platform.ready["port"], "PUT", "/fake/hosts", {
            "hosts": [{"name": one.member, "zone": one.zone,
                       "peer_address": f"127.0.0.1:{one.peer}",
                       "leaving": one.member in leaving}
                      for one in self.daemons]})

    def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        for daemon in self.daemons:
            while not daemon.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"{daemon.member} is not ready")
                time.sleep(0.05)

    def apply(self, list_of_objects, seconds=25):
        """Writes objects through all daemons in turn, and waits until each is
        in force everywhere."""
        end = time.monotonic() + seconds
        written = [(item, self.put_patiently(item, i, end))
                   for i, item in enumerate(list_of_objects)]
        for item, version in written:
            self.wait_in_force(item, version, end)

    def put_patiently(self, item, turn, end):
        """A daemon's budget of platform calls refills; others have theirs."""
        while True:
            try:
                answer = self.put(item, turn % len(self.daemons))
                return answer["version"]
            except rest.RestError as problem:
                if problem.status != 503 or time.monotonic() > end:
                    raise
                turn += 1
                time.sleep(0.02)

    def wait_in_force(self, item, version, end):
        path = (f"/v1/objects/{item['kind']}/{item['name']}/status?"
                f"version={version}&until=in_force&wait_ms=1000")
        while True:
            status = rest.call(self.daemons[0].operator, "GET",
                               path)["status"]
            # A daemon that has just started may not count the others yet.
            if status["state"] == "accepted" and \
                    status["in_force"]["reached"] >= len(self.daemons):
                return
            if time.monotonic() > end:
                raise RuntimeError(f"{item['name']} not in force: {status}")

    def put(self, item, daemon=0):
        """Writes one object through one daemon; does not wait."""
        kind, name = item["kind"], urllib.parse.quote(item["name"])
        return rest.call(self.daemons[daemon].operator, "PUT",
                         f"/v1/objects/{kind}/{name}", {"spec": item["spec"]},
                         {"X-Operator": "bench"})

    def daemon_cpu_seconds(self):
        return sum(one.cpu_seconds() for one in self.daemons)

    def load_command(self, experiment, label, history=False, seed=None):
        addresses = ",".join(f"127.0.0.1:{one.caller}:{one.operator}"
                             for one in self.daemons)
        arguments = [program("ibismux-load"), "--daemons", addresses,
                     "--plot", self.folder / f"{label}.png"]
        if history:
            path = self.folder / f"load-{label}.jsonl"
            self.history.append(path)
            arguments += ["--history", path]
        if seed is not None:
            arguments += ["--seed", seed]
        return [str(one) for one in [*arguments, experiment]]

    def load(self, experiment, label, history=False, during=None, seed=None):
        """Runs the load tool; `during(begin)` runs beside it."""
        path = ROOT / "bench" / "experiments" / f"{experiment}.json"
        child = subprocess.Popen(
            self.load_command(path, label, history, seed),
            stdout=subprocess.PIPE, text=True)
        try:
            if during:
                during(time.monotonic())
            output, _ = child.communicate(timeout=60)
        finally:
            if child.poll() is None:
                child.kill()
        if child.returncode != 0:
            raise RuntimeError(f"ibismux-load: exit {child.returncode}")
        result = json.loads(output.strip().splitlines()[-1])
        draw(self.folder / f"{label}.png.gp")
        return result

    def check_history(self, *arguments):
        """Runs ibismux-check over all that was recorded."""
        if self.leafs:
            rest.call(self.leafs.ready["control"], "POST", "/fake/flush", {})
        done = subprocess.run(
            [program("ibismux-check"), *arguments,
             *[str(path) for path in self.history if path.exists()]],
            capture_output=True, text=True, timeout=60, check=False)
        lines = done.stdout.strip().splitlines()
        summary = json.loads(lines[-1]) if lines else {}
        summary["exit"] = done.returncode
        summary["first_violations"] = lines[:-1][:3]
        return summary

    @staticmethod
    def sleep_until(moment):
        """Waits for a moment of `time.monotonic()`."""
        time.sleep(max(0, moment - time.monotonic()))

    def pause(self, daemon, seconds):
        """Freezes a daemon for a while."""
        self.daemons[daemon].signal(signal.SIGSTOP)
        time.sleep(seconds)
        self.daemons[daemon].signal(signal.SIGCONT)


def draw(script):
    """Draws a plot where gnuplot is there."""
    if shutil.which("gnuplot") and script.exists():
        subprocess.run(["gnuplot", str(script)], capture_output=True,
                       timeout=20, check=False)


def busy_share():
    """Load average per processor: figures taken above 1 are doubtful."""
    return round(os.getloadavg()[0] / (os.cpu_count() or 1), 2)
