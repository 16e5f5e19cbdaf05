"""A rollout of a version that turns bad late, but before the rollout's time limit."""
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
DURATION_S = 12                             # as in PROTOCOL.md
BAD_AFTER_S = 10.0                          # v2 turns bad: "either immediately or later"
BAD_SHARE = 0.4                             # of its answers are failures from then on
WATCH_S = 22                                # how long traffic goes on after the order


async def case(record, trouble):
    deployment = d.Deployment(record, controls=5, entries=3)
    runners = []
    try:
        deployment.start()
        await deployment.order("PUT", "/-/config", d.manifest(3, SERVICE), 30)
        old = [d.Runner(deployment, f"i-old{n}", SERVICE, "v1") for n in range(3)]
        new = [d.Runner(deployment, f"i-new{n}", SERVICE, "v2") for n in range(3)]
        runners += old
        for runner in old:
            await runner.start()
        await deployment.wait_until_ready()
        clients = d.Clients(deployment, KEY, 600)
        is_over = asyncio.Event()
        balancer = asyncio.create_task(clients.follow_balancer())
        traffic = [asyncio.create_task(clients.send_at(rate, method, path, is_over.is_set))
                   for rate, method, path in ((CHARGES_PER_S, "POST", "/charge/2f"),
                                              (LOOKUPS_PER_S, "GET", "/lookup/2f"))]
        await asyncio.sleep(5)

        ordered = time.monotonic()
        if trouble:
            bad = lambda: time.monotonic() >= ordered + BAD_AFTER_S and random.random() < BAD_SHARE
            for runner in new:
                runner.fails = bad
        order = {"service": SERVICE, "target": "v2", "duration_s": DURATION_S}
        await deployment.order("POST", "/-/rollouts", order, 4)
        runners += new
        for runner in new:
            await runner.start()

        state = "running"
        while time.monotonic() < ordered + WATCH_S:
            status, body = await deployment.call_control(
                random.choice(deployment.controls), "GET", f"/-/rollouts/{SERVICE}")
            seen = next((s for s in ("running", "completed", "rolled_back") if s.encode() in body), None)
            if status == 200 and seen and seen != state:
                state = seen
                record.say(f"{time.monotonic() - ordered:.2f} s after the order: {state}")
                if state == "completed":    # the operator stops the old runners
                    for runner in old:
                        runner.stop()
                if state == "rolled_back":  # and here the new ones, some seconds later
                    asyncio.get_running_loop().call_later(
                        4, lambda: [runner.stop() for runner in new])
            await asyncio.sleep(0.1)
        is_over.set()
        await asyncio.gather(*traffic)
        balancer.cancel()

        limit = ordered + DURATION_S
        count = lambda group: sum(
            1 for r in group for at, *_ in r.arrivals if ordered <= at <= limit)
        at_new, everything = count(new), count(old + new)
        allowed = d.BOUNDS["exposure_share"] * everything + d.BOUNDS["exposure_slack"]
        bad_at = sorted(at for r in new for at in r.bad_answers)
        fiftieth = bad_at[49] if len(bad_at) >= 50 else None
        sent_late = 0
        if fiftieth:
            late = fiftieth + d.BOUNDS["rollback_ms"] / 1e3
            sent_late = sum(1 for r in new for _, request, *_ in r.arrivals
                            if clients.sent.get(request, 0) > late)
        record.say(f"answers to clients by status: {clients.counts()}")
        record.say(f"state at the end: {state}")
        record.say(f"requests that reached v2 from the order to its time limit: {at_new} of {everything}; "
                   f"allowed for a bad version: {allowed:.0f}")
        record.say(f"bad answers of v2: {len(bad_at)}; requests at v2 that were sent later than "
                   f"rollback_ms after the 50th: {sent_late}")
        if at_new == 0 or everything < 500:
            raise d.CannotRun("the rollout got no traffic")
        if not trouble:
            return d.HELD   # v2 is good: EXPOSURE binds bad versions only
        return d.BROKEN if at_new > allowed or sent_late > 0 else d.HELD
    finally:
        for runner in runners:
            runner.stop()
        deployment.end()


sys.exit(d.run(HERE, case))
