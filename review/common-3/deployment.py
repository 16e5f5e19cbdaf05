"""A small deployment of the project's own programs on loopback addresses, and its operator.

Each process has an address of its own in 127.0.0.0/8 and a settings file as the users' pages describe
it. Nothing here needs more than Python's standard library. Only processes that were started here are
signalled, each by its own id.
"""
import atexit, http.client, json, os, random, shutil, signal, socket, subprocess, sys, tempfile, threading, time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "lycheehub")
CONTROL, FRONT, READY, PEERS, METRICS = 8229, 8221, 8224, 7600, 9464
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of a small installation, as on the users' sheets.
BOUNDS = """[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
stretch_max_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_min_retries = 54
quota_window_s = 8
quota_overshoot = 0.1
quota_slack = 140000
exposure_share = 0.1
exposure_slack = 50
rollback_ms = 5000
recovery_s = 12
pass_ms = 120
reuse_window_s = 6.7
"""


class CannotRun(Exception):
    pass


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self.lock:
            print(f"{self.now():8.3f} s  {text}", file=self.file, flush=True)


class Process:
    def __init__(self, deployment, role, ip, zone):
        self.deployment, self.role, self.ip, self.zone = deployment, role, ip, zone
        self.name = f"{role}-{ip.rsplit('.', 1)[1]}"
        self.settings = os.path.join(deployment.folder, self.name + ".toml")
        self.log = os.path.join(deployment.folder, self.name + ".log")
        self.data = os.path.join(deployment.folder, self.name + "-data")
        self.child = None

    def write_settings(self, bootstrap):
        listen = (f'control = "{self.ip}:{CONTROL}"\n' if self.role == "control"
                  else f'front = "{self.ip}:{FRONT}"\nready = "{self.ip}:{READY}"\n')
        seeds = ",".join(f'"{ip}:{CONTROL}"' for ip in self.deployment.seeds)
        machine_class = "core" if self.role == "control" else "front"
        data = f'data_dir = "{self.data}"\n' if self.role == "control" else ""
        text = (f'node_name = "{machine_class}-{self.name}"\nrole = "{self.role}"\n'
                f'machine_class = "{machine_class}"\nserves = ["{"control" if self.role == "control" else "front"}"]\n'
                f'ip = "{self.ip}"\nzone = "{self.zone}"\nregion = "tt-north"\n'
                f'internal_port_range = [{PEERS},{PEERS + 15}]\nseeds = [{seeds}]\n'
                f'bootstrap = {"true" if bootstrap else "false"}\n'
                f'fault_counted = {"true" if self.role == "control" else "false"}\n'
                f'discovery = "registration"\nentry = "vip"\nheartbeat_ms = 1200\nconfig_mode = "highest"\n{data}'
                f'[zones]\ntt-north-a = "tt-north"\ntt-north-b = "tt-north"\ntt-north-c = "tt-north"\n'
                f'[listen]\n{listen}'
                f'[limits]\ncpu_share = 0.6\ncores = 1\nmemory_mb = 256\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 128\n'
                f'[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n{BOUNDS}')
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self, bootstrap=False):
        os.makedirs(self.data, exist_ok=True)
        self.write_settings(bootstrap)
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["LYCHEEHUB_BOOT"] = self.settings
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen([PROGRAM, self.role], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)
        self.deployment.record(f"{self.name} starts{' with an empty disk' if self.role == 'control' and not os.listdir(self.data) else ''}")

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        if self.child:
            self.signal(signal.SIGKILL)
            self.child.wait()
            self.child = None

    def lose_disk(self):
        self.kill()
        shutil.rmtree(self.data, ignore_errors=True)

    def last_time_in_log(self, text):
        """Returns the time of the last line of its log with this text, in Unix milliseconds."""
        last = None
        try:
            with open(self.log, encoding="utf-8", errors="replace") as log:
                for line in log:
                    if text in line:
                        last = json.loads(line)["timestamp"]
        except (OSError, ValueError):
            pass
        return last


class Deployment:
    def __init__(self, record, controls=5, entries=2):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the release build is missing")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="lycheehub-review-")
        self.prefix = self.free_prefix()
        zones = ["tt-north-a", "tt-north-b", "tt-north-c"]
        ips = [f"{self.prefix}.{10 + place}" for place in range(controls)]
        self.seeds = ips[:3]
        self.controls = [Process(self, "control", ip, zones[place % 3]) for place, ip in enumerate(ips)]
        self.entries = [Process(self, "entry", f"{self.prefix}.{40 + place}", zones[place % 3]) for place in range(entries)]
        self.spares = [Process(self, "control", f"{self.prefix}.{30 + place}", zones[place % 3]) for place in range(3)]
        atexit.register(self.end)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: sys.exit(NOT_RUN))

    @staticmethod
    def free_prefix():
        for _ in range(200):
            prefix = f"127.{random.randint(16, 240)}.{random.randint(1, 250)}"
            try:
                for last in (*range(10, 16), *range(30, 34), *range(40, 48)):
                    for port in (CONTROL, FRONT, READY, PEERS, METRICS):
                        with socket.socket() as probe:
                            probe.bind((f"{prefix}.{last}", port))
                return prefix
            except OSError:
                continue
        raise CannotRun("no free addresses")

    def processes(self):
        return [*self.controls, *self.spares, *self.entries]

    def start(self):
        for process in [*self.controls, *self.entries]:
            process.start(bootstrap=True)

    def end(self):
        for process in self.processes():
            try:
                process.signal(signal.SIGCONT)
                process.kill()
            except OSError:
                pass
        if os.environ.get("KEEP") == "1":
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def leader(self, among=None):
        """Returns the running control process that became the leader last, by its log."""
        running = [p for p in (among or [*self.controls, *self.spares]) if p.child and p.child.poll() is None]
        known = [(p.last_time_in_log('"became the leader"') or 0, p.ip, p) for p in running]
        known = [k for k in known if k[0]]
        return max(known)[2] if known else None


def call(ip, method, path, body=None, timeout=1.0, port=CONTROL, headers=None):
    """Sends one request on a new channel; returns status, headers and body, or status 0 if there is no answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        data = None if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
        fields = {"Connection": "close", **(headers or {})}
        if data is not None:
            fields.setdefault("Content-Type", "application/json")
        connection.request(method, path, body=data, headers=fields)
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def manifest(version, routes=None, services=None, tenants=None):
    return {
        "version": version,
        "routes": routes if routes is not None else [
            {"name": "r-lookup", "hostname": "desk.example", "path_prefix": "/lookup/", "kind": "safe", "timeout_ms": 2000,
             "target_latency_ms": 100, "priority": 1, "service": "booking-desk", "max_attempts": 2},
            {"name": "r-charge", "hostname": "desk.example", "path_prefix": "/charge/", "kind": "unsafe", "timeout_ms": 2000,
             "target_latency_ms": 100, "priority": 0, "service": "booking-desk", "max_attempts": 1}],
        "services": services if services is not None else [
            {"name": "booking-desk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        **({"tenants": tenants} if tenants else {}),
    }


def put_manifest(record, controls, content, for_s):
    """The operator: sends a manifest to one machine after the other until one acknowledges it."""
    ends, place = time.monotonic() + for_s, 0
    while time.monotonic() < ends:
        process = controls[place % len(controls)]
        place += 1
        if process.child is None:
            continue
        status, _, _ = call(process.ip, "PUT", "/-/config", content)
        record(f"operator: PUT manifest {content['version']} to {process.name}: {status or 'no answer'}")
        if status == 200:
            return process
        time.sleep(0.1)
    return None


def read_manifest(record, controls, for_s, every_s=0.3):
    """The operator: reads the manifest back from one machine after the other until it comes."""
    ends, place, asked = time.monotonic() + for_s, 0, {}
    while time.monotonic() < ends:
        process = controls[place % len(controls)]
        place += 1
        status, _, body = call(process.ip, "GET", "/-/config")
        asked[status] = asked.get(status, 0) + 1
        if status == 200:
            version = json.loads(body)["version"]
            record(f"operator: GET manifest from {process.name}: 200, version {version}")
            return version
        time.sleep(every_s)
    record(f"operator: GET manifest, all machines in turn for {for_s} s: "
           + ", ".join(f"{status or 'no answer'} x {count}" for status, count in sorted(asked.items())))
    return None


def run(folder, case):
    """Runs a case and exits as the review asks: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder)
    record(f"TROUBLE={1 if TROUBLE else 0}")
    try:
        verdict = case(record)
    except CannotRun as error:
        record(f"cannot run: {error}")
        verdict = NOT_RUN
    except Exception as error:  # a fault of the script or the machine is not a break of the rule
        record(f"the script failed: {type(error).__name__}: {error}")
        verdict = NOT_RUN
    record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}[verdict])
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[verdict])
    sys.exit(verdict)
