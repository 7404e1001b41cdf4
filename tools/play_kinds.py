#!/usr/bin/env python3
"""Makes days of our own that put each kind of trouble on the tier, and plays them with the users' bench.

    tools/play_kinds.py BENCH SITE [--set all|core] [--only KIND] [--twice] [--start] [--closing] [--pairs N]
                                   [--seed N] [--jobs N]

Each day has one kind, with a change of the configuration before, amid and after it; with --twice it comes twice, with
--start at the start of traffic, with --closing each day ends with a final fault, of each kind in turn. --pairs N draws N
days of two kinds each. The set core has every way in which the machines with a disk are struck, while orders race.
Prints one line a day: broken rules, or the worth; then how many days broke a rule. Days are written to target/days.
"""

import argparse
import concurrent.futures
import pathlib
import random
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
CORE = [
    *({"kind": "core_cut", "count": 1, "for_s": 8, "how": how} for how in (
        "behind", "behind race", "all", "near", "near race hard", "oldest", "one_way", "one_way race", "seeds", "both",
        "lure", "relieve", "relieve race hard", "reset", "refuse", "leader race", "turn meet", "all race hard")),
    {"kind": "core_cut", "count": 1, "for_s": 20, "how": "near race hard"},
    {"kind": "core_cut", "count": 1, "for_s": 20, "how": "all lure race"},
    {"kind": "core_cut", "count": 1, "for_s": 20, "how": "one_way race hard"},
    {"kind": "core_cut", "for_s": 8, "how": "split"},
    {"kind": "core_cut", "for_s": 8, "how": "split race hard"},
    *({"kind": "after_ack_wipe", "for_s": 3, "how": how} for how in ("", "all", "oldest", "race")),
    *({"kind": "after_ack_wipe", "on": "store", "for_s": 3, "how": how} for how in ("", "oldest")),
    *({"kind": "after_ack_kill", "for_s": 3, "how": how} for how in ("", "kill", "timed", "taken", "taken gone")),
    {"kind": "after_ack_kill", "on": "store", "for_s": 3, "how": "taken"},
    *({"kind": "kill_leader", "for_s": 4, "how": how} for how in ("kill", "freeze", "power", "cut", "freeze race hard")),
    *({"kind": "replace_core", "x": 2.0, "how": how} for how in ("", "oldest", "planned", "race hard")),
    *({"kind": "replace_core", "on": "store", "x": 2.0, "how": how} for how in ("", "oldest", "planned")),
    *({"kind": "herd_kill", "on": "core", "for_s": 1, "how": how} for how in ("", "off", "power", "taken", "taken all")),
    {"kind": "node_freeze", "on": "core", "count": 1, "for_s": 6, "how": "leader race"},
    {"kind": "disk_stall", "on": "core", "count": 1, "for_s": 8, "how": ""},
    {"kind": "retire", "for_s": 8, "how": "wipe"},
]
CLOSINGS = [
    {"kind": "wipe_after_ack", "down_s": 0.8, "how": "all"},
    {"kind": "wipe_after_ack", "down_s": 0.8, "how": "taken"},
    {"kind": "power_off_all", "down_s": 0.8},
    {"kind": "wipe_after_ack", "down_s": 0.8, "how": "timed"},
    {"kind": "wipe_after_ack", "down_s": 0.8, "how": "oldest"},
    {"kind": "kill_all", "down_s": 0.6},
    {"kind": "wipe_after_ack", "down_s": 0.8},
]
PLANNED = {"hup", "seed_turnover", "scale_out", "scale_in", "roll_term"}


def inline(entry):
    def value(item):
        return f'"{item}"' if isinstance(item, str) else str(item)

    return "{ " + ", ".join(f"{key} = {value(item)}" for key, item in entry.items()) + " }"


def is_planned(kind):
    return kind["kind"] in PLANNED or "planned" in kind.get("how", "")


def day(kinds, number, times, races, closing, seed):
    plan, faults = [], []
    for at in (2.5, 11.5, 14.5, 17.5, 24.0):
        plan.append(inline({"at": at, "kind": "config_change", "how": "idle"}))
    if races:
        plan.append(inline({"at": 4.0, "kind": "config_race", "count": 30, "gap_s": 0.7}))
    for kind, moments in zip(kinds, times):
        for at in moments:
            (plan if is_planned(kind) else faults).append(inline({"at": at, **kind}))
    lines = [
        f'name = "own-{number}"', 'slot = "trouble"', f"seed = {seed + number}",
        "one = 0.9", "zero = 0.4", "goal = { floor = 0.3 }",
        "plan = [" + ", ".join(plan) + "]", "faults = [" + ", ".join(faults) + "]",
    ]
    if closing:
        lines.append("closing = " + inline(closing))
    return "\n".join(lines) + "\n"


def drawn_days(options):
    """The kinds of each day, when they strike, and how it ends."""
    kinds = CORE if options.set == "core" else KINDS + CORE
    kinds = [kind for kind in kinds if options.only in kind["kind"]]
    chance = random.Random(options.seed)
    chosen = [[kind] for kind in kinds]
    if options.pairs:
        chosen = [chance.sample(kinds, 2) for _ in range(options.pairs)]
    for number, kinds in enumerate(chosen):
        closing = CLOSINGS[number % len(CLOSINGS)] if options.closing else None
        first = 0.2 if options.start else 8.0
        times = [[first + 2.0 * place] + ([19.0 + place] if options.twice else []) for place in range(len(kinds))]
        yield kinds, times, closing


def play(bench, site, path, kinds):
    run = subprocess.run([bench, "run", site, str(path)], capture_output=True, text=True)
    text = run.stdout + run.stderr
    lines = [line for line in text.splitlines() if "own-" in line and "/" in line]
    summary = lines[0] if lines else text.strip().splitlines()[-1]
    rules = [line for line in text.splitlines() if line.startswith("rules broken")]
    return " + ".join(inline(kind) for kind in kinds), summary, rules


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--set", choices=["all", "core"], default="all")
    parser.add_argument("--only", default="")
    parser.add_argument("--twice", action="store_true")
    parser.add_argument("--start", action="store_true")
    parser.add_argument("--closing", action="store_true")
    parser.add_argument("--pairs", type=int, default=0)
    parser.add_argument("--seed", type=int, default=4100)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    folder = pathlib.Path("target/days") / f"{pathlib.Path(options.site).stem}-{options.seed}"
    folder.mkdir(parents=True, exist_ok=True)
    subprocess.run([options.bench, "build"], check=True, capture_output=True)
    broken = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        plays = []
        for number, (kinds, times, closing) in enumerate(drawn_days(options)):
            path = folder / f"own-{number}.toml"
            path.write_text(day(kinds, number, times, options.set == "core", closing, options.seed))
            plays.append(pool.submit(play, options.bench, options.site, path, kinds))
        for done in plays:
            kinds, summary, rules = done.result()
            failed = bool(rules) or "BROKEN" in summary
            broken += failed
            print("BROKEN" if failed else "kept", kinds, re.sub(r" +", " ", summary), *rules, flush=True)
    print(f"{len(plays)} days, {broken} with a broken rule")


if __name__ == "__main__":
    main()
