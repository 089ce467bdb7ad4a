"""Stand-ins for the review's scripts: the platform's store, backends and clients, as PROTOCOL.md describes them,
and the daemon's processes, started with the command of deploy/system.toml on loopback addresses."""
import base64, json, os, random, signal, socket, struct, subprocess, sys, tempfile, threading, time
import http.server, shutil, urllib.parse, urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SYN, ACK, FIN, RST = 128, 32, 8, 4
HEAD = struct.Struct(">HIII H4s4sH I B5s")
START = time.monotonic()
NO_PROXY = urllib.request.build_opener(urllib.request.ProxyHandler({}))


class Stuck(Exception):
    """The case could not run."""


class Record:
    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - START:9.3f} {text}\n")
            self.file.flush()


class Store:
    """The platform's metadata store: linearizable, in pages, with watches and a history."""

    def __init__(self, address, record):
        self.lock, self.changed = threading.Lock(), None
        self.changed = threading.Condition(self.lock)
        self.rev, self.items, self.history, self.record = 100, {}, [], record
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                status, body = store.answer(url.path, dict(urllib.parse.parse_qsl(url.query)))
                data = json.dumps(body).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    self.close_connection = True

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads, request_queue_size = True, 128

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Writes an item; returns the time of the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.rev += 1
            old = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(data).decode(), "rev": self.rev,
                    "created": old["created"] if old else self.rev, "lease": 0}
            self.items[key] = item
            self.history.append((self.rev, item))
            self.changed.notify_all()
        self.record(f"store: {key} = {data[:160]!r} acknowledged at revision {self.rev}")
        return time.monotonic()

    def delete(self, key):
        with self.changed:
            self.rev += 1
            self.items.pop(key, None)
            self.history.append((self.rev, {"key": key, "rev": self.rev, "deleted": True}))
            self.changed.notify_all()
        self.record(f"store: {key} removed at revision {self.rev}")
        return time.monotonic()

    def answer(self, path, query):
        prefix = query.get("prefix", "")
        if path.endswith("/kv-key"):
            with self.lock:
                item = self.items.get(query.get("key", ""))
                return (200, {**item, "asOf": self.rev}) if item else (404, {})
        if path.endswith("/kv-range"):
            with self.lock:
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
                return 200, {"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500, "asOf": self.rev}
        if path.endswith("/kv-watch"):
            after, end = int(query["after"]), time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
            with self.changed:
                while True:
                    events = [e for r, e in self.history if r > after and e["key"].startswith(prefix)]
                    left = end - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "asOf": self.rev}
                    self.changed.wait(left)
        return 404, {}


def ip4(text):
    return socket.inet_aton(text)


class Packet:
    def __init__(self, data):
        (self.len, self.seq, self.ack, self.sum, self.sport, self.src, self.dst, self.dport, self.echo, self.flags,
         self.pad) = HEAD.unpack(data[:36])
        self.data = data[36:]

    def flow(self):
        return (self.src, self.sport, self.dst, self.dport)


def packet(src, sport, dst, dport, flags, seq, ack=0, echo=0, data=b""):
    """A packet; the stand-ins check nothing by `sum`, since the key is not disclosed."""
    return HEAD.pack(len(data), seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, 0x5EED5EED, sport, src, dst, dport, echo, flags,
                     bytes(5)) + data


class Backend:
    """A backend: takes packets with its own identity, opens flows, answers each request packet at once."""

    def __init__(self, fleet, ident, service, zone, ip, slots=3):
        self.fleet, self.ident, self.service, self.zone, self.slots = fleet, ident, service, zone, slots
        self.number = int("".join(c for c in ident if c in "0123456789abcdef"), 16)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, 0))
        self.ip, self.port = self.socket.getsockname()
        self.flows, self.seen, self.writes, self.alive = {}, [], 0, True
        self.born = int(time.time() * 1000)
        self.on_packet = None
        threading.Thread(target=self.run, daemon=True).start()

    def entry(self, state="ready"):
        self.writes += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "coldMs": 0, "seq": self.writes, "born": self.born}

    def register(self, state="ready"):
        return self.fleet.store.put(f"servers/{self.ident}", self.entry(state))

    def send(self, flow, flags, seq, ack, echo, data=b""):
        src, sport, dst, dport = flow
        out = packet(dst, dport, src, sport, flags, seq, ack, echo, data)
        self.socket.sendto(out, (socket.inet_ntoa(src), self.fleet.traffic_port))

    def run(self):
        while True:
            data, _ = self.socket.recvfrom(4096)
            now, number, p = time.monotonic(), int.from_bytes(data[:8], "big"), Packet(data[8:])
            if not self.alive or (number and number != self.number):
                continue
            self.seen.append((now, p))
            if self.on_packet:
                self.on_packet(self, now, p)
            flow = p.flow()
            if p.flags & RST:
                self.flows.pop(flow, None)
            elif p.flags & SYN:
                known = self.flows.setdefault(flow, {"seq": random.getrandbits(31), "next": p.seq + 1, "open": False})
                self.send(flow, SYN | ACK, known["seq"], known["next"], p.echo)
            elif flow not in self.flows:
                self.send(flow, RST, p.ack, p.seq + p.len, p.echo)
            else:
                known = self.flows[flow]
                if not known["open"] and p.ack != (known["seq"] + 1) & 0xFFFFFFFF:
                    self.send(flow, RST, p.ack, p.seq + p.len, p.echo)
                    continue
                known["open"] = True
                self.answer(flow, known, p)

    def answer(self, flow, known, p):
        if p.len and p.seq == known["next"] & 0xFFFFFFFF:
            known["next"] += p.len
            known["reply"] = (b"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 2\r\n\r\nok" % self.ident.encode())
            known["at"] = p.ack
            self.send(flow, ACK, p.ack, known["next"], p.echo, known["reply"])
        elif p.len and "reply" in known:
            self.send(flow, ACK, known["at"], known["next"], p.echo, known["reply"])
        if p.flags & FIN:
            self.send(flow, ACK | FIN, p.ack, p.seq + p.len + 1, p.echo)
            self.flows.pop(flow, None)


class Client:
    """A client's address. Each new flow has a new port, carries one request and is closed after its answer."""

    REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"

    def __init__(self, fleet, ip):
        self.fleet, self.ip, self.flows, self.lock = fleet, ip, {}, threading.Lock()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, fleet.traffic_port))
        self.port = 20000 + random.randrange(9000)
        threading.Thread(target=self.run, daemon=True).start()
        threading.Thread(target=self.copy, daemon=True).start()

    def run(self):
        while True:
            data, _ = self.socket.recvfrom(4096)
            p = Packet(data)
            with self.lock:
                flow = self.flows.get(p.dport)
            if not flow or flow["state"] in ("answered", "reset"):
                continue
            if p.flags & RST:
                flow["state"] = "reset"
                self.fleet.record(f"client: port {p.dport} is reset ({flow['request']})")
            elif p.flags & SYN and flow["state"] == "opening":
                flow.update(state="open", peer=p.seq + 1)
                self.packet(p.dport, ACK, 1001, flow["peer"], p.echo, self.REQUEST)
            elif p.len and flow["state"] == "open" and p.seq == flow["peer"] & 0xFFFFFFFF:
                flow.update(state="answered", answer=p.data, answered_at=time.monotonic())
                self.packet(p.dport, ACK | FIN, 1001 + len(self.REQUEST), flow["peer"] + p.len, p.echo)

    def copy(self):
        """Copies of first packets after 200 ms and 600 ms, and of requests after 200 ms, 600 ms and 1.4 s."""
        while True:
            time.sleep(0.02)
            now = time.monotonic()
            with self.lock:
                flows = [(port, f) for port, f in self.flows.items() if f["state"] in ("opening", "open")]
            for port, flow in flows:
                if flow["state"] == "opening":
                    if now - flow["at"] > 1.4:
                        flow["state"] = "given up"
                    elif flow["copies"] < 2 and now - flow["at"] > (0.2, 0.6)[flow["copies"]]:
                        flow["copies"] += 1
                        self.packet(port, SYN, 1000, flow["copies"], 0)

    def packet(self, port, flags, seq, ack, echo, data=b""):
        flow = self.flows[port]
        out = packet(ip4(self.ip), port, ip4(flow["route"][0]), flow["route"][1], flags, seq, ack, echo, data)
        self.socket.sendto(out, (flow["instance"].ip, self.fleet.traffic_port))

    def open(self, instance, route):
        """Begins a new flow with one request; returns its port."""
        with self.lock:
            self.port += 1
            port = self.port
            self.flows[port] = {"at": time.monotonic(), "instance": instance, "route": route, "state": "opening",
                                "copies": 0, "request": f"request {port} to {route[0]}:{route[1]} by {instance.name}"}
        self.fleet.record(f"client: {self.flows[port]['request']} sent")
        self.packet(port, SYN, 1000, 0, 0)
        return port


class Instance:
    def __init__(self, fleet, name, ip, zone):
        self.fleet, self.name, self.ip, self.zone, self.child = fleet, name, ip, zone, None

    def start(self):
        f = self.fleet
        text = (ROOT / "platform/quetzald.ini").read_text()
        fields = {"nodeId": self.name, "zone": self.zone, "listen.datagramAddr": f"{self.ip}:{f.traffic_port}",
                  "listen.ready": f"{self.ip}:{f.ready_port}", "ip": self.ip, "internalPorts.0": str(f.control_port),
                  "seeds": ",".join(f"{s}:{f.control_port}" for s in f.seeds), "platform.address": f.store_address}
        text = text.replace("{{#heartbeatMs}}write_interval = {{.}}ms{{/heartbeatMs}}", "write_interval = 1200ms")
        for key, value in fields.items():
            text = text.replace("{{" + key + "}}", value)
        path = f.folder / f"{self.name}.ini"
        path.write_text(text.replace(":9464", f":{f.metrics_port}"))
        log = open(f.folder / f"{self.name}.log", "a")
        self.child = subprocess.Popen(f.command + ["--settings", str(path)], cwd=ROOT, stdin=subprocess.DEVNULL,
                                      stdout=log, stderr=log)
        f.record(f"{self.name} ({self.ip}) started")

    def signal(self, number):
        self.child.send_signal(number)
        self.fleet.record(f"{self.name} gets {signal.Signals(number).name}")
        if number == signal.SIGKILL:
            self.child.wait()

    def get(self, path):
        with NO_PROXY.open(f"http://{self.ip}:{self.fleet.ready_port}{path}", timeout=1) as response:
            return response.read().decode()

    def ready(self):
        try:
            return bool(self.get("/ready") or True)
        except OSError:
            return False

    def status(self):
        return json.loads(self.get("/status"))


class Fleet:
    """The instances of a small deployment with its store, on loopback addresses that nothing else uses."""

    def __init__(self, folder, zones):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.instances = [Instance(self, f"front-{zone}-{i}", f"{self.net}.{10 + i}", zone) for i, zone in enumerate(zones)]
        ports = random.sample(range(10000, 30000), 4)
        self.traffic_port, self.ready_port, self.control_port, self.metrics_port = ports
        self.seeds = [i.ip for i in self.instances[:3]]
        self.store_address = f"{self.net}.200:{ports[0]}"
        deploy = (ROOT / "deploy/system.toml").read_text()
        run = next(line for line in deploy.splitlines() if line.startswith("run = ")).split('"')[1].split()
        self.command = [str(ROOT / run[0])]
        if not os.access(self.command[0], os.X_OK):
            raise Stuck(f"{run[0]} is not built")
        self.store = Store((f"{self.net}.200", ports[0]), self.record)
        self.routes, self.version, self.limits = [], 0, {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                                                         "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

    def route(self, address, kind="safe", service=None, split=None):
        route = {"name": f"r-{len(self.routes)}", "host": address[0], "prefix": f"/{address[1]}/", "type": kind,
                 "timeoutMs": 3000, "targetLatencyMs": 200, "priority": 2, "maxAttempts": 2}
        route.update({"trafficSplit": split} if split else {"service": service})
        return route

    def configure(self, routes, services):
        self.version += 3
        services = [{"name": s, "healthPath": "/health", "maxConns": 2000, "protocol": "h1", "tls": False} for s in services]
        return self.store.put("op/config", {"version": self.version, "routes": routes, "services": services,
                                            "limits": self.limits})

    def start(self):
        for instance in self.instances:
            instance.start()
        end = time.monotonic() + 20
        while not all(i.ready() for i in self.instances):
            if time.monotonic() > end:
                raise Stuck("the instances did not get ready")
            time.sleep(0.1)
        self.record("all instances are ready")

    def watchers(self, count=2, wait=20):
        """The instances that watch the store, once it is the same `count` of them for two seconds."""
        end, same, since = time.monotonic() + wait, None, 0
        while time.monotonic() < end:
            found = [i for i in self.instances if i.status()["watching"]]
            if [i.name for i in found] != same:
                same, since = [i.name for i in found], time.monotonic()
            elif len(found) == count and time.monotonic() - since > 2:
                self.record("watching the store: " + ", ".join(same))
                return found
            time.sleep(0.2)
        raise Stuck("the watching instances did not settle")

    def close(self):
        for instance in self.instances:
            if instance.child and instance.child.poll() is None:
                instance.child.kill()
                instance.child.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(case, folder, zones):
    """Runs a case: `case(fleet, trouble)` returns the breaches that it saw. Exits with 0, 1 or 2."""
    trouble, fleet = os.environ.get("TROUBLE", "1") != "0", None
    code = 2
    try:
        fleet = Fleet(folder, zones)
        breaches = case(fleet, trouble)
        for breach in breaches[:50]:
            fleet.record("BROKEN " + breach)
        code = 1 if breaches else 0
        fleet.record(f"{len(breaches)} breaches" if breaches else "the rule held")
        print(f"{len(breaches)} breaches: {breaches[0]}" if breaches else "the rule held")
    except Exception as error:  # whatever stops the case is told apart from a broken rule
        print(f"the case could not run: {error!r}")
        if fleet:
            fleet.record(f"could not run: {error!r}")
    finally:
        if fleet:
            if os.environ.get("KEEP"):
                shutil.copytree(fleet.folder, os.environ["KEEP"], dirs_exist_ok=True)
            fleet.close()
    sys.stdout.flush()
    os._exit(code)
