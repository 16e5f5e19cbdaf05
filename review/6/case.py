"""The leader is killed while a version that is bad under load gets all requests: is it completed?"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "..", "lib-2"))
import harness as h
import rollout
from harness import TROUBLE, note, now


class BadUnderLoad(h.Runner):
    """A version of which a portion of the answers, every second one, are failures under load: while it runs two
    requests or more at once."""

    def __init__(self, cluster, place):
        self.bad, self.loaded = [], 0
        super().__init__(cluster, 70 + place, f"i-new{place}", "desk", work_s=0.06, version="v2")

    def work(self, request):
        with self.lock:
            self.loaded += self.running >= 2
            fails = self.running >= 2 and self.loaded % 2 == 1
        answer = super().work(request)
        if not fails:
            return answer
        self.bad.append(now())
        note(f"runner {self.name} fails {request}")
        return h.reply(500, request, body="failed", seal=f"{self.name}.{request}")


class KillLeader:
    """Kills the leading process once the new version gets most of the requests; it is back after half a second."""

    def __init__(self, cluster):
        self.cluster, self.leader, self.disturbed = cluster, None, None

    def __call__(self, new, elapsed_s):
        if not TROUBLE:
            return None
        if self.leader is None and elapsed_s > rollout.DURATION_S - 4.0:
            recent = [at for runner in new for at, _ in runner.ran[-40:] if at > now() - 0.2]
            if len(recent) >= rollout.RATE_PER_S * 0.2 * 0.6:
                self.leader = self.cluster.leader()
                self.disturbed = (now(), now() + 0.6)
                self.leader.kill()
        elif self.leader and self.leader.child.poll() is not None and now() > self.disturbed[0] + 0.5:
            # Started by the main thread: what is started ends with the thread that started it.
            self.leader.start()
            self.disturbed = (self.disturbed[0], now())
        return self.disturbed


h.main(lambda: h.Cluster(controls=5, entries=2),
       lambda cluster: rollout.run(cluster, BadUnderLoad, KillLeader(cluster)))
