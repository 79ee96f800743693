"""A stand-in of the platform's metadata store (objects), as PROTOCOL.md describes it."""

import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from http11 import response, start_server


class Store:
    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.port = 0
        self.server = None
        # (moment, kind, name, what) of each change that a response has told.
        self.told = []
        # If set, `refuse(kind, method)` returns a status with which a call is turned away, or 0.
        self.refuse = lambda kind, method: 0

    async def start(self):
        self.server, self.port = await start_server(self.handle)

    @staticmethod
    def encode(name, entry):
        return {"metadata": {"name": name, "revision": entry["revision"], "created": 1,
                             "finalizers": [], "deleting": False},
                "spec": entry["spec"], "status": entry["status"]}

    async def put(self, kind, name, spec):
        """Writes an object as its writer outside the system does."""
        table = self.objects.setdefault(kind, {})
        if name in table and table[name]["spec"] == spec:
            return table[name]
        self.revision += 1
        status = table[name]["status"] if name in table else None
        table[name] = {"revision": self.revision, "spec": spec, "status": status}
        self.history.append((self.revision, kind, name,
                             {"object": self.encode(name, table[name]), "deleted": False}))
        async with self.changed:
            self.changed.notify_all()
        return table[name]

    async def remove(self, kind, name):
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry is None:
            return
        self.revision += 1
        entry["revision"] = self.revision
        self.history.append((self.revision, kind, name,
                             {"object": self.encode(name, entry), "deleted": True}))
        async with self.changed:
            self.changed.notify_all()

    def events(self, kind, since):
        return [event for revision, of, _, event in self.history if of == kind and revision > since]

    def note_told(self, kind, objects, deleted=False):
        now = time.monotonic()
        for item in objects:
            self.told.append((now, kind, item["metadata"]["name"], item["spec"], deleted))

    async def handle(self, request, writer):
        method, target, _ = request.start.split(" ")
        parts = urlsplit(target)
        path = unquote(parts.path).split("/")
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind = path[3] if len(path) > 3 else ""
        name = path[4] if len(path) > 4 else ""
        refused = self.refuse(kind, method)
        if refused:
            writer.write(response(refused, [("Content-Type", "application/json")], b"{}"))
            return True
        status, body = await self.answer(method, kind, name, query, request.body)
        writer.write(response(status, [("Content-Type", "application/json")],
                              json.dumps(body).encode()))
        await writer.drain()
        return True

    async def answer(self, method, kind, name, query, body):
        table = self.objects.setdefault(kind, {})
        if method == "GET" and name:
            if name not in table:
                return 404, {}
            return 200, self.encode(name, table[name])
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        if method == "GET":
            names = sorted(one for one in table if one > query.get("after", ""))
            items = [self.encode(one, table[one]) for one in names[:500]]
            self.note_told(kind, items)
            return 200, {"items": items, "hasMore": len(names) > 500, "currentRev": self.revision}
        if method == "POST":
            content = json.loads(body)
            name = content["metadata"]["name"]
            if name in table:
                return 409, self.encode(name, table[name])
            await self.put(kind, name, content["spec"])
            return 201, self.encode(name, table[name])
        if method == "PUT":
            if name not in table:
                return 404, {}
            content = json.loads(body)
            wanted = query.get("revision") or content.get("metadata", {}).get("revision")
            if wanted is not None and int(wanted) != table[name]["revision"]:
                return 409, self.encode(name, table[name])
            await self.put(kind, name, content["spec"])
            return 200, self.encode(name, table[name])
        return 400, {}

    async def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = self.events(kind, since)
            left = until - time.monotonic()
            if events or left <= 0:
                for event in events:
                    self.note_told(kind, [event["object"]], event["deleted"])
                return 200, {"events": events, "currentRev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
