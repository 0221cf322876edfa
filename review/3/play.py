"""Restarts one machine's proxy by SIGTERM while clients fetch downloads through it; see claim.txt."""

import asyncio
import os
import signal
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import (
    BOUNDS, BROKEN, HELD, MEMORY_MB, NOT_RUN, Deployment, Record, config, main, read_head, request_head, route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BODY_BYTES = 10_000_000
WORK_S = 0.4
TIME_BUDGET_S = 15
ROUTE_TIMEOUT_S = 12
# A client's link of 32 Mbit/s with a small window.
READ_BYTES_PER_S = 4_000_000
WINDOW_BYTES = 64 * 1024
CLIENTS = 12
START_INTERVAL_S = 0.3
# After two misses of the readiness check, one a second, clients get no new work.
NEW_WORK_AFTER_SIGTERM_S = 2.0


async def download(request, method, target, body):
    await asyncio.sleep(WORK_S)
    return bytes(BODY_BYTES)


class Client:
    """Sends one request after another on a kept connection."""

    def __init__(self, address):
        self.address, self.connection = address, None

    async def connect(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, self.address)
        self.connection = await asyncio.open_connection(sock=sock, limit=WINDOW_BYTES)

    async def fetch(self, request):
        """Returns the status, the bytes of the body that came, and the bytes that were promised."""
        if self.connection is None:
            await self.connect()
        reader, writer = self.connection
        writer.write(request_head("GET", "/manuals/oven.pdf", request, TIME_BUDGET_S))
        head = await read_head(reader)
        if head is None:
            self.close()
            return 0, 0, 0
        start, headers = head
        promised, came, begun = int(headers.get("content-length", 0)), 0, time.monotonic()
        try:
            while came < promised:
                part = await reader.read(min(WINDOW_BYTES, promised - came))
                if not part:
                    break
                came += len(part)
                await asyncio.sleep(max(0, begun + came / READ_BYTES_PER_S - time.monotonic()))
        except ConnectionError:
            pass
        if came < promised or headers.get("connection", "").lower() == "close":
            self.close()
        return int(start.split()[1]), came, promised

    def close(self):
        self.connection[1].close()
        self.connection = None


async def play(record):
    deployment = Deployment(record)
    results = []
    try:
        backends = [("catalogo", 7, download)] + [("archivo", 7, download)] * 3
        routes = {"r-manuals": route("/manuals/", "archivo", "download", ROUTE_TIMEOUT_S)}
        await deployment.start(backends, config(routes, ["catalogo", "archivo"]))
        proxy = deployment.proxies[0]
        idle = [Client(proxy.outbound) for _ in range(CLIENTS)]
        tasks, number = [], 0

        async def one(request):
            client, sent = idle.pop(), time.monotonic()
            record(f"client sends {request}")
            status, came, promised = await client.fetch(request)
            ended = time.monotonic()
            record(f"client got {request}: status {status}, {came} of {promised} bytes, {ended - sent:.2f} s")
            results.append((request, sent, ended, status, came, promised))
            idle.append(client)

        async def send_until(until):
            nonlocal number
            while time.monotonic() < until:
                if idle:
                    number += 1
                    tasks.append(asyncio.create_task(one(f"manual-{number:03}")))
                await asyncio.sleep(START_INTERVAL_S)

        await send_until(time.monotonic() + 6)
        record(f"sidecar-1 uses {proxy.rss_mb():.0f} MB of {MEMORY_MB}")
        sigterm = time.monotonic()
        if TROUBLE:
            proxy.signal(signal.SIGTERM)
            record("platform sends SIGTERM to sidecar-1")
            waited = asyncio.create_task(proxy.process.wait())
        await send_until(sigterm + NEW_WORK_AFTER_SIGTERM_S)
        if TROUBLE:
            try:
                await asyncio.wait_for(waited, BOUNDS["grace_s"] - (time.monotonic() - sigterm))
                record(f"sidecar-1 has ended by itself {time.monotonic() - sigterm:.2f} s after SIGTERM")
            except TimeoutError:
                proxy.signal(signal.SIGKILL)
                record("platform sends SIGKILL to sidecar-1")
        done, _ = await asyncio.wait(tasks, timeout=TIME_BUDGET_S)
        for it in done:
            it.result()
    finally:
        await deployment.stop()
    runs = {}
    for it in deployment.proxies:
        for _, request in it.backend.runs:
            runs[request] = runs.get(request, 0) + 1
    lost = []
    for request, sent, ended, status, came, promised in results:
        # LOST: passed on to a back end, and the connection ended without a complete answer, within grace_s + 1 s.
        incomplete = status == 0 or came < promised
        in_time = ended - sent < min(TIME_BUDGET_S, ROUTE_TIMEOUT_S)
        if incomplete and request in runs and in_time and ended <= sigterm + BOUNDS["grace_s"] + 1:
            lost.append(request)
    complete = sum(it[3] == 200 and it[4] == it[5] for it in results)
    record(f"{len(results)} requests, {complete} complete, {len(lost)} lost around the SIGTERM: {' '.join(lost)}")
    if complete < 5:
        record("too few complete answers: the case couldn't run")
        return NOT_RUN
    return BROKEN if lost else HELD


main(HERE, play)
