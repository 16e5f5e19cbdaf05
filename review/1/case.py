"""A core machine is replaced as planned; then the core loses as many disks as it has to bear.

TROUBLE=0 replaces the machine as well and leaves out the loss of the disks.
"""
import asyncio
import json
import os
import shutil
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
sys.dont_write_bytecode = True
import deployment as d  # noqa: E402

SERVICE, KEY = "wuno96b", "i9n73hh2b9wu3fexd9dn"
SUCCESSOR_LEAD_S = 6.0   # the successor runs so long before the old machine is stopped; catch_up_s is 4
AFTER_REMOVAL_S = 1.0    # from the old machine's end to the loss of the disks
DOWN_S = 1.0             # as after_ack_wipe in the site file
OBSERVED_S = 40.0        # recovery_s is 12


async def version_read(deployment, within_s):
    """The operator reads the manifest at any node until one answers 200; None if none does."""
    ends = time.monotonic() + within_s
    turn = 0
    while time.monotonic() < ends:
        process = deployment.controls[turn % len(deployment.controls)]
        turn += 1
        status, body = await deployment.call_control(process, "GET", "/-/config")
        if status == 200:
            return json.loads(body)["version"]
        deployment.record.write(f"operator GET /-/config at {process.ip}: {status}")
        await asyncio.sleep(0.2)
    return None


async def case(record, trouble):
    deployment = d.Deployment(record, controls=5, entries=2)
    runner = d.Runner(deployment, "i-1", SERVICE, "v1")
    try:
        deployment.start()
        await deployment.order("PUT", "/-/config", d.manifest(3, SERVICE), 30)
        await runner.start()
        await deployment.wait_until_ready()
        await asyncio.sleep(6)

        successor = d.Process(deployment, "control", 5, f"{deployment.prefix}.15", d.ZONES[0])
        deployment.extra = [successor]
        successor.start(bootstrap=False)
        started = time.monotonic()
        record.say(f"the successor {successor.ip} starts, with an empty disk")
        await asyncio.sleep(SUCCESSOR_LEAD_S)

        removed = deployment.controls[4]
        removed.signal(signal.SIGTERM)
        while removed.is_running():
            await asyncio.sleep(0.02)
        ended = time.monotonic()
        deployment.controls = deployment.controls[:4] + [successor]
        record.say(f"{removed.ip} got SIGTERM and has ended, {ended - started:.1f} s after its successor's "
                   "start; it doesn't come back")
        await deployment.order("PUT", "/-/config", d.manifest(7, SERVICE), 8)
        acked = time.monotonic()
        record.say(f"manifest 7 is acknowledged {acked - ended:.2f} s after the removed machine's end")
        await asyncio.sleep(max(0.0, ended + AFTER_REMOVAL_S - time.monotonic()))
        if trouble:
            for process in deployment.controls[:2]:
                process.kill()
                shutil.rmtree(os.path.join(deployment.folder, "data-" + process.ip))
            record.say(f"{time.monotonic() - ended:.2f} s after that end {deployment.controls[0].ip} and "
                       f"{deployment.controls[1].ip} are killed and lose their disks")
            await asyncio.sleep(DOWN_S)
            for process in deployment.controls[:2]:
                process.start(bootstrap=False)
            record.say("both are back, with empty disks: five machines of the core run")

        back = time.monotonic()
        version = await version_read(deployment, OBSERVED_S)
        record.say(f"operator reads manifest {version} {time.monotonic() - back:.1f} s after all machines run")
        try:
            await deployment.order("PUT", "/-/config", d.manifest(9, SERVICE), 10)
            record.say("manifest 9 is acknowledged")
        except d.CannotRun:
            record.say("manifest 9 is not acknowledged within 10 s")
        # A front machine that starts again takes no requests without a quorum.
        front = deployment.entries[0]
        front.kill()
        front.start(bootstrap=False)
        await asyncio.sleep(5)
        ready = front in await deployment.ready_entries()
        record.say(f"a front machine that was started again 5 s ago is {'ready' if ready else 'not ready'}")
        running = sum(process.is_running() for process in deployment.controls)
        record.say(f"machines of the core that run: {running} of 5")
        return d.HELD if version is not None and version >= 7 else d.BROKEN
    finally:
        runner.stop()
        for process in getattr(deployment, "extra", []):
            process.kill()
        deployment.end()


sys.exit(d.run(HERE, case))
