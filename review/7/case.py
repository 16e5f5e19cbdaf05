"""A version is several times slower under load: is it completed?"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "..", "lib-2"))
import harness as h
import rollout
from harness import TROUBLE, note, now


class SlowUnderLoad(h.Runner):
    """A version that takes four times as long under load: while it runs two requests or more at once."""

    def __init__(self, cluster, place):
        self.bad = []
        super().__init__(cluster, 70 + place, f"i-new{place}", "desk", work_s=0.06, version="v2")

    def work(self, request):
        answer = super().work(request)
        if TROUBLE and self.running >= 2:
            time.sleep(self.work_s * 3)
            self.bad.append(now())
            note(f"runner {self.name} answers {request} late")
        return answer


h.main(lambda: h.Cluster(controls=5, entries=2), lambda cluster: rollout.run(cluster, SlowUnderLoad))
