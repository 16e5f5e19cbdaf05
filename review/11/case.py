"""A core machine is replaced as planned; while it stops, two others lose their disks."""
import os, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
from deployment import *

CATCH_UP_S, RECOVERY_S, DOWN_S = 4.0, 12.0, 1.0


def log_bytes(process):
    try:
        return os.stat(os.path.join(process.data, "log")).st_size
    except OSError:
        return 0


def case(record):
    deployment = Deployment(record, controls=5, entries=1)
    deployment.start()
    controls = list(deployment.controls)
    if not put_manifest(record, controls, manifest(3), 15):
        raise CannotRun("the first manifest was not acknowledged")
    time.sleep(8)  # past contact_ms and catch_up_s of the start
    if not put_manifest(record, controls, manifest(7), 4):
        raise CannotRun("manifest 7 was not acknowledged")

    # Planned work: the successor first, which runs for longer than catch_up_s, then SIGTERM.
    successor = deployment.spares[0]
    successor.start()
    started = time.monotonic()
    time.sleep(CATCH_UP_S + 1.0)
    leader = deployment.leader(controls)
    if leader is None:
        raise CannotRun("no leader is known by the logs")
    leaver = next(p for p in reversed(controls) if p is not leader)
    others = [p for p in controls if p not in (leader, leaver)]
    lost = [leader, others[0]]
    watched = [others[1], others[2], successor]
    before = [log_bytes(p) for p in watched]
    record(f"SIGTERM to {leaver.name}, which is to go for good; its successor {successor.name} has run for "
           f"{time.monotonic() - started:.1f} s")
    signalled = time.monotonic()
    leaver.signal(signal.SIGTERM)
    if TROUBLE:
        # The sizes of files serve only to choose the moment: the first change of members has been stored.
        while time.monotonic() < signalled + 5 and not all(log_bytes(p) > b for p, b in zip(watched, before)):
            time.sleep(0.001)
        for process in lost:
            process.signal(signal.SIGKILL)
        record(f"{time.monotonic() - signalled:.3f} s after it, {lost[0].name} (which leads) and {lost[1].name} lose their disks "
               f"and are down for {DOWN_S} s (lost now: these two)")
        for process in lost:
            process.lose_disk()
        back_at = time.monotonic() + DOWN_S
    try:
        leaver.child.wait(8)
        record(f"{leaver.name} ends by itself {time.monotonic() - signalled:.2f} s after its SIGTERM")
    except subprocess.TimeoutExpired:
        record(f"{leaver.name} is killed at the end of grace_s")
    leaver.lose_disk()
    controls[controls.index(leaver)] = successor
    if TROUBLE:
        time.sleep(max(0.0, back_at - time.monotonic()))
        for process in lost:
            process.start()
    record("five machines of the core run")
    version = read_manifest(record, controls, RECOVERY_S + 10)
    if version is None:
        for process in controls[:2]:
            status, _, _ = call(process.ip, "GET", "/-/config", timeout=6)
            record(f"asked once more with 6 s of patience, {process.name}: {status or 'no answer'}")
        acked = put_manifest(record, controls, manifest(9), 6)
        record(f"a further manifest is {'acknowledged' if acked else 'not acknowledged by any machine'}")
        return BROKEN
    return HELD if version >= 7 else BROKEN


run(HERE, case)
