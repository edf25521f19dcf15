"""A small stand-in for the platform's store (PROTOCOL.md, The platform's
metadata store): linearizable calls, watches, listings in pages, and stale reads
that are answered by one of some read replicas, each `lag` seconds behind."""

import http.server
import json
import random
import re
import threading
import time
import urllib.parse


class Store:
    def __init__(self, lags=(0.0,), page=50, seed=1):
        self.lags, self.page, self.random = lags, page, random.Random(seed)
        self.revision = 1
        self.history = []       # (time, revision, kind, name, object or None)
        self.objects = {}       # (kind, name) -> object
        self.changed = threading.Condition()
        self.listings = []      # what stale listings were answered with
        self.lost_share = 0.0   # share of the answers that are lost now
        self.lost = []          # (time, call) of those
        self.server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), handler_of(self))
        self.server.daemon_threads = True
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        """@return When the change was confirmed."""
        with self.changed:
            old = self.objects.get((kind, name))
            if old and old["spec"] == spec:
                return time.monotonic()
            self.revision += 1
            return self.record(kind, name, {
                "meta": {"Name": name, "Revision": self.revision,
                         "Created": old["meta"]["Created"] if old
                         else self.revision,
                         "Finalizers": [], "Deleting": False},
                "spec": spec, "status": None})

    def delete(self, kind, name):
        with self.changed:
            if (kind, name) in self.objects:
                self.revision += 1
                return self.record(kind, name, None)

    def record(self, kind, name, value):
        now = time.monotonic()
        before = self.objects.get((kind, name))
        self.history.append((now, self.revision, kind, name, value, before))
        if value is None:
            del self.objects[kind, name]
        else:
            self.objects[kind, name] = value
        self.changed.notify_all()
        return now

    def at(self, kind, when):
        """The objects of `kind` and the revision, as they were at `when`."""
        objects, revision = {}, 1
        for moment, number, of, name, value, _ in self.history:
            if moment > when:
                break
            revision = number
            if of == kind:
                objects[name] = value
        return {name: v for name, v in objects.items() if v}, revision

    def read(self, kind, name, query):
        with self.changed:
            lag = (self.random.choice(self.lags)
                   if query.get("Serializable") == "1" else 0)
            objects, revision = self.at(kind, time.monotonic() - lag)
        if name:
            return ((200, objects[name]) if name in objects
                    else (404, {"Error": "none"}))
        after = query.get("after", "")
        names = sorted(n for n in objects if n > after)
        if kind == "servers":
            self.listings.append((after, lag, revision))
        return 200, {"items": [objects[n] for n in names[:self.page]],
                     "HasMore": len(names) > self.page, "AsOf": revision}

    def watch(self, kind, query):
        since = int(query["Watch"])
        end = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        with self.changed:
            while True:
                events = [{"Object": value or before, "Deleted": value is None}
                          for _, number, of, _, value, before in self.history
                          if of == kind and number > since]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "AsOf": self.revision}
                self.changed.wait(left)

    def write(self, method, kind, name, query, body):
        meta = body.get("meta", {})
        name = name or meta["Name"]
        wanted = int(meta.get("Revision") or query.get("Revision") or 0)
        with self.changed:
            old = self.objects.get((kind, name))
            if method == "POST" and old:
                return 409, old
            if method != "POST" and not old:
                return 404, {"Error": "none"}
            if wanted and wanted != old["meta"]["Revision"]:
                return 409, old
            if method == "DELETE":
                self.delete(kind, name)
                return 200, {}
            self.put(kind, name, body.get("spec"))
            return 200, self.objects[kind, name]


def handler_of(store):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def answer(self):
            split = urllib.parse.urlsplit(self.path)
            parts = [urllib.parse.unquote(p) for p in split.path.split("/")[1:]]
            query = dict(urllib.parse.parse_qsl(split.query))
            length = int(self.headers.get("Content-Length") or 0)
            body = json.loads(self.rfile.read(length)) if length else {}
            if parts[0] != "objects" or not 2 <= len(parts) <= 4:
                status, value = 404, {"Error": "path"}
            elif self.command != "GET":
                status, value = store.write(
                    self.command, parts[1], "".join(parts[2:3]), query, body)
            elif "Watch" in query:
                status, value = store.watch(parts[1], query)
            else:
                status, value = store.read(
                    parts[1], "".join(parts[2:3]), query)
            with store.changed:
                lost = store.random.random() < store.lost_share
            if lost:
                # The connection returns nothing further.
                store.lost.append((time.monotonic(), self.command + " " +
                                   self.path))
                while self.rfile.read(1):
                    pass
                self.close_connection = True
                return
            # Texts "@raw:...@" stand for JSON that this module can't hold.
            text = re.sub(r'"@raw:([^"]*)@"', r"\1",
                          json.dumps(value)).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)

        do_GET = do_PUT = do_POST = do_DELETE = answer

        def log_message(self, *_):
            pass

        def handle(self):
            try:
                super().handle()
            except OSError:
                pass

    return Handler
