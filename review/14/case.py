"""A runner that was restarted in place says farewell, and a report that it sent before comes late."""
import os, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
from deployment import *
from runners import *

DRAIN_S, MARGIN_S = 2.0, 0.2
LATE_S = 2.3            # how late the report comes
FAREWELL_AT_S = 29.0    # from the first report of the new start
SERVES_ON_S = 6.5       # after the farewell


def case(record):
    deployment = Deployment(record, controls=5, entries=2)
    deployment.start()
    controls = deployment.controls
    if not put_manifest(record, controls, manifest(3), 15):
        raise CannotRun("the first manifest was not acknowledged")
    runners = [Runner(record, controls, f"{deployment.prefix}.60", f"i-7f3a91c{n}", "booking-desk", work_ms=120) for n in (1, 2)]
    for runner in runners:
        if runner.report() is None:
            raise CannotRun("a runner's first report was not acknowledged")
        runner.report_always()
    time.sleep(8)  # past contact_ms and catch_up_s of the start
    clients = [Client(f"q{n}", deployment.entries[n % 2].ip, "desk.example", "/lookup/7") for n in range(2)]
    clients += [Client(f"w{n}", deployment.entries[n % 2].ip, "desk.example", "/charge/7", method="POST", pause_s=0.005) for n in range(10)]
    time.sleep(1)

    # Planned work: a runner leaves as the pages say, and starts again under its id 0.4 s after its exit.
    first = runners[0]
    first.state = "draining"
    record(f"{first.name} reports draining: acknowledged by {first.report()}")
    time.sleep(DRAIN_S + 0.5)
    record(f"{first.name} sends DELETE: acknowledged by {first.farewell()}; it exits")
    first.end()
    time.sleep(0.4)
    runner = Runner(record, controls, f"{deployment.prefix}.62", first.name, "booking-desk", work_ms=120)
    runners[0] = runner
    at = runner.report()
    began = time.monotonic()
    record(f"{runner.name} starts again, born {runner.born}, and reports ready: acknowledged by {at}")
    runner.report_always()

    # It leaves again, by DELETE first. One report that it sent just before is held up on its way.
    time.sleep(FAREWELL_AT_S - 0.5)
    runner.quiet = True
    sent, machine = time.monotonic(), runner.beats[-1][1]
    runner.sequence += 1
    late = {"service": "booking-desk", "address": runner.address, "zone": "tt-north-a", "version": "v1", "slots": runner.slots,
            "state": "ready", "cold_remaining_ms": 0, "sequence": runner.sequence, "born": runner.born}
    record(f"{runner.name} sends a report, sequence {runner.sequence}, to {machine}, that does not arrive yet")
    time.sleep(0.5)
    gone_by = runner.farewell()
    acked = time.monotonic()
    record(f"{runner.name} sends DELETE {acked - began:.1f} s after its first report: acknowledged by {gone_by}")
    if gone_by is None:
        raise CannotRun("the farewell was not acknowledged")
    if TROUBLE:
        time.sleep(max(0.0, sent + LATE_S - time.monotonic()))
        status, _, _ = call(machine, "PUT", f"/-/instances/{runner.name}", late)
        record(f"the report of sequence {late['sequence']} arrives {time.monotonic() - sent:.1f} s late at {machine}: {status}")
    time.sleep(max(0.0, acked + SERVES_ON_S - time.monotonic()))
    record(f"{runner.name} exits")
    runner.end()
    time.sleep(1)
    for client in clients:
        client.end()
    for one in runners:
        one.ended.set()

    too_late = [(at, identity) for at, identity, _ in runner.arrivals if at > acked + DRAIN_S + MARGIN_S]
    for at, identity in too_late[:20]:
        record(f"reaches {runner.name} {at - acked:.3f} s after the ack: {identity}")
    cut = [i for c in clients for i, (_, status, _, _) in c.sent.items()
           if i.startswith("w") and status in (0, 502) and any(i == identity for _, identity, _ in runner.arrivals)]
    answers = {}
    for client in clients:
        for _, status, _, _ in client.sent.values():
            answers[status] = answers.get(status, 0) + 1
    record("answers to clients: " + ", ".join(f"{status or 'none'} x {count}" for status, count in sorted(answers.items())))
    record(f"{len(too_late)} requests reached {runner.name} later than drain_ms + {MARGIN_S} s after the ack of its farewell; "
           f"{len(cut)} charges that it had begun were not answered by it: {', '.join(cut[:5])}")
    return BROKEN if too_late else HELD


run(HERE, case)
