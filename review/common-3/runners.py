"""Stand-in runners and clients that do what the users' pages say, and keep a list of all that they saw."""
import http.client, json, socket, socketserver, threading, time
from deployment import CONTROL, FRONT, call


class Runner:
    """A runner of an application service: it answers with its body and its seal, and reports itself."""

    def __init__(self, record, controls, ip, name, service, work_ms=15, slots=6, zone="tt-north-a"):
        self.record, self.controls, self.name, self.service = record, controls, name, service
        self.work_ms, self.slots, self.zone = work_ms, slots, zone
        self.born, self.sequence, self.state = int(time.time() * 1e3), 0, "ready"
        self.beat_at = None          # the address that the last answer named for later reports
        self.beats = []              # (time, machine, sequence, state, status)
        self.arrivals = []           # (time, id, path)
        self.finished = {}           # id -> how often its run came to its end
        self.lock, self.open = threading.Lock(), set()
        self.listener = socket.create_server((ip, 0))
        self.address = "%s:%d" % self.listener.getsockname()
        self.quiet = False           # set: it sends no further reports
        self.ended = threading.Event()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.ended.is_set():
            try:
                channel, _ = self.listener.accept()
            except OSError:
                return
            self.open.add(channel)
            threading.Thread(target=self.serve, args=(channel,), daemon=True).start()

    def serve(self, channel):
        reader = channel.makefile("rb")
        try:
            while True:
                line = reader.readline()
                if not line:
                    return
                method, path, _ = line.decode("latin-1").split(" ", 2)
                fields = {}
                while (line := reader.readline().strip()):
                    key, _, value = line.decode("latin-1").partition(":")
                    fields[key.strip().lower()] = value.strip()
                body = reader.read(int(fields.get("content-length", 0)))
                self.answer(channel, method, path, fields, body)
        except (OSError, ValueError):
            pass
        finally:
            self.open.discard(channel)
            channel.close()

    def answer(self, channel, method, path, fields, body):
        identity = fields.get("request-id", "")
        if path == "/health":
            return self.send(channel, "200 OK", identity, b"", [f"Instance-Id: {self.name}"])
        if fields.get("expect-instance", self.name) != self.name:
            return self.send(channel, "421 Misdirected Request", identity, b"", ["Not-Executed: 1"])
        with self.lock:
            self.arrivals.append((time.monotonic(), identity, path))
        time.sleep(self.work_ms / 1e3)
        with self.lock:
            self.finished[identity] = self.finished.get(identity, 0) + 1
        text = f"{self.name} ran {method} {path} {identity} with {len(body)} bytes".encode()
        self.send(channel, "200 OK", identity, text, [f"Response-Seal: {self.name}.{identity}.{len(text)}"])

    @staticmethod
    def send(channel, status, identity, body, fields):
        head = [f"HTTP/1.1 {status}", f"Request-Id: {identity}", *fields, f"Content-Length: {len(body)}"]
        channel.sendall(("\r\n".join(head) + "\r\n\r\n").encode() + body)

    def report(self, beat_at=None):
        """Sends one liveness report: to the address that was named, else to one machine after the other."""
        first = [beat_at or self.beat_at] if (beat_at or self.beat_at) else []
        for address in first + [f"{p.ip}:{CONTROL}" for p in self.controls]:
            self.sequence += 1
            content = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                       "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
                       "born": self.born}
            ip, port = address.split(":")
            status, _, body = call(ip, "PUT", f"/-/instances/{self.name}", content, port=int(port))
            self.beats.append((time.monotonic(), ip, self.sequence, self.state, status))
            if 200 <= status < 300:
                self.beat_at = (json.loads(body or b"{}") or {}).get("heartbeat_addr") or self.beat_at
                return ip
            self.beat_at = None
        return None

    def report_always(self, interval_s=1.2):
        def loop():
            while not self.ended.wait(interval_s) and not self.quiet:
                self.report()
        threading.Thread(target=loop, daemon=True).start()

    def farewell(self):
        for process in self.controls:
            status, _, _ = call(process.ip, "DELETE", f"/-/instances/{self.name}")
            if 200 <= status < 300:
                return process.ip
        return None

    def end(self):
        """Ends as a process does: its channels are closed."""
        self.ended.set()
        self.listener.close()
        for channel in list(self.open):
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Client:
    """Sends requests over a kept channel, one after the other, and opens a new one when it was closed."""

    def __init__(self, name, entry_ip, host, path, method="GET", key=None, pause_s=0.02, deadline_ms=1500):
        self.name, self.ip, self.host, self.path, self.method = name, entry_ip, host, path, method
        self.key, self.pause_s, self.deadline_ms = key, pause_s, deadline_ms
        self.sent = {}               # id -> (time, status or 0, the runner's seal)
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        number, connection = 0, None
        while not self.ended.is_set():
            number += 1
            identity, at = f"{self.name}-{number:06d}", time.monotonic()
            if connection is None:
                connection = http.client.HTTPConnection(self.ip, FRONT, timeout=self.deadline_ms / 1e3)
            fields = {"Host": self.host, "Request-Id": identity, "Deadline-Ms": str(self.deadline_ms)}
            if self.key:
                fields["X-Api-Key"] = self.key
            try:
                connection.request(self.method, self.path, body=b"" if self.method == "GET" else b"charge", headers=fields)
                answer = connection.getresponse()
                body = answer.read()
                self.sent[identity] = (at, answer.status, answer.getheader("Response-Seal"), body)
                if answer.will_close:
                    connection.close()
                    connection = None
            except (OSError, http.client.HTTPException):
                self.sent[identity] = (at, 0, None, b"")
                connection.close()
                connection = None
            time.sleep(self.pause_s)

    def end(self):
        self.ended.set()
        self.thread.join(5)
