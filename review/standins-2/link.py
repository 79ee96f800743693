"""A link on loopback whose open connections can go silent for good while new ones work."""

import asyncio
import socket
import struct
import time


class Link:
    """Passes connections on to `to_port`."""

    def __init__(self, to_port):
        self.to_port = to_port
        self.port = 0
        self.server = None
        self.connections = set()
        # Connections that went silent, and those that were made since.
        self.silent = 0
        self.opened = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.opened += 1
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.to_port)
        except OSError:
            writer.close()
            return
        connection = Connection(reader, writer, to_reader, to_writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except asyncio.CancelledError:
            pass
        finally:
            self.connections.discard(connection)

    def silence(self):
        """From now on nothing passes on the connections that are open, in either direction."""
        for connection in self.connections:
            connection.is_silent = True
        self.silent = len(self.connections)

    def reset_silent(self):
        """Ends the silent connections as the system of a process does whose packets aren't
        acknowledged any more."""
        for connection in list(self.connections):
            if connection.is_silent:
                connection.reset()


class Connection:
    def __init__(self, reader, writer, to_reader, to_writer):
        self.reader, self.writer = reader, writer
        self.to_reader, self.to_writer = to_reader, to_writer
        self.is_silent = False
        self.ended = asyncio.Event()

    async def run(self):
        tasks = [asyncio.create_task(self.pass_on(self.reader, self.to_writer)),
                 asyncio.create_task(self.pass_on(self.to_reader, self.writer))]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if self.is_silent:
            await self.ended.wait()
        for task in tasks:
            task.cancel()
        for writer in (self.writer, self.to_writer):
            writer.close()

    async def pass_on(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.is_silent:
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass

    def reset(self):
        handle = self.writer.get_extra_info("socket")
        if handle is not None:
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()
        self.ended.set()
