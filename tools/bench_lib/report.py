"""The report of `tools/bench all`: Markdown with the plots beside it."""

import json

from bench_lib.fleet import BUILD


def overall(results):
    failed = any(one["verdict"] != "pass" for one in results)
    return "fail" if failed else "pass"


def write(results):
    folder = BUILD / "bench"
    lines = ["# Experiments", "", "| Experiment | Verdict | Seconds | Why |",
             "| --- | --- | --- | --- |"]
    for one in results:
        lines.append(f"| {one['experiment']} | {one['verdict']} | "
                     f"{one['seconds']} | {one['why']} |")
    for one in results:
        lines += ["", f"## {one['experiment']}: {one['verdict']}", "",
                  "```json", json.dumps(
                      {key: one[key]
                       for key in ("baseline", "ibismux", "busy")}, indent=1),
                  "```", ""]
        for plot in sorted((folder / one["experiment"]).glob("*.png")):
            lines.append(f"![{plot.stem}]({one['experiment']}/{plot.name})")
    (folder / "report.md").write_text("\n".join(lines) + "\n")
