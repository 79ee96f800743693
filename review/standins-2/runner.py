"""Stand-ins of plain runners, of model runners with a KV cache, and of a store of kept KV cache."""

import asyncio
import json
import time

from http11 import call, read_header, response, start_server


class Run:
    """A request that a runner began to work on."""

    def __init__(self, runner, request):
        self.runner = runner
        self.id = request.get("X-Request-Id")
        self.start = request.start
        self.at = time.monotonic()
        self.ended = None
        self.complete = False
        # (tokens, version) of each piece of KV cache that the run read.
        self.read = []


class Runner:
    """A runner of a plain service."""

    def __init__(self, name, service, zone, slots=6, work_s=0.06):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.port = 0
        self.server = None
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.writers = set()
        self.ended = False
        self.heartbeats = None
        # Returns (status, headers, body) instead of a run, or None.
        self.refuse = lambda request: None

    async def start(self, port=0):
        self.server, self.port = await start_server(self.handle, port)

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "1", "slotCount": self.slots, "state": self.state, "coldLeftMs": 0,
                "seq": self.sequence, "born": self.born}

    async def register(self, store, period=1.2):
        """Writes the entry now and with each heartbeat."""

        async def beat():
            while not self.ended:
                self.sequence += 1
                await store.put("servers", self.name, self.entry())
                await asyncio.sleep(period)

        self.sequence += 1
        await store.put("servers", self.name, self.entry())
        self.heartbeats = asyncio.create_task(beat())

    def stop_heartbeats(self):
        if self.heartbeats is not None:
            self.heartbeats.cancel()

    def end(self):
        """The process ends: its listener and all connections are gone."""
        self.ended = True
        self.stop_heartbeats()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def stamped(self, request, more=()):
        return [("X-Request-Id", request.get("X-Request-Id")),
                ("X-Response-Stamp", f"{self.name}.1"), *more]

    async def handle(self, request, writer):
        self.writers.add(writer)
        expected = request.get("X-Expect-Instance")
        if expected and expected != self.name:
            writer.write(response(421, [("X-Request-Id", request.get("X-Request-Id")),
                                        ("X-Not-Run", "1")]))
            return True
        refusal = self.refuse(request)
        if refusal is not None:
            status, headers, body = refusal
            writer.write(response(status, headers, body))
            return True
        run = Run(self, request)
        self.runs.append(run)
        try:
            return await self.work(run, request, writer)
        finally:
            run.ended = time.monotonic()

    async def work(self, run, request, writer):
        await asyncio.sleep(self.work_s)
        if self.ended or writer.transport.is_closing():
            return False
        writer.write(response(200, self.stamped(request, [("Content-Type", "text/plain")]),
                              f"done {run.id}".encode()))
        run.complete = True
        return True


class Piece:
    """A cached part, with the version of the weights that made it and its tenant."""

    def __init__(self, tokens, version, tenant):
        self.tokens = tokens
        self.version = version
        self.tenant = tenant


class KvHolder:
    """What holds KV cache: pieces by salt and id, and the events that tell of them."""

    def __init__(self, model):
        self.model = model
        self.pieces = {}
        self.events = []
        self.epoch = int(time.time() * 1000) % 100000
        self.added = asyncio.Event()

    def add(self, salt, part, piece):
        self.pieces[(salt, part)] = piece
        self.tell("+", salt, part, piece.tokens)

    def drop_all(self):
        for (salt, part) in list(self.pieces):
            self.tell("-", salt, part, 0)
        self.pieces.clear()

    def tell(self, sign, salt, part, tokens):
        self.events.append([len(self.events) + 1, sign, salt, part, tokens, self.model])
        self.added.set()

    async def answer_events(self, request, writer):
        target = request.start.split(" ")[1]
        since = int(target.partition("since=")[2] or "0")
        wait_s = min(1000, int(request.get("Wait-Ms", "0") or "0")) / 1000
        until = time.monotonic() + wait_s
        while len(self.events) <= since and time.monotonic() < until:
            self.added.clear()
            try:
                await asyncio.wait_for(self.added.wait(), max(0.0, until - time.monotonic()))
            except asyncio.TimeoutError:
                pass
        told = self.events[since:]
        body = {"epoch": self.epoch, "next": len(self.events), "lost": False, "events": told}
        writer.write(response(200, [("Content-Type", "application/json")],
                              json.dumps(body).encode()))
        return True


class KvStore(KvHolder):
    """The store of kept KV cache: a part stays as it was first made, under any version."""

    def __init__(self, model):
        super().__init__(model)
        self.server = None
        self.port = 0

    async def start(self):
        self.server, self.port = await start_server(self.handle)

    async def handle(self, request, writer):
        if "/-/kv-events" in request.start:
            return await self.answer_events(request, writer)
        writer.write(response(404))
        return True

    def save(self, salt, part, piece):
        if (salt, part) not in self.pieces:
            self.add(salt, part, piece)


class ModelRunner(Runner, KvHolder):
    """A runner of a model: batches, KV cache under salts, orders to load weights."""

    def __init__(self, name, service, zone, model, version, holders, slots=64, events=4):
        Runner.__init__(self, name, service, zone, slots=slots, work_s=0.02)
        KvHolder.__init__(self, model)
        self.version = version
        # Those that can be named in X-Kv-Fetch-From and X-Kv-Save-To, by address.
        self.holders = holders
        self.event_count = events
        self.named = {version}
        self.accepted = 0
        self.loading = None
        self.orders = []

    def entry(self):
        return {**super().entry(), "stage": "both",
                "models": [{"name": self.model, "version": self.version, "adapters": []}]}

    def report(self):
        return {"stage": "both", "busy": self.loading is not None, "seq": self.accepted,
                "models": [{"name": self.model, "version": self.version, "adapters": []}],
                "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 100000, "handles": 0,
                "born": self.born}

    async def handle(self, request, writer):
        method, target, _ = request.start.split(" ")
        if target.startswith("/-/kv-events"):
            return await self.answer_events(request, writer)
        if target == "/-/report":
            writer.write(response(200, [("Content-Type", "application/json")],
                                  json.dumps(self.report()).encode()))
            return True
        if target == "/-/order" and method == "POST":
            return self.take_order(request, writer)
        if self.loading is not None:
            writer.write(response(503, [("X-Request-Id", request.get("X-Request-Id")),
                                        ("X-Not-Run", "1")]))
            return True
        wanted = request.get("X-Expect-Version")
        if wanted and int(wanted) != self.version:
            writer.write(response(421, [("X-Request-Id", request.get("X-Request-Id")),
                                        ("X-Not-Run", "1"),
                                        ("X-Weight-Versions", str(self.version))]))
            return True
        return await super().handle(request, writer)

    def take_order(self, request, writer):
        order = json.loads(request.body)
        self.orders.append((time.monotonic(), order))
        if request.get("X-Expect-Instance") not in ("", self.name):
            writer.write(response(421, [("X-Not-Run", "1")]))
        elif "holder" not in order or "fenceToken" not in order or order["version"] not in self.named:
            writer.write(response(400))
        elif order["version"] == self.version:
            writer.write(response(200))
        elif self.loading is not None or order.get("expected", self.accepted) != self.accepted:
            writer.write(response(409))
        else:
            self.accepted += 1
            self.loading = asyncio.create_task(self.load(order["version"]))
            writer.write(response(202))
        return True

    async def load(self, version, seconds=1.3):
        self.drop_all()
        await asyncio.sleep(seconds)
        self.version = version
        self.loading = None

    async def prefill(self, run, request):
        """Reads the prompt: from the own cache, from where it is told to fetch, or by work."""
        salt = request.get("X-Cache-Salt")
        tenant = request.get("X-Tenant")
        source = self.holders.get(request.get("X-Kv-Fetch-From"))
        sink = self.holders.get(request.get("X-Kv-Save-To"))
        cached = True
        prefix = request.get("X-Prompt-Prefix")
        for entry in prefix.split(",") if prefix else []:
            part, _, tokens = entry.partition(":")
            key = (salt, part)
            if cached and key not in self.pieces and source is not None and key in source.pieces:
                self.add(salt, part, source.pieces[key])
            if cached and key in self.pieces:
                run.read.append((part, self.pieces[key].version, self.pieces[key].tenant))
            else:
                cached = False
                await asyncio.sleep(int(tokens) / 92100)
                self.add(salt, part, Piece(int(tokens), self.version, tenant))
            if sink is not None:
                sink.save(salt, part, self.pieces[key])

    async def work(self, run, request, writer):
        run.version = self.version
        run.salt = request.get("X-Cache-Salt")
        run.fetch = request.get("X-Kv-Fetch-From")
        run.save = request.get("X-Kv-Save-To")
        run.wanted = request.get("X-Expect-Version")
        await self.prefill(run, request)
        fields = self.stamped(request, [("Content-Type", "text/event-stream"),
                                        ("Transfer-Encoding", "chunked"),
                                        ("X-Weight-Versions", str(self.version))])
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in fields]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        begin = int(request.get("Last-Event-Id", "0") or "0")
        for number in range(begin + 1, self.event_count + 1):
            event = f"id: {number}\ndata: {run.id}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        run.complete = True
        return True
