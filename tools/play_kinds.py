#!/usr/bin/env python3
"""Makes days of our own that put each kind of trouble on the tier, and plays them with the users' bench.

    tools/play_kinds.py BENCH SITE [--only KIND] [--twice] [--seed N] [--jobs N]

Each day has one kind, with a change of the configuration before, amid and after it; with --twice it comes twice.
Prints one line a day: broken rules, or the worth. Days are written to target/days.
"""

import argparse
import concurrent.futures
import pathlib
import re
import subprocess

# What each kind needs beside its name; several ways of a kind are several days.
KINDS = [
    {"kind": "srv_slow", "share": 0.3, "x": 4.0, "for_s": 6},
    {"kind": "srv_grey", "how": "errors", "x": 0.4, "for_s": 6},
    {"kind": "srv_grey", "how": "shed", "x": 0.4, "for_s": 6},
    {"kind": "srv_grey", "how": "busy", "x": 0.4, "for_s": 6},
    {"kind": "srv_grey", "how": "hang", "x": 0.4, "for_s": 6},
    {"kind": "srv_grey", "how": "reset", "x": 0.4, "for_s": 6},
    {"kind": "srv_grey", "how": "mute", "x": 0.4, "for_s": 6},
    {"kind": "srv_grey", "how": "slow", "x": 0.4, "for_s": 6},
    {"kind": "replace_with_reuse", "share": 0.3, "how": ""},
    {"kind": "replace_with_reuse", "share": 0.3, "how": "drain"},
    {"kind": "replace_with_reuse", "share": 0.3, "how": "dark"},
    {"kind": "scale_out", "share": 0.3, "gap_s": 2},
    {"kind": "scale_in", "share": 0.3, "how": ""},
    {"kind": "scale_in", "share": 0.3, "how": "spot"},
    {"kind": "node_slow", "share": 0.3, "x": 5.0, "for_s": 6},
    {"kind": "node_slow", "on": "core", "count": 1, "x": 5.0, "for_s": 6},
    {"kind": "node_slow", "on": "store", "count": 1, "x": 5.0, "for_s": 6},
    {"kind": "node_freeze", "on": "core", "count": 1, "for_s": 4, "how": "leader"},
    {"kind": "seed_turnover"},
    {"kind": "disk_slow", "on": "core", "count": 1, "x": 30.0, "for_s": 6},
    {"kind": "disk_slow", "on": "store", "count": 1, "x": 30.0, "for_s": 6},
    {"kind": "disk_full", "on": "core", "count": 1, "for_s": 6},
    {"kind": "disk_full", "on": "store", "count": 1, "for_s": 6},
    {"kind": "disk_stall", "on": "core", "count": 1, "for_s": 6},
    {"kind": "disk_stall", "on": "store", "count": 1, "for_s": 6},
    {"kind": "clock_step", "share": 0.4, "x": 2000, "for_s": 8, "how": "ahead"},
    {"kind": "clock_step", "share": 0.4, "x": 2000, "for_s": 8, "how": "back"},
    {"kind": "hup", "share": 0.5, "gap_s": 2},
    {"kind": "reset_conns", "share": 0.4, "x": 0.5},
    {"kind": "node_cut", "share": 0.3, "for_s": 6},
    {"kind": "node_cut", "share": 0.3, "for_s": 6, "how": "servers"},
    {"kind": "cloud_down", "how": "silent", "for_s": 8},
    {"kind": "cloud_down", "how": "busy", "for_s": 8},
    {"kind": "cloud_down", "how": "reset", "for_s": 8},
    {"kind": "cloud_slow", "x": 50.0, "for_s": 8},
    {"kind": "core_cut", "count": 1, "for_s": 6, "how": "one_way race"},
    {"kind": "core_cut", "count": 1, "for_s": 6, "how": "seeds"},
    {"kind": "core_cut", "count": 1, "for_s": 6, "how": "both"},
    {"kind": "replace_core", "on": "core", "x": 2.0, "how": "race"},
    {"kind": "replace_core", "on": "core", "how": "planned"},
    {"kind": "replace_core", "on": "store", "how": "planned"},
    {"kind": "roll_term", "share": 1.0, "x": 1.0, "gap_s": 1.5, "how": "busy"},
    {"kind": "roll_term", "on": "store", "share": 1.0, "x": 1.0, "gap_s": 6.0},
    {"kind": "herd_kill", "on": "core", "for_s": 1, "how": "power"},
    {"kind": "herd_kill", "share": 0.6, "for_s": 2, "how": "taken"},
    {"kind": "after_ack_kill", "for_s": 3, "how": "timed"},
    {"kind": "after_ack_wipe", "for_s": 3},
    {"kind": "after_ack_wipe", "on": "store", "for_s": 3},
    {"kind": "kill_leader", "for_s": 3, "how": "freeze race"},
    {"kind": "kill_leader", "for_s": 3, "how": "cut one_way"},
]
PLANNED = {"hup", "seed_turnover", "scale_out", "scale_in", "roll_term"}


def inline(entry):
    def value(item):
        return f'"{item}"' if isinstance(item, str) else str(item)

    return "{ " + ", ".join(f"{key} = {value(item)}" for key, item in entry.items()) + " }"


def day(kind, number, twice, seed):
    times = [8.0, 19.0] if twice else [10.0]
    entries = [inline({"at": at, **kind}) for at in times]
    changes = [inline({"at": at, "kind": "config_change", "how": "idle"}) for at in (2.5, 11.5, 14.5, 17.5, 24.0)]
    planned = kind["kind"] in PLANNED or "planned" in kind.get("how", "")
    plan = changes + (entries if planned else [])
    faults = [] if planned else entries
    return "\n".join([
        f'name = "own-{number}"', 'slot = "trouble"', f"seed = {seed + number}",
        "one = 0.9", "zero = 0.4", "goal = { floor = 0.3 }",
        "plan = [" + ", ".join(plan) + "]", "faults = [" + ", ".join(faults) + "]", "",
    ])


def play(bench, site, path, kind):
    run = subprocess.run([bench, "run", site, str(path)], capture_output=True, text=True)
    text = run.stdout + run.stderr
    lines = [line for line in text.splitlines() if "own-" in line and "/" in line]
    summary = lines[0] if lines else text.strip().splitlines()[-1]
    rules = [line for line in text.splitlines() if line.startswith("rules broken")]
    return inline(kind), summary, rules


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--only", default="")
    parser.add_argument("--twice", action="store_true")
    parser.add_argument("--seed", type=int, default=4100)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    folder = pathlib.Path("target/days")
    folder.mkdir(parents=True, exist_ok=True)
    subprocess.run([options.bench, "build"], check=True, capture_output=True)
    chosen = [(number, kind) for number, kind in enumerate(KINDS) if options.only in kind["kind"]]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        plays = []
        for number, kind in chosen:
            path = folder / f"own-{number}.toml"
            path.write_text(day(kind, number, options.twice, options.seed))
            plays.append(pool.submit(play, options.bench, options.site, path, kind))
        for done in plays:
            kind, summary, rules = done.result()
            print(kind, re.sub(r" +", " ", summary), *rules, flush=True)


if __name__ == "__main__":
    main()
