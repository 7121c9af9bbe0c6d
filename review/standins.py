"""Stand-ins for the platform's store, backends, clients and links, for the scripts in this folder.

They follow PROTOCOL.md: the store keeps items, a history, watches and leases; a backend checks the
expected instance, echoes the request id and signs its answers; a link is a TCP proxy that can make
its open connections go silent. Only the Python standard library is used. All addresses are loopback.
"""
import asyncio
import base64
import ctypes
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
NODE = os.path.join(REPOSITORY, "target", "damaskroute_node")  # `run` of deploy/system.toml
CLOSED = (EOFError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError)
BOUNDS = {"contactMs": 4000, "configApplyMs": 3000, "drainMs": 3000, "evacuateMs": 5000}


def now():
    return time.monotonic()


class CannotRun(Exception):
    """The case could not be run; exit code 2."""


class Record:
    """Writes what was sent, answered and run, with seconds from the start."""

    def __init__(self, folder):
        self.start = now()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="ascii")

    def add(self, *words):
        if self.file.closed:  # The case has ended.
            return
        self.file.write(f"{now() - self.start:9.3f} {' '.join(str(word) for word in words)}\n")

    def say(self, *words):
        self.add(*words)
        print(*words, flush=True)


    def copy_store_lines(self, node):
        """Adds what the node logged about the store."""
        if os.path.exists(node.log):
            for line in open(node.log, encoding="utf-8", errors="replace"):
                if '"store call failed"' in line or '"store reached again"' in line:
                    self.file.write(f"    log of {node.name}: {line}")


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(first, headers, body=b""):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"{first}\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode("latin1") + body


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


SO_ATTACH_FILTER = 26  # Linux
DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))  # BPF: return 0


def drop_incoming(writer):
    """Makes the kernel drop what arrives on this connection, acknowledgements included."""
    sock = writer.get_extra_info("socket")
    program = struct.pack("HxxxxxxP", 1, ctypes.addressof(DROP_ALL))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def free_ports(address, count):
    """A run of `count` free ports below the ephemeral range."""
    first = 12000 + os.getpid() * 31 % 18000
    for base in itertools.chain(range(first, 31000, count), range(11000, first, count)):
        sockets = []
        try:
            for port in range(base, base + count):
                sock = socket.socket()
                sockets.append(sock)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((address, port))
            return base
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRun("no free ports")


class Store:
    """The platform's store. `put` and `remove` are the operator's and the backends' writes."""

    LATENCY = 0.004

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.waiting = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self._expire())

    def put(self, key, value, lease=0):
        """Writes an item; the return is the store's acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self._add(item)
        if not key.startswith("damaskroute/"):
            self.record.add("store acknowledges", key, data.decode("latin1")[:400])
        return now()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add({"key": key, "revision": self.revision, "removed": True})
            self.record.add("store acknowledges removal of", key)
        return now()

    def _add(self, event):
        self.history.append(event)
        for waiter in self.waiting:
            waiter.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.2)
            ended = [lease for lease, (until, _) in self.leases.items() if now() > until]
            for lease in ended:
                del self.leases[lease]
                for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                    self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                status, answer = await self._answer(first.split(" ")[1], body)
                await asyncio.sleep(self.LATENCY)
                writer.write(message(f"HTTP/1.1 {status}", [("Content-Type", "application/json")],
                                     json.dumps(answer).encode()))
                await writer.drain()
        except CLOSED:
            pass
        finally:
            writer.close()

    async def _answer(self, target, body):
        parts = urlsplit(target)
        query = {key: values[0]
                 for key, values in parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return "200 OK", {"items": [self.items[key] for key in keys[:500]],
                              "hasMore": len(keys) > 500, "asOf": self.revision}
        if parts.path == "/kv-watch":
            return "200 OK", await self._watch(query)
        if parts.path == "/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            lease = len(self.history) * 1000 + len(self.leases) + 1
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return "200 OK", {"lease": lease, "ttlMs": ttl}
        if parts.path.startswith("/kv-keep/"):
            lease = int(parts.path.rpartition("/")[2])
            if lease not in self.leases:
                return "404 Not Found", {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return "200 OK", {"ttlMs": ttl}
        if parts.path == "/kv-txn":
            writes = json.loads(body).get("writes", [])
            if any(write.get("lease", 0) and write["lease"] not in self.leases
                   for write in writes):
                return "404 Not Found", {}
            for write in writes:
                self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
            return "200 OK", {"revision": self.revision}
        return "404 Not Found", {}

    async def _watch(self, query):
        until = now() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [event for event in self.history if event["revision"] > int(query["after"])]
            if events or now() >= until:
                return {"events": events, "asOf": self.revision}
            waiter = asyncio.Event()
            self.waiting.add(waiter)
            try:
                await asyncio.wait_for(waiter.wait(), max(until - now(), 0.001))
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiting.discard(waiter)


class LinkState:
    """One connection through a link."""

    def __init__(self, writer):
        self.writer = writer
        self.silent = False


class Link:
    """A TCP proxy in front of one address."""

    def __init__(self, port):
        self.target = port
        self.open = set()
        self.last_watch = 0.0  # When the latest watch passed.

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def silence_open_connections(self):
        """The open connections go silent for good, without a reset; new ones work.

        As on a cut link, nothing is acknowledged either, also no keep-alive probe.
        """
        count = len(self.open)
        for state in self.open:
            state.silent = True
            drop_incoming(state.writer)
        self.open = set()
        return count

    async def _serve(self, reader, writer):
        state = LinkState(writer)
        self.open.add(state)
        try:
            there, back = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            return writer.close()
        await asyncio.gather(self._pump(reader, back, state, True),
                             self._pump(there, writer, state, False))
        self.open.discard(state)

    async def _pump(self, reader, writer, state, upwards):
        try:
            while data := await reader.read(65536):
                if state.silent:
                    continue
                if upwards and b"GET /kv-watch" in data:
                    self.last_watch = now()
                writer.write(data)
                await writer.drain()
        except CLOSED:
            pass
        finally:
            if not state.silent:
                writer.close()


class Backend:
    """A backend that works on `slots` requests at once, each for `work_s` seconds.

    It queues a few more and rejects the rest, ends work at the deadline it is given, drops what runs
    when its process ends, and answers health checks, which count as no arrival.
    """

    QUEUE = 16
    EXPIRY_S = 3.6  # Three heartbeats of 1.2 s; an entry is removed after as long a silence.

    def __init__(self, record, name, service, zone, work_s=0.02, slots=4, max_connections=44):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.max_connections = max_connections
        self.state = "ready"
        self.sequence = 1
        self.born = int(time.time() * 1000)
        self.connections = {}  # The task of each connection.
        self.arrivals = []  # (time, request id)
        self.waiting = 0
        self.running = set()

    async def start(self):
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def listen_again(self):
        """The process starts again at its address."""
        self.free = asyncio.Semaphore(self.slots)
        self.waiting = 0
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def warmup_ms(self):
        return 0

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "v1", "capacity": self.slots, "state": self.state,
                "warmupLeftMs": self.warmup_ms(), "sequence": self.sequence, "born": self.born}

    def exit(self):
        """The process ends: its connections are reset, and what runs is lost."""
        cut = set(self.running)
        self.record.add("backend", self.name, "ends; it was running", " ".join(sorted(cut)))
        self.server.close()
        for writer, task in list(self.connections.items()):
            reset(writer)
            task.cancel()
        self.connections.clear()
        self.running.clear()
        return cut

    async def _serve(self, reader, writer):
        if len(self.connections) >= self.max_connections:
            return reset(writer)
        self.connections[writer] = asyncio.current_task()
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                writer.write(await self._answer(first, headers, body))
                await writer.drain()
        except (*CLOSED, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()

    def _health(self):
        good = self.state == "ready"
        return message("HTTP/1.1 200 OK" if good else "HTTP/1.1 503 Service Unavailable",
                       [("X-Damaskroute-Instance-Id", self.name),
                        ("X-Damaskroute-Warmup-Ms", self.warmup_ms())])

    async def _answer(self, first, headers, body):
        if first.startswith("GET /healthz "):
            return self._health()
        request = headers.get("x-damaskroute-request-id", "")
        echo = [("X-Damaskroute-Request-Id", request)]
        not_executed = echo + [("X-Damaskroute-Not-Executed", "1")]
        if not request:
            return message("HTTP/1.1 400 Bad Request", not_executed)
        if headers.get("x-damaskroute-expect-instance", self.name) != self.name:
            return message("HTTP/1.1 421 Misdirected Request",
                           not_executed + [("X-Damaskroute-Instance-Id", self.name)])
        self.on_arrival(request)
        self.record.add("reaches", self.name, request, first)
        if self.waiting >= self.QUEUE:
            self.record.add("rejected by", self.name, request)
            return message("HTTP/1.1 503 Service Unavailable", not_executed)
        until = now() + int(headers.get("x-damaskroute-deadline-ms", 60000)) / 1000
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), max(until - now(), 0.001))
        except asyncio.TimeoutError:
            return message("HTTP/1.1 503 Service Unavailable", not_executed)
        finally:
            self.waiting -= 1
        free = self.free
        self.running.add(request)
        try:
            return await self._run(request, echo, until)
        finally:
            free.release()
            self.running.discard(request)

    def on_arrival(self, request):
        self.arrivals.append((now(), request))

    async def _run(self, request, echo, until):
        self.record.add("begins to run at", self.name, request)
        await asyncio.sleep(max(min(self.work_s, until - now()), 0))
        signed = echo + [("X-Damaskroute-Server-Stamp", f"{self.name}.{request}")]
        if now() >= until:
            return message("HTTP/1.1 504 Gateway Timeout", signed)
        self.record.add("ran at", self.name, request)
        return message("HTTP/1.1 200 OK", signed, self.answer_body(request))

    def answer_body(self, request):
        return f"{self.name} {request}".encode()


SETTINGS = """nodeName: "{name}"
role: "entry"
machineClass: "edge"
serves:
  - "edge"
ip: "{ip}"
zone: "{zone}"
region: "vestland"
zones:
  bryggen: "vestland"
  torget: "vestland"
  kaien: "vestland"
listenAddrs:
  frontend: "{ip}:{port}"
  ready: "{ip}:{ready}"
internalPorts:
  - {first}
  - {last}
seeds: []
bootstrap: true
countsAsLoss: false
limits:
  cpuQuota: 0.38
  cpuSpeedup: 1
  memoryMb: 390
  maxFds: 6150
  linkMbps: 1500.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: {contactMs}
  ackMs: 5000
  catchUpS: 4
  drainMs: {drainMs}
  graceS: 6
  lossSlackMs: 200
  configApplyMs: {configApplyMs}
  downgradeMs: 250
  skewMaxMs: 12000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retryBudgetSlack: 56
  warmupOvershoot: 1.5
  warmupSlack: 5
  evacuateMs: {evacuateMs}
  recoveryS: 12
platform:
  address: "127.0.0.1:{store}"
  form: "kv"
  writesPerS: 400
  readsPerS: 2000
  historyS: 20
  valueBytes: 1048576
  ttlMinMs: 1000
"""


class Node:
    """One process of the project, started with the deploy file's command."""

    def __init__(self, name, zone, ip, store_port, folder):
        self.name = name
        self.ip = ip
        self.port = free_ports(ip, 12)
        self.path = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        with open(self.path, "w", encoding="ascii") as file:
            file.write(SETTINGS.format(name=name, zone=zone, ip=ip, port=self.port,
                                       ready=self.port + 1, first=self.port + 2,
                                       last=self.port + 11, store=store_port, **BOUNDS))

    def start(self):
        environment = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
                       "LANG": "C", "DAMASKROUTE_CONFIG": self.path}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([NODE], cwd=REPOSITORY, env=environment, stdout=log,
                                            stderr=subprocess.STDOUT)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.port + 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in first
        except (*CLOSED, asyncio.TimeoutError):
            return False


class Client:
    """Sends one request after the other on a kept connection to one node."""

    numbers = itertools.count(1)

    def __init__(self, record, node, host, path, method="GET", body=b"", deadline_ms=4000,
                 pause_s=0.02, every_s=None, first_s=0.0):
        self.record = record
        self.node = node
        self.host = host
        self.path = path
        self.method = method
        self.body = body
        self.deadline_ms = deadline_ms
        self.pause_s = pause_s
        self.every_s = every_s  # Sends at this interval instead of after a pause.
        self.first_s = first_s
        self.requests = {}  # id -> (sent, status)

    async def run(self, until):
        connection = None
        await asyncio.sleep(self.first_s)
        while now() < until:
            request = f"{self.node.name}-{next(Client.numbers)}"
            sent = now()
            try:
                if connection is None:
                    connection = await asyncio.open_connection(self.node.ip, self.node.port)
                reader, writer = connection
                headers = [("Host", self.host), ("X-Damaskroute-Request-Id", request),
                           ("X-Damaskroute-Deadline-Ms", self.deadline_ms)]
                self.record.add("client sends", request, self.method, self.path, "to",
                                self.node.name)
                writer.write(message(f"{self.method} {self.path} HTTP/1.1", headers, self.body))
                first, headers = await asyncio.wait_for(read_head(reader),
                                                        self.deadline_ms / 1000 + 2)
                await asyncio.wait_for(read_body(reader, headers), 2)
                status = int(first.split(" ")[1])
                if headers.get("connection", "").lower() == "close":
                    writer.close()
                    connection = None
            except (*CLOSED, asyncio.TimeoutError) as error:
                status = type(error).__name__
                if connection is not None:
                    connection[1].close()
                connection = None
            self.requests[request] = (sent, status)
            self.record.add("client gets", request, status)
            rest = 0 if self.every_s is None else sent + self.every_s - now()
            await asyncio.sleep(self.pause_s if self.every_s is None else max(rest, 0))


class Deployment:
    """A store, four nodes in three zones and the backends of a case."""

    ZONES = ["bryggen", "bryggen", "torget", "kaien"]

    def __init__(self, folder, with_link=False):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.with_link = with_link
        self.nodes = []
        self.link = None

    async def start(self, backends, config):
        if not os.access(NODE, os.X_OK):
            raise CannotRun("target/damaskroute_node is not built")
        self.store = Store(self.record)
        await self.store.start()
        port = self.store.port
        if self.with_link:
            self.link = Link(port)
            await self.link.start()
            port = self.link.port
        for backend in backends:
            await backend.start()
            self.store.put("servers/" + backend.name, backend.entry())
        self.store.put("op/config", config)
        for index, zone in enumerate(self.ZONES):
            self.nodes.append(Node(f"edge-{zone}-{index + 1}", zone, f"127.0.1.{index + 1}", port,
                                   self.folder))
        for node in self.nodes:
            node.start()
        until = now() + 15
        while not all([await node.is_ready() for node in self.nodes]):
            if now() > until:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.1)
        self.record.say("nodes ready")

    def check_alive(self):
        for node in self.nodes:
            if node.process.poll() is not None:
                raise CannotRun(f"{node.name} ended with {node.process.returncode}")

    def stop(self):
        """Ends all processes that were started."""
        for node in self.nodes:
            if hasattr(node, "process") and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.file.close()


def run_case(folder, case):
    """Runs `case(folder, trouble)`, which returns whether the rule was broken; exits."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        loop = asyncio.new_event_loop()
        task = loop.create_task(asyncio.wait_for(case(folder, trouble), 110))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)  # The nodes are ended first.
        broken = loop.run_until_complete(task)
        code = 1 if broken else 0
        print("rule broken" if broken else "rule held", flush=True)
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        print("cannot run:", repr(error), flush=True)
        code = 2
    os._exit(code)  # Without closing the connections of the stand-ins one by one.
