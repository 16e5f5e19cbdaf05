"""A runner that was restarted in place leaves, after the control machine that it reports to was restarted, too."""
import os, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
from deployment import *
from runners import *

CONTACT_S, DRAIN_S, MARGIN_S = 3.0, 2.0, 0.2
# What comes before the restart of the control machine: "inplace" (a runner is restarted under its id), "foreign"
# (another writer reports under its id, as a second way to the same fault) or "none".
FIRST = os.environ.get("FIRST", "inplace")
RESTART = os.environ.get("RESTART", "1") != "0"
LISTED_AGAIN_S = 34.0


def case(record):
    deployment = Deployment(record, controls=5, entries=2)
    deployment.start()
    controls = deployment.controls
    if not put_manifest(record, controls, manifest(3), 15):
        raise CannotRun("the first manifest was not acknowledged")
    runners = [Runner(record, controls, f"{deployment.prefix}.60", f"i-7f3a91c{n}", "booking-desk", work_ms=120) for n in (1, 2)]
    leaving = runners[0]
    for runner in runners:
        if runner.report() is None:
            raise CannotRun("a runner's first report was not acknowledged")
        runner.report_always()
    time.sleep(8)  # past contact_ms and catch_up_s of the start
    clients = [Client(f"q{n}", deployment.entries[n % 2].ip, "desk.example", "/lookup/7") for n in range(2)]
    clients += [Client(f"w{n}", deployment.entries[n % 2].ip, "desk.example", "/charge/7", method="POST", pause_s=0.005) for n in range(10)]
    time.sleep(2)

    if TROUBLE and FIRST == "inplace":
        # Planned work: the runner leaves as the pages say, and starts again under its id 0.4 s after its exit.
        leaving.state = "draining"
        record(f"{leaving.name} reports draining: acknowledged by {leaving.report()}")
        time.sleep(DRAIN_S + 0.5)
        record(f"{leaving.name} sends DELETE: acknowledged by {leaving.farewell()}; it exits")
        leaving.end()
        time.sleep(0.4)
        leaving = Runner(record, controls, f"{deployment.prefix}.62", leaving.name, "booking-desk", work_ms=120)
        runners[0] = leaving
        record(f"{leaving.name} starts again, born {leaving.born}, and reports ready: acknowledged by {leaving.report()}")
        leaving.report_always()
        time.sleep(LISTED_AGAIN_S)
        first = leaving.arrivals[0][0] - leaving.beats[0][0] if leaving.arrivals else None
        record(f"the first request reached it {first and round(first, 1)} s after its first report")
    elif TROUBLE and FIRST == "foreign":
        # Another writer's report: its service is not named in the manifest. It names no runner to use.
        other = next(p for p in reversed(controls) if p.ip != leaving.beats[-1][1])
        foreign = {"service": "billing-archive", "address": leaving.address, "zone": "tt-north-a", "version": "v1", "slots": 6,
                   "state": "ready", "cold_remaining_ms": 0, "sequence": leaving.sequence + 100000, "born": leaving.born}
        status, _, _ = call(other.ip, "PUT", f"/-/instances/{leaving.name}", foreign)
        record(f"another writer: PUT /-/instances/{leaving.name} to {other.name}, service billing-archive, sequence "
               f"{foreign['sequence']}: {status or 'no answer'}")
        time.sleep(9)
    else:
        time.sleep(9)

    if TROUBLE and RESTART:
        # Planned work: the machine to which the runner reports is stopped and started again.
        stopped = next(p for p in controls if p.ip == leaving.beats[-1][1])
        record(f"SIGTERM to {stopped.name}, to which {leaving.name} reports")
        stopped.signal(signal.SIGTERM)
        try:
            stopped.child.wait(8)
        except subprocess.TimeoutExpired:
            stopped.kill()
        stopped.child = None
        stopped.start()
    time.sleep(CONTACT_S + 0.4)  # every machine is in touch again
    used = sum(1 for at, _, _ in leaving.arrivals if at >= time.monotonic() - 1)
    record(f"in the last second {used} requests reached {leaving.name}; its last reports: "
           + "; ".join(f"sequence {b[2]} {b[3]} to {b[1]}: {b[4]}" for b in leaving.beats[-3:]))

    # The runner leaves as the pages say: draining, DELETE after drain_ms and a little longer, exit.
    leaving.state = "draining"
    acked_by = leaving.report()
    acked = time.monotonic()
    record(f"{leaving.name} reports draining: acknowledged by {acked_by}")
    if acked_by is None:
        raise CannotRun("draining was not acknowledged")
    time.sleep(DRAIN_S + 1.0)
    gone_by = leaving.farewell()
    record(f"{leaving.name} sends DELETE: acknowledged by {gone_by}; it exits")
    leaving.end()
    time.sleep(1)
    for client in clients:
        client.end()
    for runner in runners:
        runner.ended.set()

    late = [(at, identity) for at, identity, _ in leaving.arrivals if at > acked + DRAIN_S + MARGIN_S]
    for at, identity in late[:20]:
        record(f"reaches {leaving.name} {at - acked:.3f} s after the ack: {identity}")
    cut = [i for c in clients for i, (_, status, _, _) in c.sent.items()
           if i.startswith("w") and status in (0, 502) and any(i == identity for _, identity, _ in leaving.arrivals)]
    sent = {}
    for client in clients:
        for _, status, _, _ in client.sent.values():
            sent[status] = sent.get(status, 0) + 1
    record("answers to clients: " + ", ".join(f"{status or 'none'} x {count}" for status, count in sorted(sent.items())))
    record(f"{len(late)} requests reached {leaving.name} later than drain_ms + {MARGIN_S} s after the ack; "
           f"{len(cut)} charges that it had begun were not answered by it: {', '.join(cut[:5])}")
    return BROKEN if late else HELD


run(HERE, case)
