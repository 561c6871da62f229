"""Reads log lines of the entries from files that may contain other text."""
import json


def read(paths):
    """Yield each JSON object that has an event and a time t."""
    for path in paths:
        with open(path, errors="replace") as f:
            for line in f:
                at = line.find("{")
                if at < 0:
                    continue
                try:
                    doc = json.loads(line[at:])
                except ValueError:
                    continue
                if isinstance(doc, dict) and "event" in doc and "t" in doc:
                    yield doc
