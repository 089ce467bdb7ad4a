"""Stand-ins of the platform's store, back ends, clients and machines, by the users' pages.

Only the standard library is used. All addresses are loopback addresses of one free block.
"""

import base64
import json
import os
import random
import select
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import traceback
import urllib.parse
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SYN, ACK, FIN, RST = 128, 32, 8, 4
HEAD = struct.Struct(">HIIIH4s4sHIB5s")
TRAFFIC_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 7720
METRICS_PORT = 9464
BACKEND_PORT = 8080
STORE_PORT = 8169
ROUTE_PORT = 8443
# Figures of sites/gpcg-rounds.toml.
DRAIN_S = 3.0
STABILITY_S = 4.0
HEARTBEAT_S = 1.2


class Unusable(Exception):
    """The case couldn't run."""


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, event, **fields):
        with self.lock:
            at = self.now()
            text = " ".join(f"{key}={value}" for key, value in fields.items())
            self.file.write(f"{at:9.3f} {event} {text}\n")
            self.file.flush()
            return at


def free_block():
    """A block 127.N of loopback addresses on which the ports are free."""
    blocks = list(range(20, 250))
    random.shuffle(blocks)
    for block in blocks:
        try:
            ports = [TRAFFIC_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT, BACKEND_PORT, STORE_PORT]
            for ip, port in [(f"127.{block}.1.1", port) for port in ports]:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
            return block
        except OSError:
            continue
    raise Unusable("no free block of addresses")


# --- packets


def checksum(head, data):
    """A keyed sum over all fields except echo, pad and BOUNCED."""
    length, seq, ack, _, sport, src, dst, dport, _, flags, _ = head
    text = f"{length}|{seq}|{ack}|{sport}|{src}|{dst}|{dport}|{flags & ~1}".encode()
    return zlib.crc32(b"stand-in" + text + data)


class Packet:
    def __init__(self, src, dst, seq, ack, flags, echo=0, data=b""):
        self.src, self.dst = src, dst
        self.seq, self.ack, self.flags, self.echo, self.data = seq, ack, flags, echo, data
        self.sum = None

    def write(self):
        head = [
            len(self.data), self.seq & 0xFFFFFFFF, self.ack & 0xFFFFFFFF, 0, self.src[1],
            socket.inet_aton(self.src[0]), socket.inet_aton(self.dst[0]), self.dst[1],
            self.echo, self.flags, bytes(5),
        ]
        head[3] = checksum(head, self.data)
        return HEAD.pack(*head) + self.data

    @staticmethod
    def read(raw):
        head = HEAD.unpack(raw[:36])
        length, seq, ack, total, sport, src, dst, dport, echo, flags, _ = head
        data = raw[36:]
        if length != len(data):
            return None
        packet = Packet((socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport), seq, ack,
                        flags, echo, data)
        packet.sum = total
        packet.is_genuine = total == checksum(head, data)
        return packet


# --- the platform's store


class Connection:
    def __init__(self, sock, machine):
        self.sock, self.machine = sock, machine
        self.busy = False
        self.silent = False
        self.closed = False
        self.last_done = 0.0


class Store:
    """The store: linearizable items, pages, watches. `silence` makes open connections go silent."""

    def __init__(self, record):
        self.record = record
        self.items, self.history, self.revision = {}, [], 100
        self.changed = threading.Condition()
        self.connections = []
        self.calls = []

    def listen(self, ip, machine):
        """Opens the address at which one machine reaches the store, so that calls can be told apart."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, STORE_PORT))
        listener.listen(64)
        threading.Thread(target=self._accept, args=(listener, machine), daemon=True).start()

    def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            created = self.items.get(key, {}).get("created", self.revision)
            item = {"key": key, "value": base64.b64encode(raw).decode(), "rev": self.revision,
                    "created": created, "lease": 0}
            self.items[key] = item
            self.history.append((self.revision, item))
            at = self.record.line("store-ack", key=key, rev=self.revision, value=raw[:300])
            self.changed.notify_all()
            return at

    def delete(self, key):
        with self.changed:
            if self.items.pop(key, None) is None:
                return None
            self.revision += 1
            self.history.append((self.revision, {"key": key, "rev": self.revision, "deleted": True}))
            at = self.record.line("store-ack", key=key, rev=self.revision, deleted=True)
            self.changed.notify_all()
            return at

    def watchers(self, within):
        """Machines that have a watch waiting, or made one lately."""
        since = time.monotonic() - within
        return {name for at, name, path in list(self.calls) if at >= since and "kv-watch" in path}

    def idle_connections(self):
        return [one for one in list(self.connections) if not (one.busy or one.closed)]

    def silence(self, connections):
        for one in connections:
            one.silent = True

    def _accept(self, listener, machine):
        while True:
            sock, _ = listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            one = Connection(sock, machine)
            self.connections.append(one)
            threading.Thread(target=self._serve, args=(one,), daemon=True).start()

    def _serve(self, one):
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    received = one.sock.recv(65536)
                    if not received:
                        return
                    if one.silent:
                        # Nothing passes any more, in either direction, and nothing is closed.
                        self.record.line("silent-connection-got-a-call", machine=one.machine)
                        while one.sock.recv(65536):
                            pass
                        return
                    buffer += received
                head, buffer = buffer.split(b"\r\n\r\n", 1)
                path = head.split(b" ", 2)[1].decode()
                one.busy = True
                self.calls.append((time.monotonic(), one.machine, path))
                self.record.line("store-call", machine=one.machine, path=path)
                status, body = self._respond(path)
                raw = json.dumps(body).encode()
                reply = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(raw)}\r\n\r\n").encode() + raw
                if one.silent:
                    self.record.line("silent-connection-lost-an-answer", machine=one.machine)
                    while one.sock.recv(65536):
                        pass
                    return
                one.sock.sendall(reply)
                one.last_done = time.monotonic()
                one.busy = False
        except OSError:
            pass
        finally:
            one.closed = True
            one.sock.close()

    def _respond(self, path):
        url = urllib.parse.urlparse(path)
        query = {key: values[0] for key, values in
                 urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        prefix = query.get("prefix", "")
        time.sleep(0.004)
        if url.path == "/quetzalspur/kv-range":
            with self.changed:
                keys = sorted(key for key in self.items
                              if key.startswith(prefix) and key > query.get("after", ""))
                page = keys[:50]
                return 200, {"items": [self.items[key] for key in page],
                             "hasMore": len(keys) > len(page), "asOf": self.revision}
        if url.path == "/quetzalspur/kv-watch":
            after, wait = int(query["after"]), int(query.get("waitMs", "0")) / 1000.0
            end = time.monotonic() + wait
            with self.changed:
                while True:
                    events = [item for rev, item in self.history
                              if rev > after and item["key"].startswith(prefix)]
                    left = end - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "asOf": self.revision}
                    self.changed.wait(left)
        return 404, {}


# --- back ends


class Backend:
    """A back end: datagrams at its address, its entry in the store, a record of what it runs."""

    def __init__(self, stack, name, ip, zone, service, slots=3, work_s=0.04):
        self.stack, self.ip, self.zone, self.service = stack, ip, zone, service
        self.slots = slots
        self.work = lambda request: work_s
        self.name = name
        self.id = f"i-{random.getrandbits(31) | 0x40000000:08x}"
        self.address = (ip, BACKEND_PORT)
        self.state = "ready"
        self.is_cut = False
        self.born = int(time.time() * 1000)
        self.sequence = 1
        self.flows = {}
        self.openings = []
        self.runs = []
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind(self.address)
        self.health = socket.socket()
        self.health.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.health.bind(self.address)
        self.health.listen(16)
        threading.Thread(target=self._run, daemon=True).start()
        threading.Thread(target=self._run_health, daemon=True).start()

    def entry(self, **changes):
        entry = {"service": self.service, "address": f"{self.ip}:{BACKEND_PORT}",
                 "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                 "coldMs": 0, "seq": self.sequence, "born": self.born}
        entry.update(changes)
        return entry

    def register(self):
        return self.stack.store.put(f"servers/{self.id}", self.entry())

    def drain(self):
        self.state = "draining"
        self.sequence += 1
        return self.register()

    def cut(self):
        """Nothing from the machines arrives any more: packets are lost, connections get no answer."""
        self.is_cut = True
        time.sleep(0.02)
        # A full queue of new connections drops the opening packets of further ones.
        self.health.listen(0)
        self.fillers = []
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def heal(self):
        """The back end is reachable again."""
        for filler in self.fillers:
            filler.close()
        self.health.listen(16)
        self.is_cut = False

    def _run_health(self):
        while True:
            ready, _, _ = select.select([self.health], [], [], 0.01)
            if ready and not self.is_cut:
                sock, _ = self.health.accept()
                sock.close()
            elif ready:
                time.sleep(0.01)

    def _run(self):
        while True:
            raw, _ = self.udp.recvfrom(2048)
            if self.is_cut:
                continue
            if raw[:8] not in (bytes(8), int(self.id[2:], 16).to_bytes(8, "big")):
                continue
            packet = Packet.read(raw[8:])
            if packet is None:
                continue
            if not packet.is_genuine:
                self.stack.record.line("FORGED", backend=self.name)
                continue
            self._handle(packet)

    def _send(self, packet, flags, seq, ack, data=b""):
        reply = Packet(packet.dst, packet.src, seq, ack, flags, packet.echo, data)
        self.udp.sendto(reply.write(), (packet.src[0], TRAFFIC_PORT))

    def _handle(self, packet):
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow["isn"] != packet.seq:
                flow = {"isn": packet.seq, "own": random.getrandbits(32), "open": False,
                        "next": packet.seq + 1, "answers": {}, "ended": False}
                self.flows[key] = flow
            self._send(packet, SYN | ACK, flow["own"], packet.seq + 1)
            return
        if packet.flags & RST:
            self.flows.pop(key, None)
            return
        if flow is None or flow["ended"] and packet.data:
            self._send(packet, RST, packet.ack, packet.seq)
            return
        if not flow["open"]:
            if (packet.ack - flow["own"]) & 0xFFFFFFFF < 1:
                return
            flow["open"] = True
            flow["sent"] = flow["own"] + 1
            at = self.stack.record.line("flow-open", backend=self.name, state=self.state,
                                        client=f"{packet.src[0]}:{packet.src[1]}")
            self.openings.append((at, packet.src))
        if packet.flags & FIN:
            flow["ended"] = True
            self._send(packet, FIN | ACK, flow["sent"], packet.seq + len(packet.data) + 1)
            return
        if packet.data:
            threading.Thread(target=self._work, args=(packet, flow), daemon=True).start()

    def _work(self, packet, flow):
        known = flow["answers"].get(packet.seq)
        if known is None:
            flow["answers"][packet.seq] = "running"
            request = packet.data.decode(errors="replace").split("Request-Id: ")[-1].split("\r\n")[0]
            at = self.stack.record.line("run", backend=self.name, request=request)
            self.runs.append((at, request))
            time.sleep(self.work(request))
            body = f"{self.id} {request}"
            text = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
            flow["answers"][packet.seq] = (flow["sent"], text)
            flow["sent"] += len(text)
            known = flow["answers"][packet.seq]
        if known == "running":
            return
        seq, text = known
        self._send(packet, ACK, seq, packet.seq + len(packet.data), text)


# --- clients


class Host:
    """The address of a client: packets for it arrive at the port of `datagramAddr`."""

    def __init__(self, stack, ip):
        self.stack, self.ip = stack, ip
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((ip, TRAFFIC_PORT))
        self.flows = {}
        self.next_port = 40000
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            raw, sender = self.udp.recvfrom(2048)
            packet = Packet.read(raw)
            flow = packet and self.flows.get(packet.dst[1])
            if flow:
                flow.receive(packet, sender)

    def flow(self, through):
        self.next_port += 1
        return Flow(self, self.next_port, through)


class Flow:
    """One flow of a client; `through` gives the machine to which the router sends a packet."""

    def __init__(self, host, port, through):
        self.host, self.port, self.through = host, port, through
        self.stack = host.stack
        self.source, self.route = (host.ip, port), (self.stack.route_ip, ROUTE_PORT)
        self.isn = random.getrandbits(31)
        self.seq = self.isn + 1
        self.ack, self.echo = 0, 0
        self.state = "new"
        self.peer = None
        self.answer = threading.Event()
        self.body = None
        self.sent_at = None
        self.resets = []
        host.flows[port] = self

    def _send(self, flags, seq, ack, data=b""):
        machine = self.through()
        if machine is not None:
            packet = Packet(self.source, self.route, seq, ack, flags, self.echo, data)
            self.host.udp.sendto(packet.write(), machine.traffic)

    def receive(self, packet, sender):
        self.echo = packet.echo or self.echo
        if packet.flags & RST:
            who = "system" if packet.sum == 0 else "backend"
            at = self.stack.record.line("reset", client=f"{self.host.ip}:{self.port}", by=who,
                                        sender=f"{sender[0]}:{sender[1]}", flow=self.state)
            accepted = self.state != "open" or abs(packet.seq - self.ack) <= 76800
            if accepted:
                self.resets.append((at, who, self.state))
                self.state = "reset"
                self.answer.set()
        elif packet.flags & SYN:
            if self.state == "opening":
                self.ack = packet.seq + 1
                self.state = "open"
                self.answer.set()
        elif packet.data and self.state == "open" and packet.seq == self.ack & 0xFFFFFFFF:
            self.ack += len(packet.data)
            self.body = packet.data
            self._send(ACK, self.seq, self.ack)
            self.answer.set()

    def open(self):
        """Sends the SYN, with copies after 200 and 600 ms. Returns whether the flow opened."""
        self.state = "opening"
        self.answer.clear()
        for copies, wait in enumerate((0.2, 0.4, 0.8)):
            self._send(SYN, self.isn, copies)
            if self.answer.wait(wait):
                break
        if self.state != "open":
            self.state = "closed" if self.state == "opening" else self.state
            return False
        return True

    def request(self, number, timeout=3.0):
        """Sends a request, again after 200 ms and so on. Returns the answer; none without one."""
        data = f"GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: {number}\r\n\r\n".encode()
        self.stack.record.line("request", request=number, client=f"{self.host.ip}:{self.port}")
        self.answer.clear()
        self.body = None
        end, wait, seq = time.monotonic() + timeout, 0.2, self.seq
        self.seq += len(data)
        while time.monotonic() < end and self.state == "open":
            # When the packet was sent that opens the flow, or its last copy.
            self.sent_at = self.stack.record.now()
            self._send(ACK, seq, self.ack, data)
            if self.answer.wait(min(wait, max(0.0, end - time.monotonic()))):
                break
            wait = min(wait * 2, 1.6)
        self.stack.record.line("answer", request=number, state=self.state, body=self.body)
        return self.body

    def close(self):
        if self.state == "open":
            self._send(FIN | ACK, self.seq, self.ack)
            self.state = "closed"


# --- machines


class Machine:
    """One machine that runs `quetzald` with the settings that the template gives."""

    def __init__(self, stack, name, ip, zone):
        self.stack, self.name, self.ip, self.zone = stack, name, ip, zone
        self.traffic = (ip, TRAFFIC_PORT)
        self.process = None
        self.seeds = None
        self.store_ip = f"127.{stack.block}.200.{len(stack.machines) + 1}"
        stack.store.listen(self.store_ip, name)
        self.settings = os.path.join(stack.directory, f"{name}.yaml")
        self.log = os.path.join(stack.directory, f"{name}.log")

    def write_settings(self):
        zones = ",".join(f"{zone}:region" for zone in self.stack.zones)
        first = [machine.ip for machine in self.stack.machines[:3]]
        seeds = ",".join(f"{ip}:8166" for ip in (self.seeds or first))
        with open(os.path.join(ROOT, "platform", "quetzald.ini"), encoding="utf-8") as file:
            lines = file.read().splitlines()
        values = {
            "{{nodeId}}": self.name, "{{zone}}": self.zone,
            "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}": zones, "{{contracts}}": self.stack.contracts,
            "{{listen.datagramAddr}}": f"{self.ip}:{TRAFFIC_PORT}",
            "{{listen.ready}}": f"{self.ip}:{READY_PORT}", "{{ip}}": self.ip,
            "{{internalPorts.0}}": str(CONTROL_PORT), "{{seeds}}": seeds,
            "{{platform.address}}": f"{self.store_ip}:{STORE_PORT}",
        }
        bounds = self.stack.bounds
        out = []
        for line in lines:
            if line.startswith("{{#"):
                name = line[3:].split("}}")[0]
                if name not in bounds:
                    continue
                line = line.split("}}", 1)[1].rsplit("{{/", 1)[0].replace("{{.}}", bounds[name])
            for key, value in values.items():
                line = line.replace(key, value)
            out.append(line)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(out) + "\n")

    def start(self):
        self.write_settings()
        program = os.path.join(ROOT, "target", "release", "quetzald")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([program, "--settings", self.settings], stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT)
        self.stack.record.line("start", machine=self.name, ip=self.ip, pid=self.process.pid)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.stack.record.line("kill", machine=self.name, pid=self.process.pid)

    def runs(self):
        return self.process is not None and self.process.poll() is None

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, READY_PORT), timeout=1.0) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in sock.recv(4096).split(b"\r\n", 1)[0]
        except OSError:
            return False


# --- the whole


class Stack:
    """A small deployment: the store, machines, back ends, clients."""

    def __init__(self, folder, zones, machines):
        program = os.path.join(ROOT, "target", "release", "quetzald")
        if not os.access(program, os.X_OK):
            raise Unusable("target/release/quetzald is not built")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.directory = tempfile.mkdtemp(prefix="quetzal-review-")
        self.block = free_block()
        # Stands in packets and in the configuration; nothing is sent to it.
        self.route_ip = f"127.{self.block}.250.1"
        self.zones = zones
        self.store = Store(self.record)
        self.machines = []
        for index, zone in enumerate(machines):
            ip = f"127.{self.block}.{zones.index(zone) + 1}.{index + 1}"
            self.machines.append(Machine(self, f"front-{zone}-{index + 1}", ip, zone))
        self.contracts = "base,drain,config,cost,recover,flows,platform"
        self.bounds = {"bounds.drainMs": "3000", "bounds.configApplyMs": "3000",
                       "bounds.stabilityMs": "4000", "platform.historyS": "20",
                       "heartbeatMs": "1200"}
        self.service_fields = {}
        self.backends = []
        self.version = 0
        self.hosts = 0

    def publish(self, routes_service, services):
        self.version += 3
        route = {"name": "r-1", "host": self.route_ip, "prefix": f"/{ROUTE_PORT}/", "type": "safe",
                 "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 2,
                 "service": routes_service, "maxAttempts": 2}
        config = {
            "version": self.version, "routes": [route],
            "services": [{"name": name, "healthPath": "/health", "maxConns": 2000,
                          "protocol": "h1", "tls": False, **self.service_fields}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
        }
        return self.store.put("op/config", config)

    def add_backend(self, zone, service, **changes):
        number = len(self.backends) + 1
        ip = f"127.{self.block}.{100 + self.zones.index(zone)}.{number}"
        backend = Backend(self, f"backend-{number}", ip, zone, service)
        self.backends.append(backend)
        self.store.put(f"servers/{backend.id}", backend.entry(**changes))
        return backend

    def host(self):
        self.hosts += 1
        return Host(self, f"127.{self.block}.150.{self.hosts}")

    def wait_ready(self, timeout=15.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if all(machine.is_ready() for machine in self.machines):
                return
            time.sleep(0.1)
        raise Unusable("not all machines became ready")

    def stop(self):
        for machine in self.machines:
            if machine.runs():
                machine.kill()
        shutil.rmtree(self.directory, ignore_errors=True)


def end(*_):
    """Ends the machines when the time of the script is over."""
    for one in ACTIVE:
        one.stop()
    os._exit(2)


def main(case):
    """Runs a case and returns its exit status: 1 broken, 0 held, 2 could not run."""
    folder = os.environ["CASE"]
    signal.signal(signal.SIGTERM, end)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    stack = None
    status = 2
    try:
        stack = case(folder, trouble)
        status = 1 if stack.broken else 0
    except Unusable as why:
        print(f"could not run: {why}")
    except Exception:
        # A fault of the script itself says nothing about the rule.
        traceback.print_exc()
    finally:
        for one in ACTIVE:
            one.stop()
    print({0: "held", 1: "BROKEN", 2: "could not run"}[status])
    os._exit(status)


ACTIVE = []


def new_stack(folder, zones, machines):
    stack = Stack(folder, zones, machines)
    stack.broken = False
    ACTIVE.append(stack)
    return stack
