"""Three core machines lose their disks one after the other, never more than two lost at the same time."""
import os, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))
from deployment import *

CATCH_UP_S, RECOVERY_S = 4.0, 12.0


def await_leader(deployment, among, after_unix_ms, for_s):
    ends = time.monotonic() + for_s
    while time.monotonic() < ends:
        leader = deployment.leader(among)
        if leader and leader.last_time_in_log('"became the leader"') > after_unix_ms:
            return leader
        time.sleep(0.02)
    return None


def case(record):
    deployment = Deployment(record, controls=5, entries=1)
    deployment.start()
    controls = list(deployment.controls)
    if not put_manifest(record, controls, manifest(3), 15):
        raise CannotRun("the first manifest was not acknowledged")
    # More than contact_ms and catch_up_s after the start, nothing counts as lost any more.
    time.sleep(9)
    if not put_manifest(record, controls, manifest(7), 4):
        raise CannotRun("manifest 7 was not acknowledged")
    time.sleep(1)

    if TROUBLE:
        # 1. The machine that leads is removed for good; an empty one comes 1 s later at another address.
        first = deployment.leader()
        lost_unix_ms = time.time() * 1e3
        record(f"loss 1: {first.name}, which leads, is gone for good, with its disk")
        began = time.monotonic()
        first.lose_disk()
        controls.remove(first)
        time.sleep(1.0)
        successor = deployment.spares[0]
        successor.start()
        controls.append(successor)
        counts_until = time.monotonic() + CATCH_UP_S
        # 2. The machine that leads now loses its disk, and is down for 3 s.
        second = await_leader(deployment, [p for p in controls if p is not successor], lost_unix_ms, 5)
        if second is None:
            raise CannotRun("no second leader within 5 s")
        elected = second.last_time_in_log('"became the leader"') / 1e3
        time.sleep(max(0.0, elected + 1.9 - time.time()))
        lost_unix_ms = time.time() * 1e3
        record(f"loss 2: {second.name}, which leads, loses its disk and is down for 3 s (lost now: {first.name}, {second.name})")
        second.lose_disk()
        back_at = time.monotonic() + 3.0
        # 3. Once the successor has had catch_up_s, a third machine loses its disk, and is down for 1 s.
        time.sleep(max(0.0, counts_until + 0.05 - time.monotonic()))
        others = [p for p in controls if p not in (successor, second)]
        third = others[0]
        record(f"loss 3: {third.name} loses its disk and is down for 1 s; {successor.name} has run for "
               f"{time.monotonic() - counts_until + CATCH_UP_S:.2f} s (lost now: {second.name}, {third.name}); "
               f"{time.monotonic() - began:.1f} s since loss 1")
        third.lose_disk()
        third_back_at = time.monotonic() + 1.0
        for process, at in sorted([(second, back_at), (third, third_back_at)], key=lambda pair: pair[1]):
            time.sleep(max(0.0, at - time.monotonic()))
            process.start()
        record("all five machines run again")
    # recovery_s after all are back, and more than contact_ms beyond that, the operator still reads.
    version = read_manifest(record, controls, RECOVERY_S + 18)
    if version is None:
        # Asked with more patience than the operator has, each machine says that it can't tell.
        for process in controls:
            status, _, _ = call(process.ip, "GET", "/-/config", timeout=6)
            record(f"asked once more with 6 s of patience, {process.name}: {status or 'no answer'}")
        acked = put_manifest(record, controls, manifest(9), 6)
        record(f"a further manifest is {'acknowledged' if acked else 'not acknowledged by any machine'}")
        return BROKEN
    return HELD if version >= 7 else BROKEN


run(HERE, case)
