"""A rollout of a version that is bad under load, and the check of EXPOSURE."""
import json
import threading
import time

import harness as h
from harness import note, now

RATE_PER_S = 60
DURATION_S = 12.0
ROLLBACK_S = 5.0
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
CONTACT_S = 3.0
# What follows the time limit, in seconds.
AFTER_S = 14.0
MANIFEST = {
    "version": 7,
    "routes": [{"name": "r", "hostname": "h.example", "path_prefix": "/a/", "kind": "safe", "timeout_ms": 1500,
                "target_latency_ms": 150, "priority": 1, "service": "desk", "max_attempts": 2, "allow_anonymous": True,
                "session_affinity": False, "stream_resume": False}],
    "services": [{"name": "desk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}}


def order(cluster):
    for process in cluster.controls * 3:
        try:
            status, _ = h.call(process.ip, h.CONTROL, "POST", "/-/rollouts",
                               {"service": "desk", "target": "v2", "duration_s": DURATION_S}, 1.0)
        except OSError:
            continue
        note(f"operator orders the rollout of v2 at {process.ip}: {status}")
        if status == 200:
            return now()
    raise h.Unusable("no ack of the rollout")


def state_of(cluster):
    for process in cluster.controls:
        try:
            status, body = h.call(process.ip, h.CONTROL, "GET", "/-/rollouts/desk", None, 0.5)
        except OSError:
            continue
        if status == 200:
            return json.loads(body)["state"]
    return None


def drain(runners):
    time.sleep(2.0)
    for runner in runners:
        runner.state = "draining"
    time.sleep(4.0)
    for runner in runners:
        runner.beats = False
        runner.farewell(runner.cluster.controls)
        runner.close()


def run(cluster, make_new, disturb=None, path_of=lambda: "/a/x"):
    """Plays the rollout. `disturb(new runners, seconds since the order)` is called often; it returns when the core
    was disturbed last, or None."""
    cluster.start()
    cluster.put_manifest(MANIFEST)
    old = [h.Runner(cluster, 60 + i, f"i-old{i}", "desk", work_s=0.06) for i in range(3)]
    cluster.wait_ready()
    over = threading.Event()
    h.load(cluster.entries, RATE_PER_S, over.is_set, lambda entry: h.send(entry, path_of(), 1500))
    time.sleep(5.0)
    ordered = order(cluster)
    new = [make_new(cluster, i) for i in range(3)]
    state, asked, disturbed = "running", 0.0, None
    while now() < ordered + DURATION_S + AFTER_S:
        time.sleep(0.02)
        if disturb:
            disturbed = disturb(new, now() - ordered) or disturbed
        if state == "running" and now() > asked + 0.1:
            asked = now()
            seen = state_of(cluster)
            if seen not in (None, state):
                state = seen
                note(f"the rollout is {state} {now() - ordered:.2f} s after the order")
                if state == "completed":
                    for runner in old:
                        runner.beats = False
                        runner.close()
                else:
                    threading.Thread(target=drain, args=(new,), daemon=True).start()
    over.set()
    time.sleep(1.7)
    return judge(ordered, state, new, disturbed)


def judge(ordered, state, new, disturbed):
    sent = {request["id"]: request["sent"] for request in h.SENT}
    # Machines are in touch `contact_ms` after the core was disturbed last, and until it is disturbed.
    def in_touch(at):
        return disturbed is None or at < disturbed[0] or at > disturbed[1] + CONTACT_S
    stable_from = disturbed[1] + CONTACT_S if disturbed else 0.0
    ran = [(at, request) for runner in new for at, request in runner.ran]
    until = ordered + DURATION_S
    reached = len([at for at, request in ran if at <= until and in_touch(sent.get(request, 0.0))])
    asked = len([at for at in sent.values() if ordered <= at <= until])
    allowed = EXPOSURE_SHARE * asked + EXPOSURE_SLACK
    bad = sorted(at for runner in new for at in runner.bad if at >= stable_from)
    broken = []
    if any(runner.bad for runner in new) and reached > allowed:
        broken.append(f"EXPOSURE the bad version gets {reached} of {asked} requests until the time limit; {allowed:.0f} allowed")
    late = []
    if len(bad) >= 50:
        late = [request for _, request in ran
                if sent.get(request, 0.0) > bad[49] + ROLLBACK_S and in_touch(sent[request])]
    if late:
        broken.append(f"EXPOSURE {len(late)} requests that were sent later than 5 s after the 50th bad answer "
                      f"({bad[49] - ordered:.2f} s after the order) reach the bad version")
    failed = len([1 for request in h.SENT if request["sent"] > until and request["status"] != 200])
    late_sent = len([1 for request in h.SENT if request["sent"] > until])
    note(f"state {state}, bad answers {len([1 for r in new for _ in r.bad])}, reached {reached} of {asked}, "
         f"late {len(late)}; after the time limit {failed} of {late_sent} clients' requests are not answered with 200")
    print(f"state {state}, late {len(late)}")
    return broken
