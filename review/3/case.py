"""A runner says farewell; the machine that acknowledged it loses its process right after."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
sys.dont_write_bytecode = True
import deployment as d  # noqa: E402

SERVICE, KEY = "wuno96b", "i9n73hh2b9wu3fexd9dn"
CHARGES_PER_S, LOOKUPS_PER_S = 59.0, 23.6   # the darkrooms' booking desk
KILL_WITHIN_S = 0.004   # after_ack_kill: within 4 ms
DOWN_S = 3.0        # as after_ack_kill in the site file
SERVES_ON_S = 14.0  # the runner serves on after the ack: "at times many seconds"


async def farewell(deployment, runner):
    """DELETE /-/instances/ID at the machine that the runner's heartbeats go to; kills nothing yet.

    Returns the machine that acknowledged, and when.
    """
    order = sorted(deployment.controls, key=lambda process: process.ip != runner.beat_at)
    for process in order:
        reader, writer = await asyncio.open_connection(process.ip, deployment.control_port)
        writer.write((f"DELETE /-/instances/{runner.name} HTTP/1.1\r\nHost: {process.ip}\r\n"
                      "Content-Length: 0\r\n\r\n").encode())
        first, _, _ = await asyncio.wait_for(d.read_message(reader), 1.0)
        acked = time.monotonic()
        if first.split(" ")[1] == "200":
            return process, acked, writer
        writer.close()
    raise d.CannotRun("no machine took the farewell")


async def case(record, trouble):
    deployment = d.Deployment(record, controls=5, entries=7)
    runners = []
    try:
        deployment.start()
        await deployment.order("PUT", "/-/config", d.manifest(3, SERVICE), 30)
        runners = [d.Runner(deployment, f"i-{n}", SERVICE, "v1") for n in range(4)]
        for runner in runners:
            await runner.start()
        await deployment.wait_until_ready()
        clients = d.Clients(deployment, KEY, 600)
        is_over = asyncio.Event()
        balancer = asyncio.create_task(clients.follow_balancer())
        traffic = [asyncio.create_task(clients.send_at(rate, method, path, is_over.is_set))
                   for rate, method, path in ((CHARGES_PER_S, "POST", "/charge/2f"),
                                              (LOOKUPS_PER_S, "GET", "/lookup/2f"))]
        await asyncio.sleep(8)

        leaving = runners[0]
        leaving.beating.cancel()    # the farewell is the last that it says
        await asyncio.sleep(0.05)
        process, acked, writer = await farewell(deployment, leaving)
        if trouble:
            process.signal(d.signal.SIGKILL)
            killed = time.monotonic()
            record.say(f"{process.name} acknowledged the farewell and was killed "
                       f"{(killed - acked) * 1000:.1f} ms later")
            if killed - acked > KILL_WITHIN_S:
                raise d.CannotRun("the kill came later than after_ack_kill allows")
            process.kill()
            await asyncio.sleep(DOWN_S)
            process.start(bootstrap=False)
            record.say(f"{process.name} started again {time.monotonic() - acked:.1f} s after the ack")
        else:
            record.say(f"{process.name} acknowledged the farewell")
        writer.close()
        last_event = time.monotonic() if trouble else acked
        await asyncio.sleep(max(0.0, acked + SERVES_ON_S - time.monotonic()))
        leaving.stop()
        is_over.set()
        await asyncio.gather(*traffic)
        balancer.cancel()

        before = sum(1 for at, *_ in leaving.arrivals if at < acked)
        after = [at for at, *_ in leaving.arrivals if at > acked + d.BOUNDS["drain_ms"] / 1e3]
        in_touch_from = last_event + d.BOUNDS["contact_ms"] / 1e3
        # Taken from the client by machines in touch: sent after the core was stable for contact_ms.
        counted = sum(1 for at, request, *_ in leaving.arrivals
                      if at > acked + d.BOUNDS["drain_ms"] / 1e3
                      and (not trouble or clients.sent.get(request, 0) > in_touch_from))
        record.say(f"answers to clients by status: {clients.counts()}")
        record.say(f"requests at the leaving runner before the ack: {before}; later than drain_ms after "
                   f"it: {len(after)}, the last {max(after, default=acked) - acked:.1f} s after it; of "
                   f"these sent while all machines were in touch: {counted}")
        if before < 20:
            raise d.CannotRun("the runner got no traffic before it left")
        return d.BROKEN if counted > 0 else d.HELD
    finally:
        for runner in runners:
            runner.stop()
        deployment.end()


sys.exit(d.run(HERE, case))
