"""Stand-ins for the scripts of this review: the platform's store, its routers, clients and targets.

They speak what PROTOCOL.md says, in one process, on loopback addresses. The instances of hollyhead
are separate processes, started with the command of the deploy file and settings filled into the
template of the deploy file.
"""

import asyncio
import http.client
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SYN, ACK, FIN, RST = 1, 16, 128, 32
HEAD = struct.Struct("<IIHHIIIBBHI")
RESET_WINDOW = 76_800
SUM = 0xA1B2C3D4  # the key of the sum is not disclosed; the two ends share this constant
START = time.monotonic()


def now():
    return time.monotonic() - START


def ip_number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


class Packet:
    """One packet of a flow. A reset of the system's own has `sum` 0."""

    __slots__ = ("seq", "ack", "dport", "sport", "dst", "src", "sum", "flags", "pad", "echo", "data")

    def __init__(self, src, sport, dst, dport, flags, seq, ack, echo=0, data=b"", total=SUM):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
        self.echo, self.data, self.sum, self.pad = echo, data, total, 0

    def encode(self):
        head = HEAD.pack(self.seq, self.ack, self.dport, self.sport, self.dst, self.src, self.sum,
                         self.flags, self.pad, len(self.data), self.echo)
        return head + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        seq, ack, dport, sport, dst, src, total, flags, _pad, length, echo = HEAD.unpack_from(raw)
        data = raw[HEAD.size:]
        if len(data) != length:
            return None
        return Packet(src, sport, dst, dport, flags, seq, ack, echo, data, total)


class Record:
    """Lines of record.txt, in the order in which they are written."""

    def __init__(self, path):
        self.file = open(path, "w")

    def line(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


# The platform's store.

class Store:
    """The platform's metadata store: list, one object, watch, and writes of conditional objects."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.objects = {}
        self.changes = []
        self.event = asyncio.Event()
        self.calls = 0

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = self.server.sockets[0].getsockname()
        return self.address

    def put(self, kind, name, spec):
        """A write of the operator, of a target or of another writer. Returns its revision."""
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known["meta"]["revision"]
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        meta = {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                "deleting": False}
        self.objects[(kind, name)] = {"meta": meta, "spec": spec, "status": None}
        self.changed(kind, self.objects[(kind, name)], False)
        return self.revision

    def delete(self, kind, name):
        gone = self.objects.pop((kind, name), None)
        if gone:
            self.revision += 1
            gone = {**gone, "meta": {**gone["meta"], "revision": self.revision}}
            self.changed(kind, gone, True)

    def changed(self, kind, obj, deleted):
        self.changes.append((self.revision, kind, {"object": obj, "deleted": deleted}))
        self.event.set()
        self.event = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                fields = {k.lower(): v.strip() for k, v in
                          (line.split(":", 1) for line in head[1:] if ":" in line)}
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                self.calls += 1
                status, answer = await self.answer(method, target, body)
                raw = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = parts.path.strip("/").split("/")
        if path[:2] != ["api", "objects"] or len(path) < 3:
            return 404, {}
        kind, name = path[2], path[3] if len(path) > 3 else None
        await asyncio.sleep(0.004)
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", 30000)))
        if method == "GET":
            after = query.get("after", "")
            items = [self.objects[key] for key in sorted(self.objects)
                     if key[0] == kind and key[1] > after]
            return 200, {"items": items, "more": False, "store-revision": self.revision}
        return 503, {}

    async def watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            event = self.event
            events = [it for revision, of, it in self.changes if revision > after and of == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass


# Targets.

class Target(asyncio.DatagramProtocol):
    """A target: holds flows, runs requests in `slots` places, answers its health check."""

    def __init__(self, record, ident, service, zone, slots=2, work=0.02, room=8):
        self.record, self.ident, self.service, self.zone = record, ident, service, zone
        self.slots, self.work, self.room, self.cold_left_ms = slots, work, room, 0
        self.token = int(re.sub("[^0-9a-f]", "", ident.rsplit("-", 1)[-1]), 16)
        self.flows, self.running, self.queue = {}, 0, []
        self.openings, self.runs, self.foreign, self.shed = [], [], 0, 0
        self.opened_at = {}
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)

    async def start(self, ip, port=0):
        loop = asyncio.get_running_loop()
        self.server = await asyncio.start_server(self.health, ip, port)
        self.address = self.server.sockets[0].getsockname()[:2]
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        return self

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                "cold-left-ms": self.cold_left_ms, "sequence": self.sequence, "born": self.born}

    async def health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def reply(self, to, flags, seq, ack, echo, data=b""):
        src, sport, dst, dport, client = to
        packet = Packet(dst, dport, src, sport, flags, seq, ack, echo, data)
        self.transport.sendto(packet.encode(), client)

    def datagram_received(self, raw, sender):
        token = struct.unpack(">Q", raw[:8])[0]
        packet = Packet.decode(raw[8:])
        if packet is None or token not in (0, self.token):
            self.foreign += 1
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        client = (socket.inet_ntoa(struct.pack(">I", packet.src)), CLIENT_PORT[0])
        to = key + (client,)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow["syn"] != packet.seq:
                flow = {"syn": packet.seq, "next": (packet.seq + 1) & 0xFFFFFFFF,
                        "seq": random.getrandbits(32), "open": False, "sent": {}, "to": to}
                flow["mine"] = (flow["seq"] + 1) & 0xFFFFFFFF
                self.flows[key] = flow
                self.openings.append((now(), key, sender[0]))
            flow["echo"] = packet.echo
            self.reply(to, SYN | ACK, flow["seq"], flow["next"], packet.echo)
            return
        if flow is None:
            if not packet.flags & RST:
                self.reply(to, RST, packet.ack, 0, packet.echo)
            return
        flow["echo"] = packet.echo
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if not flow["open"]:
            if packet.ack != (flow["seq"] + 1) & 0xFFFFFFFF:
                return
            flow["open"] = True
            self.opened_at[key] = now()
        if packet.data:
            if packet.seq == flow["next"]:
                flow["next"] = (flow["next"] + len(packet.data)) & 0xFFFFFFFF
                if len(self.queue) < self.room:
                    self.queue.append((key, packet.seq, packet.data))
                    self.begin()
                else:
                    self.shed += 1
                    self.answer(key, packet.seq, b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                                b"Content-Length: 0\r\n\r\n")
            elif packet.seq in flow["sent"]:
                self.send_answer(key, packet.seq)
            self.reply(to, ACK, flow["mine"], flow["next"], flow["echo"])
        elif packet.flags & FIN:
            self.reply(to, ACK | FIN, flow["mine"], packet.seq + 1, flow["echo"])
            self.flows.pop(key, None)

    def begin(self):
        while self.running < self.slots and self.queue:
            key, seq, data = self.queue.pop(0)
            self.running += 1
            asyncio.get_running_loop().create_task(self.run(key, seq, data))

    async def run(self, key, seq, data):
        match = re.search(rb"X-Request-Id: (\S+)", data)
        ident = match.group(1).decode() if match else "?"
        self.runs.append((now(), ident))
        await asyncio.sleep(self.work)
        self.running -= 1
        self.begin()
        if key not in self.flows:
            return
        body = f"{ident} at {self.ident} ".encode().ljust(600, b".")
        self.answer(key, seq, f"HTTP/1.1 200 OK\r\nX-Response-Signature: {self.ident}\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def answer(self, key, seq, data):
        flow = self.flows[key]
        flow["sent"][seq] = (flow["mine"], data)
        flow["mine"] = (flow["mine"] + len(data)) & 0xFFFFFFFF
        self.send_answer(key, seq)

    def send_answer(self, key, seq):
        flow = self.flows[key]
        mine, data = flow["sent"][seq]
        self.reply(flow["to"], ACK, mine, flow["next"], flow["echo"], data)


CLIENT_PORT = [0]


# Routers and clients.

class Router:
    """The platform's routers: probes each node twice a second, and picks by `mod` hash."""

    def __init__(self, record, instances):
        self.record, self.instances = record, instances
        self.ready, self.misses = {}, {}

    async def run(self):
        while True:
            for instance in list(self.instances):
                asyncio.get_running_loop().create_task(self.probe(instance))
            await asyncio.sleep(0.5)

    async def probe(self, instance):
        good = False
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(instance.ip, instance.admin_port), 0.4)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            good = b" 200 " in line
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        misses = 0 if good else self.misses.get(instance.name, 0) + 1
        self.misses[instance.name] = misses
        was = self.ready.get(instance.name, False)
        self.ready[instance.name] = good or (was and misses < 2)
        if was != self.ready[instance.name]:
            state = "in" if not was else "out of"
            self.record.line(f"router: {instance.name} is {state} rotation")

    def pick(self, key, zone):
        nodes = [it for it in self.instances if it.zone == zone]
        rotation = [it for it in nodes if self.ready.get(it.name)]
        if not rotation:
            rotation = [it for it in self.instances if self.ready.get(it.name)]
        if not rotation or 0 < 2 * len([it for it in nodes if it in rotation]) < len(nodes):
            rotation = nodes
        number = key[0] * 31 + key[1] * 2654435761 + key[2] * 17 + key[3]
        return rotation[(number ^ number >> 13) % len(rotation)] if rotation else None


class ClientHost(asyncio.DatagramProtocol):
    """Clients behind one address, which differ in their ports."""

    def __init__(self, record, router, zone):
        self.record, self.router, self.zone = record, router, zone
        self.flows, self.ports = {}, itertools.count(20000)

    async def start(self, ip):
        loop = asyncio.get_running_loop()
        self.ip = ip
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, CLIENT_PORT[0]))
        return self

    def datagram_received(self, raw, sender):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dport) if packet else None
        if flow:
            flow.receive(packet, sender)


class Flow:
    """A client's end of a flow. Each request and each answer takes one packet."""

    def __init__(self, host, service):
        self.host, self.service = host, service
        self.port = next(host.ports)
        host.flows[self.port] = self
        self.key = (ip_number(host.ip), self.port, ip_number(service[0]), service[1])
        self.seq = random.getrandbits(32)
        self.echo, self.state, self.acked = 0, "opening", 0
        self.news = asyncio.Event()
        self.answer, self.resets, self.opened_at, self.first_sent = None, [], None, None
        self.copies = 0

    def send(self, flags, seq, ack, data=b""):
        node = self.host.router.pick(self.key, self.host.zone)
        if node:
            src, sport, dst, dport = self.key
            packet = Packet(src, sport, dst, dport, flags, seq, ack, self.echo, data)
            self.host.transport.sendto(packet.encode(), (node.ip, CLIENT_PORT[0]))
        return node

    def receive(self, packet, sender):
        if packet.flags & RST:
            by = "system" if packet.sum == 0 else "target"
            # "Its `seq` is within 76,800 of the client's last `ack`, or may be any value while the
            # flow is not open." A reset that isn't does not end the flow.
            distance = (packet.seq - self.peer) & 0xFFFFFFFF if self.state == "open" else 0
            valid = by == "target" or min(distance, 2**32 - distance) <= RESET_WINDOW
            self.resets.append((now(), by, sender[0], self.state, valid))
            if self.state in ("opening", "open") and valid:
                self.state = "reset"
        elif packet.flags & SYN and self.state == "opening":
            self.echo, self.peer = packet.echo, (packet.seq + 1) & 0xFFFFFFFF
            self.state, self.opened_at = "open", now()
            self.next = (self.seq + 1) & 0xFFFFFFFF
            self.send(ACK, self.next, self.peer)
        elif self.state == "open" and not packet.flags & SYN:
            self.echo = packet.echo
            if packet.data and packet.seq == self.peer:
                self.peer = (self.peer + len(packet.data)) & 0xFFFFFFFF
                self.answer = packet.data
                self.send(ACK, self.next, self.peer)
        self.news.set()

    async def wait(self, until):
        left = until - time.monotonic()
        self.news.clear()
        try:
            await asyncio.wait_for(self.news.wait(), max(left, 0))
        except asyncio.TimeoutError:
            pass

    async def open(self):
        """Returns whether the flow opened."""
        began = time.monotonic()
        self.first_sent = now()
        for copy, at in enumerate((0.0, 0.2, 0.6)):
            while self.state == "opening" and time.monotonic() < began + at:
                await self.wait(began + at)
            if self.state != "opening":
                break
            self.copies = copy
            self.send(SYN, self.seq, copy)
        while self.state == "opening" and time.monotonic() < began + 1.4:
            await self.wait(began + 1.4)
        return self.state == "open"

    async def request(self, ident, deadline=2.0, method="GET"):
        """Returns the answer; `None` after a reset or the deadline."""
        data = f"{method} /work HTTP/1.1\r\nHost: {self.service[0]}\r\nX-Request-Id: {ident}\r\n\r\n"
        data, self.answer = data.encode(), None
        end, pause = time.monotonic() + deadline, 0.2
        seq = self.next
        self.next = (self.next + len(data)) & 0xFFFFFFFF
        while self.state == "open" and self.answer is None and time.monotonic() < end:
            self.send(ACK, seq, self.peer, data)
            again = time.monotonic() + pause
            while (self.state == "open" and self.answer is None
                   and time.monotonic() < min(again, end)):
                await self.wait(min(again, end))
            pause = min(2 * pause, 1.6)
        return self.answer

    def close(self):
        if self.state == "open":
            self.send(ACK | FIN, self.next, self.peer)
            self.state = "closed"


# Instances.

class Instance:
    """A process of hollyhead, with the command of the deploy file."""

    def __init__(self, deployment, name, ip, zone):
        self.deployment, self.name, self.ip, self.zone = deployment, name, ip, zone
        self.process = None
        self.admin_port = deployment.admin_port

    def start(self, first):
        d = self.deployment
        values = {
            "node-name": self.name, "zone": self.zone, "ip": self.ip,
            "bootstrap": "true" if first else "false",
            "listen.datagram-addr": f"{self.ip}:{CLIENT_PORT[0]}",
            "listen.ready-addr": f"{self.ip}:{d.admin_port}",
            "internal-ports.0": str(d.peer_port), "limits.link-mbps": "1000.0",
            "platform.address": f"{d.store.address[0]}:{d.store.address[1]}",
            "seeds": ",".join(f"{it.ip}:{d.peer_port}" for it in d.instances[:3]),
            "forward-mode": "echo", **d.bounds,
        }
        with open(os.path.join(ROOT, "deploy", "entry.ini")) as template:
            text = re.sub(r"\{\{([^}]+)\}\}", lambda m: values[m.group(1)], template.read())
        path = os.path.join(d.folder, f"{self.name}.ini")
        with open(path, "w") as out:
            out.write(text)
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["HOLLYHEAD_CONFIG"] = path
        log = open(os.path.join(d.folder, f"{self.name}.log"), "a")
        self.process = subprocess.Popen([os.path.join(ROOT, d.command)], cwd=ROOT, env=env,
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        d.record.line(f"{self.name} started")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self, limit=8.0):
        end = time.monotonic() + limit
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def page(self, path):
        connection = http.client.HTTPConnection(self.ip, self.admin_port, timeout=1)
        try:
            connection.request("GET", path)
            return connection.getresponse().read().decode()
        except OSError:
            return ""
        finally:
            connection.close()


def free_port(ips):
    """A port that is free for UDP and TCP at all of the addresses."""
    for _ in range(200):
        port = random.randrange(20000, 30000)
        held = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    held.append(sock)
                    sock.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
    raise RuntimeError("no free port")


class Deployment:
    """A small deployment: store, instances, targets, clients."""

    def __init__(self, record_path, instances, zones=("horn-east-a",)):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml")) as deploy:
            self.command = re.search(r'^run = "([^"]+)"', deploy.read(), re.M).group(1)
        base = random.randrange(10, 200)
        self.net = f"127.{base}"
        ips = [f"{self.net}.0.{11 + n}" for n in range(instances)]
        clients = [f"{self.net}.1.{1 + n}" for n in range(len(zones))]
        CLIENT_PORT[0] = free_port(ips + clients)
        self.admin_port, self.peer_port = CLIENT_PORT[0], CLIENT_PORT[0]
        while len({CLIENT_PORT[0], self.admin_port, self.peer_port}) < 3:
            self.admin_port, self.peer_port = free_port(ips), free_port(ips)
        self.bounds = {"bounds.evacuate-ms": "5000", "bounds.cold-multiplier": "1.5",
                       "bounds.cold-slack": "5", "bounds.grace-s": "6"}
        self.instances = [Instance(self, f"front-{zones[n % len(zones)]}-{n + 1}", ip,
                                   zones[n % len(zones)]) for n, ip in enumerate(ips)]
        self.client_ips, self.zones = clients, zones
        self.targets, self.tasks = [], []

    async def start(self, first=True):
        self.store = Store(self.record)
        await self.store.start(f"{self.net}.3.1")
        self.router = Router(self.record, self.instances)
        self.clients = [await ClientHost(self.record, self.router, zone).start(ip)
                        for ip, zone in zip(self.client_ips, self.zones)]

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    def register(self, target):
        self.store.put("servers", target.ident, target.entry())

    async def wait_ready(self, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all(self.router.ready.get(it.name) for it in self.instances):
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, deployment):
    """Runs a case. It returns whether the rule held; `None` if it could not run."""
    async def run():
        try:
            return await asyncio.wait_for(case(deployment), 110)
        finally:
            deployment.end()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(run())
    except Exception as err:  # the case could not run
        deployment.record.line(f"could not run: {err!r}")
        print(f"could not run: {err!r}")
        deployment.end()
        sys.exit(2)
    verdict = {True: "held", False: "broken", None: "could not run"}[held]
    deployment.record.line(f"verdict: {verdict}")
    print(verdict)
    sys.exit({True: 0, False: 1, None: 2}[held])
