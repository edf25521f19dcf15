"""A leaf's second answer to an earlier request arrives late and has no length."""

import pathlib
import random
import sys
import threading

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True
from deployment import (Consumer, Leaf, configuration, main,  # noqa: E402
                        route)

SERVICE = "editor-desk"
LEAFS = 4
SPOILING_LEAFS = 2   # share 0.5
SPOILED = 0.03       # x: share of the answers of these leafs
CONSUMERS = 6
REQUESTS = 300       # of each consumer


class LateTwiceLeaf(Leaf):
    """Answers each request; a few answers it sends a second time, late: where
    the next answer of the connection is due. The second one has no length and
    ends with the connection."""

    random = random.Random(7)

    def handle(self, connection, request):
        extra = self.extras.pop(connection, None)
        if extra is not None:
            self.site.note(f"EXTRA for {extra} leaf={self.id}, where the answer "
                           f"to {request.get('X-Request-Id')} is due")
            connection.sendall(self.message(
                200, extra, self.body(extra),
                [f"X-Server-Stamp: {self.stamp(extra)}"], framed=False))
            connection.shutdown(2)
            return
        answer = self.answer_to(request)
        if b" 200 " in answer[:16] and self.random.random() < SPOILED:
            self.extras[connection] = request.get("X-Request-Id")
        connection.sendall(answer)


def run(site, trouble):
    site.start_platform()
    leafs = []
    for i in range(LEAFS):
        kind = LateTwiceLeaf if trouble and i < SPOILING_LEAFS else Leaf
        leaf = kind(site, f"i-{i}", SERVICE, f"z{i % 3 + 1}")
        leaf.extras = {}
        leafs.append(leaf)
        site.register(leaf)
    site.control("/fake/config", configuration(
        2, [route("page", "/page/", "idempotent", Service=SERVICE)], [SERVICE]))
    _, ports, _ = site.start_edge()
    site.wait_ready(ports["ready_port"])
    wrong, served = [], []

    def consume(number):
        consumer = Consumer(ports["caller_port"])
        for i in range(REQUESTS):
            request_id = f"c{number}-{i}"
            answer = consumer.ask(request_id, f"/page/{number}/{i}")
            status = answer.status if answer else "closed"
            site.note(f"SENT {request_id} /page/{number}/{i} ANSWER {status} "
                      f"id={answer.get('X-Request-Id') if answer else ''} "
                      f"stamp={answer.get('X-Server-Stamp') if answer else ''}")
            if answer and 200 <= status < 300:
                served.append(request_id)
                own = {leaf.body(request_id) for leaf in leafs}
                if (answer.body not in own or not answer.get(
                        "X-Server-Stamp").endswith("." + request_id)):
                    wrong.append(request_id)
                    site.note(f"WRONG: {request_id} got {answer.body[:40]!r}")

    threads = [threading.Thread(target=consume, args=(i,))
               for i in range(CONSUMERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    site.note(f"served {len(served)} of {CONSUMERS * REQUESTS}, "
              f"answers of other requests: {len(wrong)}")
    print(f"served {len(served)} of {CONSUMERS * REQUESTS}, "
          f"answers of other requests: {len(wrong)}")
    if not trouble and len(served) < CONSUMERS * REQUESTS:
        raise ValueError("requests failed without the disruption")
    return bool(wrong)


main(FOLDER, run)
