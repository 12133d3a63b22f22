"""Stand-ins for the platform, targets, routers and clients, and a harness that starts instances.

Everything runs on loopback addresses and the real clock. The stand-ins speak what the users' pages
PROTOCOL.md and DEPLOY.md say, in the form `echo`. Only the standard library of Python is used.
"""
import asyncio, hashlib, json, os, random, shutil, signal, socket, struct, subprocess, sys, tempfile
import time, traceback, zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SYN, BOUNCED, ACK, RST, FIN = 1, 4, 16, 32, 128
HEAD = struct.Struct("<IIHHIIIBBHI")  # seq ack dport sport dst src sum flags pad len echo
KEY = b"of clients and targets only"
HEARTBEAT_S = 1.2
COPIES_S = (0.2, 0.6)  # copies of a SYN
SYN_LIMIT_S = 1.4
SLOTS, QUEUE = 2, 8  # of a target
REJECT_S = 0.03  # time that a full target takes to reject a request
RESET_WINDOW = 76800  # of the sequence number of a reset on an open flow


def now():
    return time.monotonic()


def ip_int(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def keyed_sum(seq, ack, dport, sport, dst, src, flags, data):
    head = HEAD.pack(seq, ack, dport, sport, dst, src, 0, flags & ~BOUNCED, 0, len(data), 0)
    digest = hashlib.blake2s(head + data, key=KEY, digest_size=4).digest()
    return struct.unpack("<I", digest)[0] or 1


def packet(src, dst, flags, seq, ack, echo, data=b""):
    (sip, sport), (dip, dport) = src, dst
    sip, dip = ip_int(sip), ip_int(dip)
    seq, ack = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
    total = keyed_sum(seq, ack, dport, sport, dip, sip, flags, data)
    return HEAD.pack(seq, ack, dport, sport, dip, sip, total, flags, 0, len(data), echo) + data


class Packet:
    def __init__(self, raw):
        (self.seq, self.ack, dport, sport, dst, src, self.sum, self.flags, _, length, self.echo) = (
            HEAD.unpack(raw[:32]))
        self.data = raw[32:32 + length]
        self.src, self.dst = (ip_text(src), sport), (ip_text(dst), dport)
        want = keyed_sum(self.seq, self.ack, dport, sport, dst, src, self.flags, self.data)
        self.is_genuine = self.sum == want
        self.is_system_reset = self.sum == 0 and bool(self.flags & RST) and not self.data


class Record:
    """The file `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), now()

    def write(self, text):
        self.file.write("%9.3f %s\n" % (now() - self.began, text))

    def say(self, text):
        self.write(text)
        print("%9.3f %s" % (now() - self.began, text), flush=True)

    def close(self):
        self.file.close()


class Store:
    """The platform's metadata store. Each instance reaches it at an address of its own, so that
    single instances can be partitioned from it."""

    def __init__(self, record, page=500):
        self.record, self.page = record, page
        self.objects, self.history, self.revision = {}, [], 100
        self.leases, self.cut, self.servers = {}, set(), []
        self.changed = asyncio.Condition()
        self.calls = []

    async def listen(self, ip, port, who):
        async def handle(reader, writer):
            try:
                await self.serve(reader, writer, who)
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                writer.close()
        self.servers.append(await asyncio.start_server(handle, ip, port))

    async def serve(self, reader, writer, who):
        while True:
            line = await reader.readline()
            if not line:
                return
            method, target, _ = line.decode().split(" ", 2)
            length = 0
            while (header := (await reader.readline()).strip()):
                name, _, value = header.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            body = await reader.readexactly(length) if length else b""
            if who in self.cut:
                return await self.silence(who)
            self.calls.append((now(), who, method, target))
            status, text = await self.call(method, target, body)
            if who in self.cut:  # the answer is lost on the cut path
                return await self.silence(who)
            await asyncio.sleep(0.004)
            raw = text if isinstance(text, bytes) else text.encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                         % (status, len(raw)) + raw)
            await writer.drain()

    async def silence(self, who):
        await asyncio.sleep(3600)

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.strip("/").split("/")
        if method != "GET" or parts[:2] != ["api", "objects"] or len(parts) not in (3, 4):
            return 404, "{}"
        kind = parts[2]
        if len(parts) == 4:
            found = self.objects.get((kind, parts[3]))
            return (200, found[1]) if found else (404, "{}")
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", 0)) / 1000)
        names = sorted(n for k, n in self.objects if k == kind and n > query.get("after", ""))
        items = [self.objects[(kind, n)][1] for n in names[:self.page]]
        more = "true" if len(names) > self.page else "false"
        return 200, '{"items":[%s],"more":%s,"store-revision":%d}' % (",".join(items), more, self.revision)

    async def watch(self, kind, after, wait):
        end = now() + wait
        async with self.changed:
            while True:
                events = [e for rev, k, e in self.history if rev > after and k == kind]
                left = end - now()
                if events or left <= 0:
                    return 200, '{"events":[%s],"store-revision":%d}' % (",".join(events), self.revision)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def put(self, kind, name, spec, lease_s=None):
        """Writes an object; `spec` is JSON text. Returns the time of the acknowledgement."""
        old = self.objects.get((kind, name))
        if lease_s:
            self.leases[(kind, name)] = now() + lease_s
        if old and old[0] == spec:
            return now()
        self.revision += 1
        text = ('{"meta":{"name":%s,"revision":%d,"created":%d,"finalizers":[],"deleting":false},"spec":%s,"status":null}'
                % (json.dumps(name), self.revision, self.revision, spec))
        self.objects[(kind, name)] = (spec, text)
        self.history.append((self.revision, kind, '{"deleted":false,"object":%s}' % text))
        await self.wake()
        return now()

    async def delete(self, kind, name):
        old = self.objects.pop((kind, name), None)
        self.leases.pop((kind, name), None)
        if old:
            self.revision += 1
            text = ('{"meta":{"name":%s,"revision":%d,"created":1,"finalizers":[],"deleting":true},"spec":%s,"status":null}'
                    % (json.dumps(name), self.revision, old[0]))
            self.history.append((self.revision, kind, '{"deleted":true,"object":%s}' % text))
            await self.wake()
        return now()

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for key in [k for k, at in self.leases.items() if now() >= at]:
                self.record.write("store: the entry %s expired" % key[1])
                await self.delete(*key)


class TargetFlow:
    def __init__(self, seq, caller_seq, echo, via, at):
        self.seq, self.caller_seq, self.echo, self.via, self.at = seq, caller_seq, echo, via, at
        self.is_open, self.received, self.closed = False, b"", False


class Target(asyncio.DatagramProtocol):
    """A target: flows over UDP, health checks over TCP at the same address, and its entry."""

    def __init__(self, world, id, service, zone, address, work_s=0.005, cold_s=0.0, answer_bytes=0):
        self.world, self.id, self.service, self.zone, self.address = world, id, service, zone, address
        self.work_s, self.cold_s, self.started = work_s, cold_s, now()
        self.born = int(time.time() * 1000)
        self.token = int(id.rsplit("-", 1)[-1], 16)
        self.state, self.flows, self.sequence = "ready", {}, 0
        self.busy, self.queued, self.answer_bytes = asyncio.Semaphore(SLOTS), 0, answer_bytes
        self.openings, self.tasks = [], []

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)
        self.health = await asyncio.start_server(self.on_health, *self.address)
        self.tasks.append(asyncio.create_task(self.beat()))
        return self

    def spec(self):
        left = max(0, int((self.cold_s - (now() - self.started)) * 1000))
        return json.dumps({
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "slots": SLOTS, "state": self.state, "cold-left-ms": left,
            "sequence": self.sequence, "born": self.born})

    async def register(self):
        """Writes the entry. It changes only when more than `sequence` changes."""
        spec, self.sequence = self.spec(), self.sequence + 1
        known = self.world.store.objects.get(("servers", self.id))
        if known and without_sequence(known[0]) == without_sequence(spec):
            spec = known[0]
        return await self.world.store.put("servers", self.id, spec, 3 * HEARTBEAT_S)

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self):
        """Reports `draining`, and serves on. Returns the time of the store's acknowledgement."""
        self.state = "draining"
        return await self.register()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        self.health.close()

    async def on_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            async with self.busy:
                await asyncio.sleep(0.001)
            status = b"200 OK" if self.state == "ready" else b"503 Leaving"
            writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def datagram_received(self, raw, sender):
        if len(raw) < 40:
            return
        (token,) = struct.unpack(">Q", raw[:8])
        if token not in (0, self.token):
            return
        p = Packet(raw[8:])
        if not p.is_genuine:
            self.world.note("UNASKED", "target %s got a packet that its sender did not write so" % self.id)
            return
        key = (p.src, p.dst)
        flow = self.flows.get(key)
        if p.flags & SYN:
            if flow is None:
                flow = TargetFlow(random.getrandbits(31), p.seq, p.echo, sender[0], now())
                self.flows[key] = flow
                self.openings.append((now(), key, sender[0]))
                self.world.on_opening(self, key, sender[0])
            flow.echo = p.echo
            return self.send(key, flow, SYN | ACK, flow.seq, flow.caller_seq + 1)
        if flow is None:
            if not p.flags & RST:
                self.send(key, TargetFlow(0, 0, p.echo, "", 0), RST, p.ack, 0)
            return
        if p.flags & RST:
            self.flows.pop(key)
            return
        flow.echo = p.echo
        if not flow.is_open and p.ack == (flow.seq + 1) & 0xFFFFFFFF:
            flow.is_open = True
            self.world.on_open(self, key)
        if p.data and not flow.received:
            flow.received = p.data
            asyncio.get_running_loop().create_task(self.run(key, flow, p))
        elif p.data:
            self.send(key, flow, ACK, flow.seq + 1, p.seq + len(p.data))
        elif p.flags & FIN:
            self.send(key, flow, ACK, flow.seq + 2, p.seq + 1)
            self.flows.pop(key, None)

    async def run(self, key, flow, p):
        ends, id = p.seq + len(p.data), request_id(p.data)
        if self.queued >= SLOTS + QUEUE:
            await asyncio.sleep(REJECT_S)
            return self.send(key, flow, ACK, flow.seq + 1, ends,
                             b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        self.send(key, flow, ACK, flow.seq + 1, ends)
        self.queued += 1
        async with self.busy:
            self.world.on_run(self, key, p.data)
            await asyncio.sleep(self.work_s)
        self.queued -= 1
        body = ("done %s by %s" % (id, self.id)).encode().ljust(self.answer_bytes)
        answer = b"HTTP/1.1 200 OK\r\nX-Response-Signature: %d\r\nContent-Length: %d\r\n\r\n%s" % (
            zlib.crc32(body), len(body), body)
        self.send(key, flow, ACK, flow.seq + 1, ends, answer)

    def send(self, key, flow, flags, seq, ack, data=b""):
        caller, service = key
        raw = packet(service, caller, flags, seq, ack, flow.echo, data)
        self.transport.sendto(raw, (caller[0], self.world.flow_port))


def without_sequence(spec):
    return {name: value for name, value in json.loads(spec).items() if name != "sequence"}


def request_id(data):
    for line in data.split(b"\r\n"):
        if line.lower().startswith(b"x-request-id:"):
            return line.split(b":", 1)[1].strip().decode()
    return "?"


class Result:
    """One flow with one request, as its client saw it."""

    def __init__(self, id, route, key):
        self.id, self.route, self.key, self.sent_at = id, route, key, now()
        self.opened_at = self.ended_at = None
        self.outcome, self.answer = None, b""


class ClientHost(asyncio.DatagramProtocol):
    """The clients behind one address of a zone; each flow has a port of its own."""

    def __init__(self, world, zone, ip):
        self.world, self.zone, self.ip, self.port, self.waiting = world, zone, ip, 20000, {}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.world.flow_port))
        return self

    def datagram_received(self, raw, sender):
        if len(raw) >= 32:
            p = Packet(raw)
            if not p.is_genuine and not p.is_system_reset:
                self.world.note("MIXED", "a client got a packet that its sender did not write so")
                return
            queue = self.waiting.get(p.dst)
            if queue:
                queue.put_nowait(p)

    async def request(self, route, deadline_s=2.0, via=None, idle_s=0.0, method="GET"):
        """Opens a flow to `route` and makes one request. `via` names an instance to send all
        packets to; otherwise the router of the zone chooses. `idle_s` is a pause before the
        request, during which the flow is open and idle."""
        self.port = self.port + 1 if self.port < 60000 else 20001
        src = (self.ip, self.port)
        id = "r%d-%s" % (self.port, self.ip.rsplit(".", 1)[-1])
        result = Result(id, route, (src, route))
        queue = self.waiting[src] = asyncio.Queue()
        try:
            result.outcome = await self.run(result, queue, deadline_s, via, idle_s, method)
        finally:
            del self.waiting[src]
        result.ended_at = now()
        self.world.results.append(result)
        self.world.record.write("client %s %s:%d -> %s%s" % (
            id, route[0], route[1], result.outcome, " " + result.answer.decode() if result.answer else ""))
        return result

    def send(self, result, via, flags, seq, ack, echo, data=b""):
        instance = via or self.world.route(self.zone, result.key)
        if instance:
            raw = packet(result.key[0], result.key[1], flags, seq, ack, echo, data)
            self.transport.sendto(raw, (instance.ip, self.world.flow_port))

    async def run(self, result, queue, deadline_s, via, idle_s, method):
        first, copies, p = random.getrandbits(31), 0, None
        self.send(result, via, SYN, first, 0, 0)
        while p is None:
            due = COPIES_S[copies] if copies < len(COPIES_S) else SYN_LIMIT_S
            try:
                p = await asyncio.wait_for(queue.get(), max(0, result.sent_at + due - now()))
            except asyncio.TimeoutError:
                if copies == len(COPIES_S):
                    return "not-opened"
                copies += 1
                self.send(result, via, SYN, first, copies, 0)
        if p.flags & RST:
            return "reset-before-open-by-" + ("system" if p.is_system_reset else "target")
        result.opened_at = now()
        echo, peer, seq = p.echo, p.seq + 1, first + 1
        self.send(result, via, ACK, seq, peer, echo)
        if idle_s:
            idle_end = now() + idle_s
            try:
                while now() < idle_end:
                    p = await asyncio.wait_for(queue.get(), max(0, idle_end - now()))
                    if p.flags & RST and self.is_reset(result, p, peer):
                        return "reset-while-open-by-" + ("system" if p.is_system_reset else "target")
            except asyncio.TimeoutError:
                pass
        data = ("%s /work HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n" % (
            method, result.route[0], result.id)).encode()
        end, pause, due, acked = now() + deadline_s, 0.2, now() + 0.2, False
        self.send(result, via, ACK, seq, peer, echo, data)
        while True:
            try:
                p = await asyncio.wait_for(queue.get(), max(0, min(due, end) - now()))
            except asyncio.TimeoutError:
                if now() >= end:
                    return "deadline"
                if not acked:
                    self.send(result, via, ACK, seq, peer, echo, data)
                pause, due = min(pause * 2, 1.6), now() + min(pause * 2, 1.6)
                continue
            if p.flags & SYN:
                continue  # a second SYN+ACK of the handshake
            if p.flags & RST:
                if self.is_reset(result, p, peer):
                    return "reset-while-open-by-" + ("system" if p.is_system_reset else "target")
                continue
            echo, acked = p.echo, acked or p.ack == (seq + len(data)) & 0xFFFFFFFF
            if p.data:
                result.answer = p.data.split(b"\r\n\r\n", 1)[-1].rstrip()
                peer += len(p.data)
                self.send(result, via, ACK, seq + len(data), peer, echo)
                self.send(result, via, FIN | ACK, seq + len(data), peer, echo)
                return "answered"


    def is_reset(self, result, p, peer):
        """Returns whether a client heeds an RST on its open flow: a reset of the system counts only
        within a window of the client's last `ack`."""
        distance = (p.seq - peer + 0x80000000) % 0x100000000 - 0x80000000
        is_heeded = not p.is_system_reset or abs(distance) <= RESET_WINDOW
        if p.is_system_reset:
            self.world.resets_while_open.append((now(), result, is_heeded))
            self.world.record.write("client %s got a reset of the system on its open flow (seq %d, last ack %d)" % (
                result.id, p.seq, peer))
        return is_heeded


class Instance:
    """One front machine: the process of the deploy file with its settings."""

    def __init__(self, world, name, zone, ip, seeds):
        self.world, self.name, self.zone, self.ip, self.seeds = world, name, zone, ip, seeds
        self.process, self.misses, self.in_rotation, self.starts = None, 2, False, 0

    def settings(self):
        w = self.world
        fields = {
            "node-name": self.name, "zone": self.zone, "bootstrap": "true" if self.starts == 0 else "false",
            "listen.datagram-addr": "%s:%d" % (self.ip, w.flow_port), "ip": self.ip,
            "internal-ports.0": str(w.peer_port), "listen.ready-addr": "%s:%d" % (self.ip, w.ready_port),
            "limits.link-mbps": "1000.0", "platform.address": "%s:%d" % (self.ip, w.store_port),
            "seeds": ",".join("%s:%d" % (seed, w.control_port) for seed in self.seeds),
            "forward-mode": "echo"}
        fields.update({"bounds." + name: str(value) for name, value in w.bounds.items()})
        text = open(os.path.join(ROOT, w.template)).read()
        for name, value in fields.items():
            text = text.replace("{{%s}}" % name, value)
        if "{{" in text:
            raise CannotRun("a placeholder of the settings template is unknown: " + text)
        return text

    def start(self):
        path = os.path.join(self.world.folder, self.name + ".ini")
        with open(path, "w") as f:
            f.write(self.settings())
        self.starts += 1
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["HOLLYHEAD_CONFIG"] = path
        self.process = subprocess.Popen(self.world.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        self.world.record.write("instance %s started" % self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.world.record.write("instance %s got signal %d" % (self.name, number))

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def log_lines(self):
        lines = []
        for line in open(os.path.join(self.world.folder, self.name + ".log"), errors="replace"):
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"message": line.strip()})
        return lines


class CannotRun(Exception):
    pass


class World:
    """A small deployment, as on the sheets of the small sites."""

    bounds = {"evacuate-ms": 5000, "cold-multiplier": 1.5, "cold-slack": 5, "grace-s": 6,
              "drain-ms": 3000, "config-apply-ms": 3000, "contact-ms": 4000}

    def __init__(self, folder_of_case):
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.instances, self.targets, self.hosts, self.results, self.notes = [], [], [], [], []
        self.openings, self.opens, self.runs, self.tasks = [], {}, [], []
        self.resets_while_open = []  # (time, result, whether the client heeds it)
        self.fault = None  # of a stand-in
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.read_deploy_file()
        self.choose_addresses()
        self.store = Store(self.record)

    def read_deploy_file(self):
        import tomllib
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            (role,) = tomllib.load(f)["roles"].values()
        self.command, self.template = role["run"].split(" "), role["template"]
        self.command[0] = os.path.join(ROOT, self.command[0])
        if not os.path.exists(self.command[0]):
            raise CannotRun("not built: " + self.command[0])

    def choose_addresses(self):
        for _ in range(50):
            self.net = "127.%d.%d." % (random.randint(10, 250), random.randint(1, 250))
            base = random.randint(10000, 30000)
            (self.flow_port, self.peer_port, self.ready_port, self.store_port, self.control_port,
             self.target_port) = range(base, base + 6)
            try:
                for port in range(base, base + 6):
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        with socket.socket(socket.AF_INET, kind) as s:
                            s.bind((self.net + "10", port))
                return
            except OSError:
                continue
        raise CannotRun("no free ports")

    # What the stand-ins see.

    def note(self, rule, text):
        self.notes.append((rule, text))
        self.record.write("%s: %s" % (rule, text))

    def on_opening(self, target, key, via):
        self.openings.append((now(), target, key, via))
        self.record.write("target %s took a SYN of %s:%d to %s:%d from %s" % (
            target.id, *key[0], *key[1], self.name_of(via)))

    def on_open(self, target, key):
        self.opens[key] = (now(), target)

    def on_run(self, target, key, data):
        self.runs.append((now(), target, key, request_id(data)))
        self.record.write("target %s runs %s" % (target.id, request_id(data)))

    def name_of(self, ip):
        return next((i.name for i in self.instances if i.ip == ip), ip)

    # The routers: each hashes over the nodes of the zone that are in rotation.

    def route(self, zone, key):
        nodes = [i for i in self.instances if i.zone == zone]
        ready = [i for i in nodes if i.in_rotation]
        if not ready:
            ready = [i for i in self.instances if i.in_rotation]
        elif len(ready) * 2 < len(nodes):
            ready = nodes
        if not ready:
            return None
        return ready[zlib.crc32(repr(key).encode()) % len(ready)]

    async def probe(self, instance):
        while True:
            ok = await self.is_ready(instance)
            instance.misses = 0 if ok else instance.misses + 1
            instance.in_rotation = instance.misses < 2 if instance.in_rotation else ok
            await asyncio.sleep(0.5)

    async def is_ready(self, instance):
        async def ask():
            reader, writer = await asyncio.open_connection(instance.ip, self.ready_port)
            try:
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(ask(), 0.4)
        except (OSError, asyncio.TimeoutError):
            return False

    # Setting up and ending.

    async def start(self, instances, seeds, targets, clients, config):
        """`instances`: (name, zone, last number of the address); `targets`: (id, service, zone,
        last number, options); `clients`: (zone, last number); `seeds`: last numbers."""
        seeds = [self.net + str(n) for n in seeds]
        self.tasks.append(asyncio.create_task(self.store.expire()))
        for name, zone, n in instances:
            self.instances.append(Instance(self, name, zone, self.net + str(n), seeds))
            await self.store.listen(self.net + str(n), self.store_port, name)
        await self.store.put("config", "main", json.dumps(config))
        for id, service, zone, n, options in targets:
            await self.add_target(id, service, zone, n, **options)
        for instance in self.instances:
            instance.start()
            self.tasks.append(asyncio.create_task(self.probe(instance)))
        for zone, n in clients:
            self.hosts.append(await ClientHost(self, zone, self.net + str(n)).start())
        end = now() + 10
        while now() < end and not all(i.in_rotation for i in self.instances):
            await asyncio.sleep(0.05)
        if not all(i.in_rotation for i in self.instances):
            raise CannotRun("not every instance became ready")

    async def add_target(self, id, service, zone, n, **options):
        target = await Target(self, id, service, zone, (self.net + str(n), self.target_port), **options).start()
        self.targets.append(target)
        return target

    async def load(self, host, routes, per_s, until, **options):
        """Sends `per_s` requests a second until the time `until`."""
        pending, due, count = set(), now(), 0
        while now() < until:
            task = asyncio.create_task(host.request(routes[count % len(routes)], **options))
            pending.add(task)
            task.add_done_callback(pending.discard)
            task.add_done_callback(self.check)
            count += 1
            due += 1 / per_s
            await asyncio.sleep(max(0, due - now()))
        if pending:
            await asyncio.wait(pending, timeout=4)

    def check(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.fault = self.fault or task.exception()

    def end(self):
        for instance in self.instances:
            if instance.is_running():
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs are in " + self.folder)
        self.record.close()


def config(version, routes, services, idle_timeout_ms=15000):
    """`routes`: (name, (hostname, port), type, service, timeout_ms, aim_ms, priority);
    `services`: (name, cold_start_s, cold_per_s)."""
    return {
        "version": version,
        "routes": [{"name": n, "hostname": a[0], "path-prefix": "/%d/" % a[1], "type": t, "timeout-ms": ms,
                    "aim-ms": aim, "priority": p, "service": s, "max-attempts": 2}
                   for n, a, t, s, ms, aim, p in routes],
        "services": [{"name": n, "health-path": "/health", "max-flows": 2000, "protocol": "h1", "tls": False,
                      "cold-start-s": cold, "cold-per-s": per_s} for n, cold, per_s in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                   "idle-timeout-ms": idle_timeout_ms}}


def main(case, folder, limit_s=110):
    """Runs `case(world)`, which returns whether the rule held, and exits with 0, 1 or 2."""
    status, world = 2, None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # still ends what was started
    try:
        world = World(folder)
        loop = asyncio.new_event_loop()
        try:
            held = loop.run_until_complete(asyncio.wait_for(case(world), limit_s))
            if world.fault:
                raise CannotRun("a stand-in failed: %r" % world.fault)
            status = 0 if held else 1
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
    except CannotRun as err:
        print("cannot run: %s" % err)
    except Exception as err:
        print("cannot run: %r" % err)
        traceback.print_exc()
    finally:
        if world:
            world.record.say("exit status %d" % status)
            world.end()
    sys.stdout.flush()
    os._exit(status)
