"""A small deployment on loopback: the project's stand-in for the store, small
leafs of this review, ibismux-edge daemons, and consumers that speak HTTP/1.1."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
EDGE = ROOT / "target/platform/ibismux-edge"
PLATFORM = ROOT / "target/platform/testing/ibismux-users-platform"
HOST = "search.example"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CouldNotRun(Exception):
    pass


class Site:
    """Starts processes and ends them all."""

    def __init__(self, folder):
        self.record = open(pathlib.Path(folder) / "record.txt", "w")
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory()
        self.processes = []

    def note(self, line):
        with self.lock:
            self.record.write(f"{time.monotonic() - self.began:8.3f} {line}\n")

    def note_runs(self, runs):
        """Notes what leafs ran: (when, leaf, request id)."""
        with self.lock:
            for when, leaf_id, request_id in runs:
                self.record.write(f"{when - self.began:8.3f} RUN {request_id} "
                                  f"leaf={leaf_id}\n")

    def start(self, name, command, environment=None):
        if not pathlib.Path(command[0]).exists():
            raise CouldNotRun(f"{command[0]} is not built")
        out = pathlib.Path(self.temporary.name) / f"{name}.out"
        log = open(pathlib.Path(self.temporary.name) / f"{name}.log", "w")
        process = subprocess.Popen(
            [str(part) for part in command], cwd=ROOT, stdout=open(out, "w"),
            stderr=log, env={**os.environ, **(environment or {})})
        self.processes.append(process)
        for _ in range(400):
            text = out.read_text()
            if "\n" in text:
                return process, json.loads(text.split("\n")[0]), out
            if process.poll() is not None:
                break
            time.sleep(0.05)
        raise CouldNotRun(f"{name} did not start")

    def start_platform(self, shards=1):
        _, ports, _ = self.start(
            "platform", [PLATFORM, "--shards", shards, "--replicas", 1])
        self.store_port = ports["store"]
        self.control_port = ports["control"]

    def start_edge(self, name="edge-1", zone="z1", **more):
        settings = {
            "member": name, "zone": zone,
            "zone_regions": {"z1": "r", "z2": "r", "z3": "r"},
            "host": {"link_mbps": 1000.0},
            "caller": {"endpoint": "127.0.0.1:0"},
            "ready": {"endpoint": "127.0.0.1:0"},
            "metrics": {"endpoint": "127.0.0.1:0"},
            "fleet": {"endpoint": "127.0.0.1:0"},
            "store": {"endpoint": f"127.0.0.1:{self.store_port}",
                      "fleet_reads_per_second": 2000,
                      "fleet_writes_per_second": 400},
            "repeats": {"ratio": 0.2, "slack": 54},
            "stop": {"limit_s": 6},
        }
        settings.update(more)
        file = pathlib.Path(self.temporary.name) / f"{name}.json"
        file.write_text(json.dumps(settings))
        process, ports, out = self.start(
            name, [EDGE], {"IBISMUX_CONFIG": str(file)})
        return process, ports, out

    def control(self, path, body=None):
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.control_port}{path}",
            data=json.dumps(body or {}).encode(), method="PUT")
        return json.load(urllib.request.urlopen(request, timeout=5))

    def register(self, leaf, state="ready"):
        leaf.sequence += 1
        self.control("/fake/entry", {"name": leaf.id, "spec": {
            "Service": leaf.service, "Address": f"127.0.0.1:{leaf.port}",
            "Zone": leaf.zone, "Version": "v1", "Slots": 4, "State": state,
            "WarmupLeftMs": 0, "Seq": leaf.sequence,
            "born": 1_700_000_000_000}})

    def wait_ready(self, port, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                urllib.request.urlopen(
                    f"http://127.0.0.1:{port}/readyz", timeout=1)
                return
            except OSError:
                time.sleep(0.05)
        raise CouldNotRun("the daemon is not ready")

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.temporary.cleanup()
        with self.lock:
            self.record.flush()


def route(name, prefix, kind, **more):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Type": kind,
            "TimeoutMs": 1500, "TargetLatencyMs": 250, "Priority": 1,
            "MaxAttempts": 2, **more}


def configuration(version, routes, services, **more):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": name, "MaxConns": 100} for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            **more}


class Message:
    def __init__(self, start, fields, body):
        self.start, self.fields, self.body = start, fields, body

    @property
    def status(self):
        return int(self.start.split()[1])

    def get(self, name):
        return self.fields.get(name.lower(), "")


class Stream:
    """Reads messages with a Content-Length from a socket."""

    def __init__(self, sock):
        self.sock, self.data = sock, b""

    def fill(self):
        chunk = self.sock.recv(65536)
        self.data += chunk
        return bool(chunk)

    def read(self):
        """The next message, or None where the peer ended instead."""
        while b"\r\n\r\n" not in self.data:
            if not self.fill():
                return None
        head, self.data = self.data.split(b"\r\n\r\n", 1)
        start, *lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
        length = int(fields.get("content-length", "0"))
        while len(self.data) < length:
            if not self.fill():
                return None
        body, self.data = self.data[:length], self.data[length:]
        return Message(start, fields, body)


class Consumer:
    """One consumer with a kept connection."""

    def __init__(self, port):
        self.port, self.sock = port, None

    def close(self):
        if self.sock:
            self.sock.close()
            self.sock = None

    def ask(self, request_id, path, method="GET", body=b"", deadline_ms=1500,
            headers=()):
        """The answer, or None where the connection ended without one."""
        try:
            if not self.sock:
                self.sock = socket.create_connection(
                    ("127.0.0.1", self.port), timeout=deadline_ms / 1000 + 2)
                self.stream = Stream(self.sock)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                     f"X-Request-Id: {request_id}",
                     f"X-Deadline-Ms: {deadline_ms}", *headers]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            self.sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
            answer = self.stream.read()
        except OSError:
            answer = None
        if not answer or answer.get("Connection") == "close":
            self.close()
        return answer


class Leaf:
    """A sound leaf; a case overrides `serve` for what disturbs it.

    It takes one request at a time on a connection and echoes its id."""

    def __init__(self, site, leaf_id, service, zone="z1", work_s=0.002):
        self.site, self.id, self.service = site, leaf_id, service
        self.zone, self.work_s, self.sequence = zone, work_s, 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=200)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = Stream(connection)
        try:
            while request := stream.read():
                self.handle(connection, request)
        except OSError:
            pass
        finally:
            connection.close()

    def handle(self, connection, request):
        connection.sendall(self.answer_to(request))

    def answer_to(self, request):
        request_id = request.get("X-Request-Id")
        meant = request.get("X-Expect-Instance")
        if not request_id:
            return self.message(400, request_id, b"", ["X-Not-Executed: 1"])
        if meant and meant != self.id:
            return self.message(421, request_id, b"", ["X-Not-Executed: 1"])
        self.site.note(f"RUN {request_id} leaf={self.id} {request.start}")
        time.sleep(self.work_s)
        return self.message(200, request_id, self.body(request_id),
                            [f"X-Server-Stamp: {self.stamp(request_id)}"])

    def stamp(self, request_id):
        return f"{self.id}.{request_id}"

    def body(self, request_id):
        return f"page for {request_id} by {self.id}\n".encode() * 4

    def message(self, status, request_id, body, fields, framed=True):
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request_id}", *fields]
        if framed:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body


def main(folder, run):
    """Calls `run(site, trouble)`, which says whether the rule was broken."""
    trouble = os.environ["TROUBLE"] != "0"
    site = Site(folder)
    site.note("with the disruption" if trouble else "TROUBLE=0: without it")

    def stop(*_):
        raise CouldNotRun("ended from outside")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        broken = run(site, trouble)
        result = BROKEN if broken else HELD
    except Exception as error:  # Python's own exit code for these is 1.
        site.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        result = COULD_NOT_RUN
    finally:
        site.close()
    print({BROKEN: "rule broken", HELD: "rule held",
           COULD_NOT_RUN: "not run"}[result], "- see record.txt")
    sys.stdout.flush()
    os._exit(result)
