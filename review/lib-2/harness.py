"""Starts a small deployment on loopback addresses: five control and some entry processes, with stand-ins for
runners, clients and the operator. Everything that is sent, answered and run goes to record.txt."""
import ctypes
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(sys.argv[0]))
ROOT = os.path.abspath(os.path.join(HERE, "..", ".."))
BINARY = os.path.join(ROOT, "target", "release", "lycheehub")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTROL, FRONT, READY, PEER, METRICS, SERVE = 8229, 8221, 8224, 7600, 9464, 8080
# The longest time of a run, in seconds.
RUN_MAX_S = 110
START = time.monotonic()
LOCK = threading.Lock()
RECORD = open(os.path.join(HERE, "record.txt"), "w")


def now():
    return time.monotonic() - START


def note(text):
    with LOCK:
        RECORD.write(f"{now():8.3f} {text}\n")
        RECORD.flush()


def die_with_parent():
    """Makes a started process end with the thread that starts it, whatever ends that: start it in the main thread."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


class Unusable(Exception):
    """The case could not run."""


def free_prefix():
    """Returns three octets under which the ports are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(100, 220)}.{random.randint(1, 250)}"
        try:
            for last, port in ((10, CONTROL), (10, PEER), (10, METRICS), (40, FRONT), (40, READY), (60, SERVE)):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.{last}", port))
            return prefix
        except OSError:
            continue
    raise Unusable("no free loopback addresses")


class Process:
    def __init__(self, role, ip, cluster):
        self.role, self.ip, self.cluster, self.child = role, ip, cluster, None
        self.started = 0.0

    def settings(self, first):
        c = self.cluster
        seeds = ",".join(f'"{p.ip}:{CONTROL}"' for p in c.controls[:3])
        if self.role == "control":
            listen, cls, serves = f'control = "{self.ip}:{CONTROL}"', "core", "control"
            data = f'data_dir = "{c.folder}/{self.ip}"'
            limits = "cpu_share = 0.6\ncores = 1\nmemory_mb = 256\nmax_fds = 4096\ndisk_mb = 128"
        else:
            listen, cls, serves = f'front = "{self.ip}:{FRONT}"\nready = "{self.ip}:{READY}"', "front", "front"
            data = ""
            limits = "cpu_share = 0.25\ncores = 1\nmemory_mb = 110\nmax_fds = 4200\ndisk_mb = 0"
        bounds = "\n".join(f"{k} = {v}" for k, v in c.bounds.items())
        return (f'node_name = "{self.role}-{self.ip}"\nrole = "{self.role}"\nmachine_class = "{cls}"\n'
                f'serves = ["{serves}"]\nip = "{self.ip}"\nzone = "tt-north-a"\nregion = "tt-north"\n'
                f"internal_port_range = [{PEER},{PEER + 15}]\nseeds = [{seeds}]\nbootstrap = {str(first).lower()}\n"
                f"fault_counted = {str(self.role == 'control').lower()}\ndiscovery = \"registration\"\nentry = \"vip\"\n"
                f'heartbeat_ms = 1200\nconfig_mode = "highest"\n{data}\n[zones]\ntt-north-a = "tt-north"\n[listen]\n{listen}\n'
                f"[limits]\n{limits}\nlink_mbps = 1000.0\n[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n"
                f"[bounds]\n{bounds}\n")

    def start(self, first=False):
        path = f"{self.cluster.folder}/{self.ip}.toml"
        with open(path, "w") as out:
            out.write(self.settings(first))
        with open(f"{self.cluster.folder}/{self.ip}.log", "a") as log:
            self.child = subprocess.Popen([BINARY, self.role], cwd=ROOT, stdout=log, stderr=log,
                                          preexec_fn=die_with_parent,
                                          env={"PATH": os.environ.get("PATH", ""), "LYCHEEHUB_BOOT": path})
        self.started = now()
        note(f"start {self.role} {self.ip}")

    def signal(self, number):
        note(f"signal {number.name} to {self.role} {self.ip}")
        self.child.send_signal(number)

    def kill(self):
        if self.child and self.child.poll() is None:
            note(f"SIGKILL to {self.role} {self.ip}")
            self.child.kill()
        if self.child:
            self.child.wait()


SMALL_BOUNDS = dict(seed_lag_s=3, reuse_after_s=2, contact_ms=3000, ack_ms=4000, catch_up_s=4, drain_ms=2000, grace_s=8,
                    loss_slack_ms=200, config_apply_ms=2000, rollback_slack_ms=250, stretch_max_ms=5000,
                    strict_revoke="false", revoke_ms=5000, retry_budget_ratio=0.2, budget_window_s=10,
                    budget_min_retries=54, quota_window_s=8, quota_overshoot=0.1, quota_slack=140000,
                    exposure_share=0.1, exposure_slack=50, rollback_ms=5000, recovery_s=12, pass_ms=120,
                    reuse_window_s=6.7)


class Cluster:
    def __init__(self, controls=5, entries=2):
        if not os.path.exists(BINARY):
            raise Unusable("the program is not built")
        self.prefix, self.folder = free_prefix(), tempfile.mkdtemp(prefix="review-")
        self.bounds = dict(SMALL_BOUNDS)
        self.controls = [Process("control", f"{self.prefix}.{10 + i}", self) for i in range(controls)]
        self.entries = [Process("entry", f"{self.prefix}.{40 + i}", self) for i in range(entries)]
        self.runners = []

    def start(self):
        for process in self.controls + self.entries:
            process.start(first=True)

    def stop(self):
        for runner in self.runners:
            runner.ended = True
        for process in self.controls + self.entries:
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def leader(self):
        """Returns the control process that last became the leader, by its log; only chooses whom to kill."""
        found = None
        for process in self.controls:
            with open(f"{self.folder}/{process.ip}.log") as log:
                for line in log:
                    if "became the leader" in line:
                        at = json.loads(line)["timestamp"]
                        if found is None or at > found[0]:
                            found = (at, process)
        if found is None:
            raise Unusable("no process says that it leads")
        return found[1]

    def ready(self, entry):
        try:
            return call(entry.ip, READY, "GET", "/-/ready", None, 1.0)[0] == 200
        except OSError:
            return False

    def put_manifest(self, manifest, seconds=30.0):
        until = now() + seconds
        while now() < until:
            for process in self.controls:
                try:
                    status, _ = call(process.ip, CONTROL, "PUT", "/-/config", manifest, 2.0)
                except OSError:
                    continue
                note(f"operator PUT version {manifest['version']} at {process.ip}: {status}")
                if status == 200:
                    return
                if 400 <= status < 500:
                    raise Unusable(f"manifest refused: {status}")
            time.sleep(0.2)
        raise Unusable("no ack of the manifest")

    def wait_ready(self, seconds=30.0):
        until = now() + seconds
        while not all(self.ready(entry) for entry in self.entries):
            if now() > until:
                raise Unusable("the entry processes do not become ready")
            time.sleep(0.05)


def call(ip, port, method, path, body, timeout):
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, {"Content-Type": "application/json"} if data else {})
        response = connection.getresponse()
        return response.status, response.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


class Runner:
    """A sound runner of a plain service: answers after `work_s`, registers itself, echoes ids."""

    def __init__(self, cluster, last, name, service, slots=6, work_s=0.015, version="v1", beats=True):
        self.cluster, self.ip, self.name, self.service = cluster, f"{cluster.prefix}.{last}", name, service
        self.slots, self.work_s, self.version = slots, work_s, version
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.beats, self.ended, self.ran, self.running = beats, False, [], 0
        self.lock = threading.Lock()
        self.places = threading.Semaphore(slots)
        cluster.runners.append(self)
        self.listener = socket.create_server((self.ip, SERVE), backlog=512)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.heartbeat, daemon=True).start()

    def record(self):
        with self.lock:
            self.sequence += 1
            return {"service": self.service, "address": f"{self.ip}:{SERVE}", "zone": "tt-north-a", "version": self.version,
                    "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                    "born": self.born}

    def heartbeat(self):
        place = random.randrange(len(self.cluster.controls))
        while not self.ended:
            if self.beats:
                for _ in range(len(self.cluster.controls)):
                    if self.beat_at(self.cluster.controls[place], self.record()) == 200:
                        break
                    place = (place + 1) % len(self.cluster.controls)
            time.sleep(1.2)

    def beat_at(self, control, record):
        try:
            status, _ = call(control.ip, CONTROL, "PUT", f"/-/instances/{self.name}", record, 1.0)
        except OSError:
            status = 0
        note(f"runner {self.name} beat {record['sequence']} {record['state']} at {control.ip}: {status}")
        return status

    def farewell_at(self, control):
        """Sends the farewell to one node; returns the time of its ack."""
        try:
            status, _ = call(control.ip, CONTROL, "DELETE", f"/-/instances/{self.name}", None, 1.0)
        except OSError:
            status = 0
        note(f"runner {self.name} DELETE at {control.ip}: {status}")
        return now() if status == 200 else None

    def farewell(self, controls):
        for control in controls:
            acked = self.farewell_at(control)
            if acked:
                return acked
        raise Unusable("no ack of the farewell")

    def accept(self):
        while not self.ended:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(stream,), daemon=True).start()

    def close(self):
        self.ended = True
        self.listener.close()
        note(f"runner {self.name} exits")

    def serve(self, stream):
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        with stream:
            while not self.ended:
                try:
                    while b"\r\n\r\n" not in data:
                        more = stream.recv(65536)
                        if not more:
                            return
                        data += more
                    head, data = data.split(b"\r\n\r\n", 1)
                    lines = head.decode().split("\r\n")
                    fields = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines[1:])}
                    length = int(fields.get("content-length", "0"))
                    while len(data) < length:
                        more = stream.recv(65536)
                        if not more:
                            return
                        data += more
                    data = data[length:]
                    stream.sendall(self.answer(fields))
                except OSError:
                    return

    def answer(self, fields):
        request, expected = fields.get("request-id", ""), fields.get("expect-instance", self.name)
        if expected != self.name:
            note(f"runner {self.name} has not run {request}: 421")
            return reply(421, request, not_run=True)
        with self.lock:
            self.running += 1
            # It processes `slots` requests at once and queues as many.
            is_full = self.running > self.slots * 2
        try:
            until = now() + int(fields.get("deadline-ms", "1000")) / 1e3
            if is_full or not self.places.acquire(timeout=max(0.0, until - now())):
                note(f"runner {self.name} has not run {request}: full")
                return reply(503, request, not_run=True)
            try:
                self.ran.append((now(), request))
                note(f"runner {self.name} {self.version} runs {request}")
                return self.work(request)
            finally:
                self.places.release()
        finally:
            with self.lock:
                self.running -= 1

    def work(self, request):
        time.sleep(self.work_s)
        return reply(200, request, body=f"{self.name}:{request}", seal=f"{self.name}.{request}")


def reply(status, request, body="", seal=None, not_run=False):
    head = f"HTTP/1.1 {status} Status\r\nRequest-Id: {request}\r\nContent-Length: {len(body)}\r\n"
    head += f"Response-Seal: {seal}\r\n" if seal else ""
    head += "Not-Executed: 1\r\n" if not_run else ""
    return (head + "\r\n" + body).encode()


SENT = []
NUMBER = [0]


def send(entry, path, deadline_ms=1000, headers=None, host="h.example", method="GET", body=None):
    """Sends one request on a new channel; returns its record."""
    with LOCK:
        NUMBER[0] += 1
        request = f"{NUMBER[0]:016x}"
    record = {"id": request, "sent": now(), "entry": entry.ip, "path": path, "status": None}
    SENT.append(record)
    connection = http.client.HTTPConnection(entry.ip, FRONT, timeout=deadline_ms / 1e3)
    try:
        fields = {"Host": host, "Request-Id": request, "Deadline-Ms": str(deadline_ms), **(headers or {})}
        connection.request(method, path, body, fields)
        response = connection.getresponse()
        record["status"], record["body"] = response.status, response.read()
        record["seal"] = response.getheader("Response-Seal")
    except (OSError, http.client.HTTPException) as error:
        record["status"] = type(error).__name__
    finally:
        connection.close()
    record["done"] = now()
    note(f"client {request} to {entry.ip}{path} sent {record['sent']:.3f}: {record['status']}")
    return record


def load(entries, per_s, until, make):
    """Sends `per_s` requests a second until the function `until` returns true."""
    def run():
        next_at, turn = now(), 0
        while not until():
            entry = entries[turn % len(entries)]
            turn += 1
            threading.Thread(target=make, args=(entry,), daemon=True).start()
            next_at += 1.0 / per_s
            time.sleep(max(0.0, next_at - now()))
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def main(layout, run):
    """Runs `run(cluster)`, which returns a list of the places where the rule is broken."""
    def overdue():
        note("could not run: it took too long")
        os._exit(2)
    timer = threading.Timer(RUN_MAX_S, overdue)
    timer.daemon = True
    timer.start()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    cluster = None
    try:
        cluster = layout()
        broken = run(cluster)
    except SystemExit:
        raise
    except BaseException as error:
        note(f"could not run: {error}")
        traceback.print_exc()
        sys.exit(2)
    finally:
        if cluster:
            cluster.stop()
    for line in broken:
        note(f"BROKEN {line}")
        print(f"BROKEN {line}")
    verdict = "broken" if broken else "held"
    note(verdict)
    print(verdict)
    sys.stdout.flush()
    os._exit(1 if broken else 0)
