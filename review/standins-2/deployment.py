"""A small deployment on loopback: the project's program with rendered settings, and a record."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import time

from http11 import call, status_of

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# Those of the site gsb-drenthe.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackWithinMs": 4000,
          "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lostSlackMs": 200, "configApplyMs": 2000,
          "rollbackSlackMs": 250, "outerStretchMs": 5000, "revokeClosed": True, "revokeMs": 5000,
          "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54, "recoverS": 12,
          "transitMs": 120, "reuseWindowS": 10, "fencingRequired": False, "leaseMs": 3000,
          "thawMs": 300, "versionMs": 12000, "versionAllMs": 17000}


class CannotRun(Exception):
    """The case can't run here; says nothing about the rule."""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def render(template, fields):
    """Fills in a template as DEPLOY.md says, as far as deploy/settings.jsonc needs it."""

    def value(path):
        found = fields
        for step in path.split("."):
            found = found[int(step)] if isinstance(found, list) else found.get(step)
            if found is None:
                return None
        return found

    def section(match):
        return match.group(2) if value(match.group(1)) not in (None, False) else ""

    def place(match):
        found = value(match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


def run_command():
    """The command of the deploy file for the role that carries the traffic."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        return re.search(r'^run = "(.*)"$', file.read(), flags=re.M).group(1).split(" ")


class Router:
    """One process of the project's program."""

    def __init__(self, name, zone, store_port, folder, bounds=None, memory_mb=260):
        self.name = name
        self.folder = folder
        self.front, self.ready, peers, forwarding = free_ports(4)
        self.metrics = free_ports(1)[0]
        self.fields = {"nodeName": name, "zone": zone, "ipAddr": "127.0.0.1",
                       "listen": {"front": f"127.0.0.1:{self.front}",
                                  "ready": f"127.0.0.1:{self.ready}"},
                       "internalPorts": [peers, forwarding],
                       "platform": {"address": f"127.0.0.1:{store_port}"},
                       "bounds": dict(bounds or BOUNDS),
                       "limits": {"linkMbps": 1000.0, "memoryMb": memory_mb}}
        self.settings = os.path.join(folder, f"{name}.json")
        self.process = None

    def write_settings(self):
        with open(os.path.join(ROOT, "deploy", "settings.jsonc"), encoding="utf-8") as file:
            text = render(file.read(), self.fields)
        # The port of the metrics is the same on each machine; here they share one address.
        text = text.replace('"127.0.0.1:9464"', f'"127.0.0.1:{self.metrics}"')
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        self.write_settings()
        command = [self.settings if word == "/etc/jacinthroad/settings.json" else word
                   for word in run_command()]
        if not os.access(os.path.join(ROOT, command[0]), os.X_OK):
            raise CannotRun(f"{command[0]} isn't built")
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)

    async def wait_ready(self, seconds=15.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            answer = await call(self.ready, "GET", "/-/ready", [("Host", "x")], timeout=1.0)
            if status_of(answer) == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} isn't ready")

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()


class Record:
    """What was sent, answered and run, by time since the start of the case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")

    def close(self):
        self.file.close()
