#!/usr/bin/env python3
"""Time that trainers idle with enough complete groups, from the log lines of all entries.

Usage: step-idle.py SHARE LOG...

SHARE is the fraction of a job's groups that its trainer waits for, such as 0.9.
Reads lines that contain a JSON object with t, event and the fields of
docs/LOGS.md; text before the object is skipped. Prints for each job that was
ended, in seconds from its acceptance: when enough groups were complete, when its
trainer ended it, and the difference; then mean, p50 and p90 of the differences.
If log lines were dropped, groups may seem complete too early.
"""
import math
import sys

from collections import defaultdict

from loglines import read


def collect(docs):
    accepted, ended = {}, {}
    groups = defaultdict(lambda: defaultdict(dict))
    for doc in docs:
        event = doc["event"]
        if event == "job.submitted" and doc.get("reason") == "kept":
            accepted[doc["id"]] = doc["t"]
        elif event == "job.ended":
            ended.setdefault(doc["id"], doc["t"])
        elif event == "item.run_ended":
            items = groups[doc["job"]][doc["group"]]
            items.setdefault(doc["id"], math.inf)
            if doc["outcome"] == "completed":
                items[doc["id"]] = doc["t"]
    return accepted, ended, groups


def main():
    share = float(sys.argv[1])
    accepted, ended, groups = collect(read(sys.argv[2:]))
    idle = []
    for job in sorted(set(accepted) & set(ended), key=accepted.get):
        complete = sorted(max(items.values()) for items in groups[job].values())
        wanted = math.ceil(share * len(complete) - 1e-9)
        if not complete or complete[wanted - 1] == math.inf:
            continue
        enough = complete[wanted - 1] - accepted[job]
        end = ended[job] - accepted[job]
        print("%s  enough %6.3f  ended %6.3f  idle %6.3f"
              % (job, enough, end, end - enough))
        idle.append(end - enough)
    if idle:
        idle.sort()
        print("%d jobs: mean %.3f, p50 %.3f, p90 %.3f"
              % (len(idle), sum(idle) / len(idle), idle[len(idle) // 2],
                 idle[int(len(idle) * 0.9)]))


if __name__ == "__main__":
    main()
