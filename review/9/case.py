"""All control processes are killed after they acknowledged a farewell, and an older report of the runner arrives late."""
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "..", "lib-2"))
import harness as h
from harness import TROUBLE, note, now

DRAIN_S, CONTACT_S = 2.0, 3.0
# How long the runner serves after the ack of its farewell: `drain_ms` and many seconds.
SERVES_S = 9.0
# How long after the core is back the delayed report arrives.
REPORT_AFTER_S = 2.0
RATE_PER_S = 80
MANIFEST = {
    "version": 7,
    "routes": [{"name": "r", "hostname": "h.example", "path_prefix": "/a/", "kind": "unsafe", "timeout_ms": 1000,
                "target_latency_ms": 100, "priority": 1, "service": "desk", "max_attempts": 1, "allow_anonymous": True,
                "session_affinity": False, "stream_resume": False}],
    "services": [{"name": "desk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}}


class SlowPath:
    """A path to a control process that holds what is sent on it until `release` is set."""

    def __init__(self, cluster, target):
        self.ip, self.target, self.release = f"{cluster.prefix}.90", target, threading.Event()
        self.listener = socket.create_server((self.ip, h.CONTROL))
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        stream, _ = self.listener.accept()
        stream.settimeout(0.5)
        data = b""
        try:
            while more := stream.recv(65536):
                data += more
        except OSError:
            pass
        self.release.wait()
        with socket.create_connection((self.target.ip, h.CONTROL), timeout=2) as out:
            out.sendall(data)
            answer = out.recv(65536).split(b" ")[1:2]
        note(f"the delayed report arrives at {self.target.ip}: {answer}")


def run(cluster):
    cluster.start()
    cluster.put_manifest(MANIFEST)
    leaving = h.Runner(cluster, 60, "i-one", "desk", work_s=0.06)
    for place in (61, 62):
        h.Runner(cluster, place, f"i-{place}", "desk", work_s=0.06)
    cluster.wait_ready()
    over = threading.Event()
    h.load(cluster.entries, RATE_PER_S, over.is_set, lambda entry: h.send(entry, "/a/x", method="POST", body="b"))
    time.sleep(5.0)
    if len(leaving.ran) < 50:
        raise h.Unusable("the runner gets hardly any requests")
    leaving.beats = False
    time.sleep(1.3)
    # A report is under way for some seconds. A second later, without an ack, the next node is called.
    path = SlowPath(cluster, cluster.controls[4]) if TROUBLE else cluster.controls[4]
    leaving.beat_at(path, leaving.record())
    if TROUBLE:
        leaving.beat_at(cluster.controls[1], leaving.record())
    time.sleep(0.3)
    acked = leaving.farewell([cluster.controls[2], cluster.controls[3]])
    time.sleep(0.3)
    restarted = 0.0
    if TROUBLE:
        for process in cluster.controls:
            process.kill()
        time.sleep(0.5)
        for process in cluster.controls:
            process.start()
        restarted = now()
        time.sleep(REPORT_AFTER_S)
        path.release.set()
    time.sleep(max(0.0, acked + SERVES_S - now()))
    leaving.close()
    over.set()
    time.sleep(1.2)
    sent = {request["id"]: request["sent"] for request in h.SENT}
    in_touch_from = restarted + CONTACT_S if TROUBLE else 0.0
    late = [request for at, request in leaving.ran
            if at > acked + DRAIN_S and sent.get(request, 0.0) > in_touch_from]
    note(f"farewell acked at {acked:.3f}, core back at {restarted:.3f}, late {len(late)}")
    print(f"late {len(late)}")
    if not late:
        return []
    return [f"DRAIN {len(late)} requests that were sent later than 3 s after the core was back reach a runner later "
            f"than 2 s after the ack of its farewell; the first is {late[0]}, sent at {sent[late[0]]:.3f}"]


h.main(lambda: h.Cluster(controls=5, entries=2), run)
