"""Three machines of the core are replaced as planned, one after the other; nothing fails.

Each successor starts first and runs for more than catch_up_s before its predecessor gets SIGTERM.
TROUBLE=0 starts the successors as well and removes no machine.

For reading only: VARIANT=disks replaces one machine so, and 1 s after its end two others lose their disks at
once; GAP_S=10 replaces the three machines 10 s apart.
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
SUCCESSOR_LEAD_S = 6.0   # the successors run so long before the first machine is stopped; catch_up_s is 4
GAP_S = float(os.environ.get("GAP_S", "1.3"))   # from one machine's end to the next one's SIGTERM
DISKS_AFTER_S = 1.0      # VARIANT=disks: from the machine's end to the loss of two disks
DISKS_DOWN_S = 1.0
OBSERVED_S = 40.0        # recovery_s is 12


async def version_read(deployment, within_s):
    """The operator reads the manifest at any node until one answers 200; None if none does."""
    ends = time.monotonic() + within_s
    turn = 0
    while time.monotonic() < ends:
        process = deployment.controls[turn % len(deployment.controls)]
        turn += 1
        status, body = await deployment.call_control(process, "GET", "/-/config")
        deployment.record.write(f"operator GET /-/config at {process.ip}: {status}")
        if status == 200:
            return json.loads(body)["version"]
        await asyncio.sleep(0.2)
    return None


async def put_manifest(deployment, version):
    await deployment.order("PUT", "/-/config", d.manifest(version, SERVICE), 8)
    deployment.record.say(f"manifest {version} is acknowledged")


async def replace(deployment, place, successor, started):
    """Stops the machine at `place` for good; its successor takes its place."""
    removed = deployment.controls[place]
    deployment.controls[place] = successor
    removed.signal(signal.SIGTERM)
    sent = time.monotonic()
    while removed.is_running():
        await asyncio.sleep(0.02)
    deployment.record.say(
        f"{removed.ip} got SIGTERM {sent - started:.1f} s after the start of its successor {successor.ip}, and "
        f"has ended by itself {time.monotonic() - sent:.1f} s later")


async def lose_disks(deployment, processes):
    for process in processes:
        process.kill()
        shutil.rmtree(os.path.join(deployment.folder, "data-" + process.ip))
        deployment.record.say(f"{process.ip} is killed and loses its disk")
    await asyncio.sleep(DISKS_DOWN_S)
    for process in processes:
        process.start(bootstrap=False)


async def case(record, trouble):
    deployment = d.Deployment(record, controls=5, entries=2)
    runner = d.Runner(deployment, "i-1", SERVICE, "v1")
    everything = list(deployment.controls)
    loses_disks = os.environ.get("VARIANT") == "disks"
    try:
        deployment.start()
        await deployment.order("PUT", "/-/config", d.manifest(3, SERVICE), 30)
        await runner.start()
        await deployment.wait_until_ready()
        await asyncio.sleep(6)

        started = time.monotonic()
        successors = [
            d.Process(deployment, "control", place, f"{deployment.prefix}.{10 + place}", d.ZONES[place % 3])
            for place in range(5, 6 if loses_disks else 8)]
        everything += successors
        for successor in successors:
            successor.start(bootstrap=False)
            record.say(f"the successor {successor.ip} starts, with an empty disk")
        await asyncio.sleep(SUCCESSOR_LEAD_S)
        await put_manifest(deployment, 5)

        if trouble:
            for turn, successor in enumerate(successors):
                if turn > 0:
                    await asyncio.sleep(GAP_S)
                await replace(deployment, 4 - turn, successor, started)
                if turn == 0:
                    await put_manifest(deployment, 7)
            if loses_disks:
                await asyncio.sleep(DISKS_AFTER_S)
                await lose_disks(deployment, deployment.controls[:2])
        else:
            await put_manifest(deployment, 7)

        since = time.monotonic()
        running = sum(process.is_running() for process in deployment.controls)
        record.say(f"machines of the core that run: {running} of 5")
        version = await version_read(deployment, OBSERVED_S)
        record.say(f"the operator reads manifest {version} after {time.monotonic() - since:.1f} s")
        try:
            await put_manifest(deployment, 9)
        except d.CannotRun:
            record.say("manifest 9 is not acknowledged within 8 s")
        # A front machine that starts again takes no requests without a quorum.
        front = deployment.entries[0]
        front.kill()
        front.start(bootstrap=False)
        await asyncio.sleep(5)
        ready = front in await deployment.ready_entries()
        record.say(f"a front machine that was started again 5 s ago is {'ready' if ready else 'not ready'}")
        running = sum(process.is_running() for process in deployment.controls)
        record.say(f"machines of the core that run at the end: {running} of 5")
        return d.HELD if version is not None and version >= 7 else d.BROKEN
    finally:
        runner.stop()
        for process in everything:
            process.kill()
        deployment.end()


sys.exit(d.run(HERE, case))
