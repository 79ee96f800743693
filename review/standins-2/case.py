"""What the scripts of the cases have in common: traffic, the record and the exit status."""

import asyncio
import os
import shutil
import sys
import tempfile
import time
import traceback
from collections import Counter

from deployment import CannotRun, Record
from http11 import call, response, status_of

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeoutMs": 5000,
          "idleTimeoutMs": 10000}


def failure(headers):
    """The answer of a runner that has run a request and failed."""
    return response(500, headers, b"failed")


class Clients:
    """Sends requests to a router, each on a connection of its own, and notes their answers."""

    def __init__(self, record, host="h.example", key=None):
        self.record = record
        self.host = host
        self.key = key
        self.count = 0
        self.sent = {}
        self.statuses = {}
        self.tasks = []
        self.flowing = False

    async def ask(self, port, target, headers=(), body=b"x", deadline_ms=1500):
        """Returns the id of the request and the status of its answer; 0 without an answer."""
        self.count += 1
        name = f"q{self.count}"
        fields = [("Host", self.host), ("X-Request-Id", name),
                  ("X-Deadline-Ms", str(deadline_ms)), *headers]
        if self.key is not None:
            fields.append(("Authorization", f"Bearer {self.key}"))
        self.sent[name] = time.monotonic()
        self.record.line(f"{name} sent POST {target}")
        answer = await call(port, "POST", target, fields, body, timeout=deadline_ms / 1000 + 1)
        self.statuses[name] = status_of(answer)
        self.record.line(f"{name} answered {self.statuses[name]}")
        return name, self.statuses[name]

    async def flow(self, port, target, pause_s):
        """Sends requests at a steady rate until stop()."""
        self.flowing = True
        while self.flowing:
            self.tasks.append(asyncio.create_task(self.ask(port, target)))
            await asyncio.sleep(pause_s)

    async def stop(self):
        self.flowing = False
        await asyncio.sleep(0.1)
        await asyncio.gather(*self.tasks)

    def counts(self):
        return dict(sorted(Counter(self.statuses.values()).items()))


class Case:
    """The record, the folder and the processes of one run of a case."""

    def __init__(self, home):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(home)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.routers = []
        self.runners = []

    def say(self, text):
        self.record.line(text)
        print(text, flush=True)

    def end(self):
        for router in self.routers:
            router.end()
        for runner in self.runners:
            runner.end()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def run(play, home):
    case = Case(home)
    case.say("with the disruption" if case.trouble else "TROUBLE=0: without the disruption")
    try:
        broken = await asyncio.wait_for(play(case), 110)
        case.say("rule broken" if broken else "rule held")
        return BROKEN if broken else HELD
    except (CannotRun, asyncio.TimeoutError) as reason:
        case.say(f"could not run: {reason!r}")
    except Exception:  # Whatever else fails says nothing about the rule.
        case.say("could not run:\n" + traceback.format_exc())
    finally:
        case.end()
    return COULD_NOT_RUN


def main(play, file):
    """Plays a case and ends with its exit status."""
    sys.exit(asyncio.run(run(play, os.path.dirname(os.path.abspath(file)))))
