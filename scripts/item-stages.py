#!/usr/bin/env python3
"""Time that the items of jobs spend in each stage, from the log lines of all entries.

Usage: item-stages.py LOG...

Reads lines that hold a JSON object with t, event and the fields of
docs/LOGS.md; text before the object is skipped. Prints, for the jobs of each
size in ascending order, quantiles over items of the wait for a replica, the
time to generate the text, the wait for a scoring replica and the time to score,
and quantiles over jobs of the times from the job's start to its last text, its
last score and its last listed result.
"""
import sys

from loglines import read


def quantiles(values):
    if not values:
        return "%7s" % "-"
    values = sorted(values)
    pick = [values[min(len(values) - 1, int(len(values) * q))]
            for q in (0.5, 0.9, 0.99)]
    return " ".join("%7.0f" % v for v in pick)


class Job:
    def __init__(self, doc):
        self.start = doc["t"]
        self.of = int(doc.get("items", doc.get("of", 0)) or 0)
        self.items = {}
        self.last_listed = None

    def item(self, name):
        return self.items.setdefault(name, {"runs": 0})


def collect(docs):
    jobs = {}
    for doc in sorted(docs, key=lambda d: d["t"]):
        event = doc["event"]
        name = doc.get("id") if event.startswith("job.") else doc.get("job")
        if event in ("job.running", "job.text_taken") and name not in jobs:
            jobs[name] = Job(doc)
        job = jobs.get(name)
        if job is None:
            continue
        if event == "job.listed":
            job.last_listed = doc["t"]
            job.of = int(doc.get("of", job.of))
            continue
        if not event.startswith(("item.", "score.")):
            continue
        item = job.item(doc["id"])
        if event == "item.run_started":
            item["runs"] += 1
            item.setdefault("started", doc["t"])
        elif event == "item.run_ended" and doc.get("outcome") == "completed":
            item["whole"] = doc["t"]
        elif event == "score.asked":
            item.setdefault("asked", doc["t"])
        elif event == "item.scored":
            item["scored"] = doc["t"]
    return jobs


def spans(job, key_from, key_to):
    out = []
    for item in job.items.values():
        start = job.start if key_from is None else item.get(key_from)
        end = item.get(key_to)
        if start is not None and end is not None:
            out.append((end - start) * 1000)
    return out


def main():
    jobs = collect(read(sys.argv[1:]))
    by_size = {}
    for job in jobs.values():
        by_size.setdefault(job.of, []).append(job)
    for size in sorted(by_size):
        group = by_size[size]
        print("jobs of %d items: %d  (ms: p50, p90, p99)" % (size, len(group)))
        for title, a, b in (("wait for a replica", None, "started"),
                            ("text", "started", "whole"),
                            ("wait for a scorer", "whole", "asked"),
                            ("score", "asked", "scored")):
            values = [v for job in group for v in spans(job, a, b)]
            print("  %-22s %6d  %s" % (title, len(values), quantiles(values)))
        for title, key in (("last text", "whole"), ("last score", "scored")):
            values = [max(spans(job, None, key), default=0) for job in group]
            print("  %-22s %6d  %s" % (title, len(values), quantiles(values)))
        values = [(job.last_listed - job.start) * 1000 for job in group
                  if job.last_listed]
        print("  %-22s %6d  %s" % ("last listed", len(values),
                                   quantiles(values)))


if __name__ == "__main__":
    main()
