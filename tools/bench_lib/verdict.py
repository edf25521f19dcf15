"""What an experiment hands back."""


class Verdict:
    """Collects figures and what falls short of the goal."""

    def __init__(self):
        self.baseline = {}
        self.ibismux = {}
        self.goals = []
        self.short = []

    def goal(self, text, met):
        (self.goals if met else self.short).append(text)

    def result(self, experiment, busy):
        why = "; ".join(
            [f"NOT MET: {text}" for text in self.short] +
            [f"met: {text}" for text in self.goals])
        return {"experiment": experiment, "baseline": self.baseline,
                "ibismux": self.ibismux,
                "verdict": "fail" if self.short or not self.goals else "pass",
                "why": why, "busy": busy}


def pick(group, *names):
    """Some figures of a load report's group, rounded."""
    return {name: round(group[name], 3) if isinstance(group[name], float)
            else group[name] for name in names if name in group}


LATENCY = ("sent", "ok", "refused", "cut", "foreign", "p50_ms", "p99_ms",
           "p999_ms", "coverage", "leaf_calls_per_query", "hedges", "retries")
