"""Backends and clients with long flows: requests with pauses between them, and retransmissions as PROTOCOL.md has them."""
import heapq, random, socket, threading, time
import standin
from standin import ACK, FIN, RST, SYN, ip4

WAITS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)  # before the retransmissions of a packet
POST = b"POST /log HTTP/1.1\r\nRequest-Id: %d-%d\r\nContent-Length: 2\r\n\r\nok"


class Backend(standin.Backend):
    """Retransmits its SYN+ACK and its answers until they are acknowledged."""

    def send(self, flow, flags, seq, ack, echo, data=b""):
        if flags & RST:
            with self.fleet.resets_lock:
                self.fleet.resets.append((time.monotonic(), flow, self))
        super().send(flow, flags, seq, ack, echo, data)

    def ran(self, request):
        self.fleet.record(f"{self.ident}: runs {request}")

    def setup(self):
        pass

    def is_full(self):
        return False

    def expect(self, flow, until, *packet):
        """Sends a packet, and again until `until` is acknowledged."""
        self.send(flow, *packet)

        def again(step=0):
            known = self.flows.get(flow)
            if not known or step >= len(WAITS) or (known.get("acked", 0) - until) & 0xFFFFFFFF < 1 << 31:
                return
            self.send(flow, *packet)
            later(WAITS[step], again, step + 1)
        later(WAITS[0], again, 1)

    def run(self):
        self.setup()
        while True:
            data, _ = self.socket.recvfrom(4096)
            number, p = int.from_bytes(data[:8], "big"), standin.Packet(data[8:])
            if number and number != self.number:
                continue
            flow, now = p.flow(), time.monotonic()
            known = self.flows.get(flow)
            if known:
                known["at"] = now
            if p.flags & RST:
                self.flows.pop(flow, None)
            elif p.flags & SYN:
                if not known and self.is_full():
                    continue
                if not known:
                    seq = random.getrandbits(31)
                    self.flows[flow] = {"seq": seq, "next": p.seq + 1, "open": False, "acked": seq, "at": now}
                    self.expect(flow, seq + 1, SYN | ACK, seq, p.seq + 1, p.echo)
                elif not known["open"]:
                    self.send(flow, SYN | ACK, known["seq"], known["next"], p.echo)
            elif not known or (not known["open"] and p.ack != known["seq"] + 1):
                self.fleet.record(f"{self.ident}: no flow of port {p.sport} here, resets it")
                self.send(flow, RST, p.ack, p.seq + p.len, p.echo)
            else:
                if not known["open"]:
                    known["open"] = True
                    self.fleet.opened[flow] = self
                known["acked"] = p.ack
                if p.len and p.seq == known["next"]:
                    known["next"] += p.len
                    body = b"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 2\r\n\r\nok" % self.ident.encode()
                    self.ran(p.data.split()[4].decode())
                    self.expect(flow, p.ack + len(body), ACK, p.ack, known["next"], p.echo, body)
                if p.flags & FIN:
                    self.send(flow, ACK | FIN, p.ack, p.seq + p.len + 1, p.echo)
                    self.flows.pop(flow, None)


class Flow:
    """A client's flow: opens, makes requests with pauses and closes. Its packets carry the last `echo` that it received."""

    def __init__(self, client, port, route, requests, pause=0.3, hold=False):
        self.client, self.port, self.state, self.echo = client, port, "opening", 0
        self.route, self.requests, self.pause, self.hold = route, requests, pause, hold
        self.seq, self.peer, self.left, self.reset, self.at = 1000, 0, requests, None, time.monotonic()
        self.waiting = None
        self.packet(SYN, 0)
        later(0.2, self.copy, 1)
        later(0.6, self.copy, 2)
        later(1.4, self.give_up)

    def packet(self, flags, ack, data=b"", seq=None):
        out = standin.packet(ip4(self.client.ip), self.port, ip4(self.route[0]), self.route[1], flags,
                             self.seq if seq is None else seq, ack, self.echo, data)
        self.client.socket.sendto(out, (self.client.instance.ip, self.client.fleet.traffic_port))

    def copy(self, number):
        if self.state == "opening":
            self.packet(SYN, number)

    def give_up(self):
        if self.state == "opening":
            self.state = "given up"

    def receive(self, p):
        if self.state not in ("opening", "open"):
            return
        if p.flags & RST:
            self.state, self.reset = "reset", (time.monotonic(), self.state)
            return
        if p.flags & SYN and self.state == "open":
            return  # of another backend, which got a copy
        self.echo = p.echo
        if p.flags & SYN:
            if self.state == "opening":
                self.state, self.peer = "open", p.seq + 1
                self.seq += 1
                self.request()
        elif p.len and p.seq == self.peer and self.waiting:
            self.peer += p.len
            self.seq += len(self.waiting)
            self.waiting = None
            self.left -= 1
            self.packet(ACK, self.peer)
            later(self.pause, self.request)
        elif p.len and p.seq != self.peer:
            self.packet(ACK, self.peer)

    def request(self):
        if self.state != "open":
            return
        if not self.left and self.hold:
            return  # stays open and idle
        if not self.left:
            self.state = "closed"
            self.packet(ACK | FIN, self.peer)
            return
        self.waiting = POST % (self.port, self.requests - self.left)
        self.send_request(self.waiting, 0)

    def send_request(self, request, step):
        if self.state == "open" and self.waiting is request and step < len(WAITS):
            self.packet(ACK, self.peer, request)
            later(WAITS[step], self.send_request, request, step + 1)


class Client:
    def __init__(self, fleet, instance, ip):
        self.fleet, self.instance, self.ip, self.flows = fleet, instance, ip, {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, fleet.traffic_port))
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            data, _ = self.socket.recvfrom(4096)
            p = standin.Packet(data)
            later(0, lambda p=p: p.dport in self.flows and self.flows[p.dport].receive(p))


class Loop:
    """One thread for all timers and events of clients and backends."""

    def __init__(self):
        self.queue, self.ready, self.count = [], threading.Condition(), 0
        threading.Thread(target=self.run, daemon=True).start()

    def later(self, wait, call, *args):
        with self.ready:
            self.count += 1
            heapq.heappush(self.queue, (time.monotonic() + wait, self.count, call, args))
            self.ready.notify()

    def run(self):
        while True:
            with self.ready:
                while not self.queue or self.queue[0][0] > time.monotonic():
                    self.ready.wait(max(0.0, self.queue[0][0] - time.monotonic()) if self.queue else None)
                _, _, call, args = heapq.heappop(self.queue)
            call(*args)


later = Loop().later


def resets(fleet, clients):
    """The flows that the client saw reset while they were open at a backend that did not send the reset."""
    found, states = [], {}
    for client in clients:
        for port, flow in client.flows.items():
            states[flow.state] = states.get(flow.state, 0) + 1
            if not flow.reset:
                continue
            key = (ip4(client.ip), port, ip4(flow.route[0]), flow.route[1])
            owner = fleet.opened.get(key)
            senders = [backend for _, k, backend in fleet.resets if k == key]
            names = [backend.ident for backend in senders] or "the system"
            fleet.record(f"client: port {port} by {client.instance.name} got a reset while {flow.reset[1]}; open at "
                         f"{owner.ident if owner else 'no backend'}; resets sent by {names}")
            if owner and flow.reset[1] == "open" and owner not in senders:
                found.append(f"FLOW: the flow of port {port} by {client.instance.name}, open at {owner.ident}, got a reset "
                             f"of {names}; {flow.left} of {flow.requests} requests were not answered")
    fleet.record(f"flows: {states}")
    return found, states


def prepare(fleet):
    fleet.opened, fleet.resets, fleet.resets_lock = {}, [], threading.Lock()
