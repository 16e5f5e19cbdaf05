"""A small deployment for the scripts of review/: the project's own processes, with stand-ins for
runners, clients, the balancer and the operator. Python's standard library only.

Every process and stand-in has an address of its own in 127.0.0.0/8; ports are the same on all
"machines" of a run, as on the platform, and are free ones.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "lycheehub")
HELD, BROKEN, NOT_RUN = 0, 1, 2
METRICS_PORT = 9464
HEARTBEAT_S = 1.2

# The bounds of the users' small installations (SYSTEM.md).
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "stretch_max_ms": 5000, "strict_revoke": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_min_retries": 54,
    "quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 140000, "exposure_share": 0.1,
    "exposure_slack": 50, "rollback_ms": 5000, "recovery_s": 12, "pass_ms": 120,
    "reuse_window_s": 6.7,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
             "quota", "rollout"]
# What the grown installation of the same users has otherwise (its LATER.md).
GROWN_BOUNDS = BOUNDS | {
    "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 6, "drain_ms": 2500, "config_apply_ms": 2500,
    "stretch_max_ms": 6000, "budget_min_retries": 156, "recovery_s": 15, "pass_ms": 200, "reuse_window_s": 7.2,
}
GROWN_CONTRACTS = CONTRACTS[:6] + ["health", "pool"] + CONTRACTS[6:]
ZONES = ["tt-north-a", "tt-north-b", "tt-north-c"]


class CannotRun(Exception):
    """The case could not be run: exit code 2."""


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self.write(text)
        self.file.flush()
        print(text, flush=True)

    def close(self):
        self.file.close()


def is_bindable(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


class Process:
    def __init__(self, deployment, role, place, ip, zone):
        self.deployment, self.role, self.ip, self.zone = deployment, role, ip, zone
        self.name = f"{'core' if role == 'control' else 'front'}-{zone}-{place + 1}"
        self.child = None
        self.log = os.path.join(deployment.folder, f"{ip}.log")

    def settings(self, bootstrap):
        d = self.deployment
        is_control = self.role == "control"
        lines = [
            f'node_name = "{self.name}"', f'role = "{self.role}"',
            f'machine_class = "{"core" if is_control else "front"}"',
            f'serves = ["{"control" if is_control else "front"}"]',
            f'ip = "{self.ip}"', f'zone = "{self.zone}"', 'region = "tt-north"',
            f"internal_port_range = [{d.peer_port},{d.peer_port + 15}]",
            "seeds = " + json.dumps([f"{p.ip}:{d.control_port}" for p in d.controls[:3]]),
            f"bootstrap = {str(bootstrap).lower()}",
            f"fault_counted = {str(is_control).lower()}",
        ]
        if is_control:
            lines.append("data_dir = " + json.dumps(os.path.join(d.folder, "data-" + self.ip)))
        lines += ['discovery = "registration"', 'entry = "vip"',
                  f"heartbeat_ms = {int(HEARTBEAT_S * 1000)}",
                  "contracts = " + json.dumps(d.contracts), 'config_mode = "highest"', "[zones]"]
        lines += [f'{zone} = "tt-north"' for zone in ZONES]
        lines.append("[listen]")
        if is_control:
            lines.append(f'control = "{self.ip}:{d.control_port}"')
        else:
            lines += [f'front = "{self.ip}:{d.front_port}"', f'ready = "{self.ip}:{d.ready_port}"']
        lines += ["[limits]", f"cpu_share = {0.6 if is_control else 0.25}", "cores = 1",
                  f"memory_mb = {256 if is_control else 110}",
                  f"max_fds = {4096 if is_control else 4200}", "link_mbps = 1000.0",
                  f"disk_mb = {128 if is_control else 0}",
                  "[fault_tolerance]", "machines = 2", "zones = 0", "regions = 0", "[bounds]"]
        lines += [f"{name} = {json.dumps(value)}" for name, value in d.bounds.items()]
        return "\n".join(lines) + "\n"

    def start(self, bootstrap):
        path = os.path.join(self.deployment.folder, f"{self.ip}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(bootstrap))
        log = open(self.log, "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["LYCHEEHUB_BOOT"] = path
        self.child = subprocess.Popen([PROGRAM, self.role], cwd=ROOT, env=environment, stdout=log,
                                      stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child:
            self.child.wait()
        self.child = None

    def is_running(self):
        return self.child is not None and self.child.poll() is None


class Deployment:
    """The processes of a run. `controls` machines of the core and `entries` fronts."""

    def __init__(self, record, controls=5, entries=3, bounds=BOUNDS, contracts=CONTRACTS):
        self.bounds, self.contracts = bounds, contracts
        if not os.path.isfile(PROGRAM):
            raise CannotRun("the release build is missing")
        self.record = record
        self.choose_addresses()
        self.folder = tempfile.mkdtemp(prefix="review-")
        make = lambda role, place, base: Process(
            self, role, place, f"{self.prefix}.{base + place}", ZONES[place % len(ZONES)])
        self.controls = [make("control", place, 10) for place in range(controls)]
        self.entries = [make("entry", place, 40) for place in range(entries)]

    def choose_addresses(self):
        for _ in range(50):
            self.prefix = f"127.{random.randint(32, 250)}.{random.randint(1, 250)}"
            base = random.randint(11_000, 28_000)
            self.control_port, self.front_port, self.ready_port = base, base + 1, base + 2
            self.peer_port = base + 10
            ips = [f"{self.prefix}.{last}" for last in list(range(10, 20)) + list(range(40, 50))]
            ports = [self.control_port, self.front_port, self.ready_port, self.peer_port, METRICS_PORT]
            if all(is_bindable(ip, port) for ip in ips for port in ports):
                return
        raise CannotRun("no free loopback addresses")

    def processes(self):
        return self.controls + self.entries

    def start(self):
        for process in self.processes():
            process.start(bootstrap=True)
            self.record.write(f"started {process.role} {process.name} {process.ip}")

    def end(self):
        for process in self.processes():
            process.kill()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)

    async def call_control(self, process, method, path, body=None, timeout=1.0):
        """One call to one control machine; returns (status, body), status 0 without an answer."""
        text = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
        head = (f"{method} {path} HTTP/1.1\r\nHost: {process.ip}:{self.control_port}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n"
                "Connection: close\r\n\r\n").encode()
        try:
            return await asyncio.wait_for(call_once(process.ip, self.control_port, head + text), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, b""

    async def order(self, method, path, body, limit_s, timeout=1.0):
        """An operator's order: sent to one machine after the other until one acknowledges it."""
        ends = time.monotonic() + limit_s
        turn = random.randrange(len(self.controls))
        while time.monotonic() < ends:
            process = self.controls[turn % len(self.controls)]
            turn += 1
            status, answer = await self.call_control(process, method, path, body, timeout)
            self.record.write(f"operator {method} {path} at {process.ip}: {status} {answer[:120]!r}")
            if status == 200 or status in (400, 409, 412, 413, 422):
                return status, answer, process
            await asyncio.sleep(0.1)
        raise CannotRun(f"no answer to {method} {path}")

    async def ready_entries(self):
        async def is_ready(process):
            head = f"GET /-/ready HTTP/1.1\r\nHost: {process.ip}\r\nConnection: close\r\n\r\n".encode()
            try:
                status, _ = await asyncio.wait_for(call_once(process.ip, self.ready_port, head), 1.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                status = 0
            return status == 200
        found = await asyncio.gather(*(is_ready(process) for process in self.entries))
        return [process for process, ready in zip(self.entries, found) if ready]

    async def wait_until_ready(self, limit_s=20):
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            if len(await self.ready_entries()) == len(self.entries):
                self.record.say("all entry instances are ready")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the entry instances did not become ready")


async def read_message(reader):
    """Reads a head and its body; returns (first line, fields, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


async def call_once(ip, port, message):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(message)
        await writer.drain()
        first, _, body = await read_message(reader)
        return int(first.split(" ")[1]), body
    finally:
        writer.close()


class Runner:
    """A stand-in runner of a plain service. It runs requests for `work_s` and answers with a seal."""

    places = 0

    def __init__(self, deployment, name, service, version, slots=6, work_s=0.015):
        self.deployment, self.name, self.service, self.version = deployment, name, service, version
        self.slots, self.work_s = slots, work_s
        Runner.places += 1
        self.ip = f"{deployment.prefix}.{100 + Runner.places}"
        self.zone = ZONES[Runner.places % len(ZONES)]
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.arrivals = []            # (time, request id, entry's address, ran)
        self.fails = lambda: False    # whether the next answer is a failure
        self.bad_answers = []         # times of failed answers
        self.running, self.beating = 0, None
        self.beat_at = None           # the machine that the last heartbeat named
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beating = asyncio.create_task(self.beat())

    def stop(self):
        """Ends at once: no answer, no farewell."""
        if self.beating:
            self.beating.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def announcement(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    async def beat_once(self):
        controls = list(self.deployment.controls)
        random.shuffle(controls)
        if self.beat_at:
            controls.sort(key=lambda process: process.ip != self.beat_at)
        body = self.announcement()
        for process in controls:
            status, answer = await self.deployment.call_control(
                process, "PUT", f"/-/instances/{self.name}", body)
            if 200 <= status < 300:
                try:
                    self.beat_at = json.loads(answer)["heartbeat_addr"].split(":")[0]
                except (ValueError, KeyError, TypeError):
                    self.beat_at = process.ip
                return process
            self.beat_at = None
        return None

    async def beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def serve(self, reader, writer):
        self.connections.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                first, fields, _ = await read_message(reader)
                await self.answer(first, fields, peer, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, first, fields, peer, writer):
        request = fields.get("request-id", "")
        common = f"Request-Id: {request}\r\n"
        if fields.get("expect-instance", self.name) != self.name:
            writer.write((f"HTTP/1.1 421 Misdirected Request\r\n{common}Instance-Id: {self.name}\r\n"
                          "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode())
            return
        if self.running >= self.slots + 24:
            self.arrivals.append((time.monotonic(), request, peer, False))
            writer.write((f"HTTP/1.1 503 Service Unavailable\r\n{common}Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n").encode())
            return
        self.arrivals.append((time.monotonic(), request, peer, True))
        self.deployment.record.write(f"{self.name} ({self.version}) runs {request}: {first}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s * random.uniform(0.5, 1.5))
        finally:
            self.running -= 1
        seal = f"Response-Seal: {zlib.crc32(request.encode()):x}.{self.name}\r\n"
        body = (f"{self.name} {request} ".encode() * 40)[:800]
        if self.fails():
            self.bad_answers.append(time.monotonic())
            status = "500 Internal Server Error"
        else:
            status = "200 OK"
        writer.write((f"HTTP/1.1 {status}\r\n{common}{seal}Content-Length: {len(body)}\r\n\r\n").encode() + body)
        await writer.drain()


class Clients:
    """Clients that send at a steady rate on kept channels, through the entries that are ready."""

    def __init__(self, deployment, key, deadline_ms):
        self.deployment, self.key, self.deadline_ms = deployment, key, deadline_ms
        self.entries = list(deployment.entries)
        self.idle, self.sent, self.number = {}, {}, 0
        self.statuses = {}

    async def follow_balancer(self):
        """Once a second the balancer asks who is ready."""
        while True:
            ready = await self.deployment.ready_entries()
            self.entries = ready or self.entries
            await asyncio.sleep(1.0)

    async def send_at(self, rate, method, path, until):
        """Sends requests of one kind, `rate` a second, until the function `until` holds."""
        tasks = set()
        next_at = time.monotonic()
        while not until():
            task = asyncio.create_task(self.send(method, path))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            next_at += random.uniform(0.5, 1.5) / rate
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        if tasks:
            await asyncio.wait(tasks, timeout=3)

    async def send(self, method, path, body=b"", extra=""):
        self.number += 1
        request = f"{self.number:06x}{random.getrandbits(40):010x}"
        entry = random.choice(self.entries)
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        message = (f"{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {request}\r\n"
                   f"Deadline-Ms: {self.deadline_ms}\r\nX-Api-Key: {self.key}\r\n{extra}{length}\r\n"
                   ).encode() + body
        self.sent[request] = time.monotonic()
        self.deployment.record.write(f"client sends {request} to {entry.ip}: {method} {path}")
        status = 0
        try:
            status = await asyncio.wait_for(self.exchange(entry, message), self.deadline_ms / 1e3 + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        self.statuses[request] = status
        self.deployment.record.write(f"client is answered {request}: {status}")
        return status

    async def exchange(self, entry, message):
        pool = self.idle.setdefault(entry.ip, [])
        reader = writer = None
        while pool:
            reader, writer, since = pool.pop()
            if time.monotonic() - since < 8 and not reader.at_eof():
                break
            writer.close()
            reader = None
        if reader is None:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(entry.ip, self.deployment.front_port), 1.0)
        try:
            writer.write(message)
            await writer.drain()
            first, fields, _ = await read_message(reader)
        except BaseException:
            writer.close()
            raise
        if fields.get("connection", "").lower() == "close":
            writer.close()
        else:
            pool.append((reader, writer, time.monotonic()))
        return int(first.split(" ")[1])

    def counts(self):
        counts = {}
        for status in self.statuses.values():
            counts[status] = counts.get(status, 0) + 1
        return dict(sorted(counts.items()))


def manifest(version, service, extra_routes=(), max_connections=100):
    """A manifest with an unsafe and a safe route to one plain service, as at the darkrooms."""
    route = lambda name, prefix, kind, attempts: {
        "name": name, "hostname": "ficu95.example", "path_prefix": prefix, "kind": kind,
        "timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "service": service,
        "max_attempts": attempts, "allow_anonymous": False, "session_affinity": False}
    return {
        "version": version,
        "routes": [route("r-charge", "/charge/", "unsafe", 1), route("r-lookup", "/lookup/", "safe", 2),
                   *extra_routes],
        "services": [{"name": service, "health_path": "/health", "max_connections": max_connections,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": ["i9n73hh2b9wu3fexd9dn"], "priority": 1}],
    }


def run(folder, case, limit_s=115):
    """Runs `case(record, trouble)`, an async function that returns an exit code."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        return await asyncio.wait_for(case(record, trouble), limit_s)

    def stop(*_):
        raise CannotRun("stopped by a signal")

    signal.signal(signal.SIGTERM, stop)
    try:
        code = asyncio.run(bounded())
    except (Exception, KeyboardInterrupt) as error:  # nothing but a seen break may look like one
        record.say(f"could not run: {error!r}")
        code = NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was BROKEN", NOT_RUN: "could not run"}[code])
    record.close()
    return code
