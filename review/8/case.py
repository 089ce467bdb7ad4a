"""A drain while one machine is left, whose idle connection to the store went silent before."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import stack as standin

ZONES = ["mobile-bay", "delta-west", "piney-woods", "acadiana"]
MACHINES = ["mobile-bay", "mobile-bay", "delta-west", "piney-woods", "acadiana"]
SERVICE = "board"
# A machine that lost power is dark for as long as on the days of the site.
DARK_S = 3.5


def clients(stack, machines, stop):
    """Opens a flow of one request through each machine in turn, every 15 ms."""
    hosts = [stack.host() for _ in machines]
    number = [0]

    def one(host, machine, request):
        flow = host.flow(lambda: machine if machine.runs() else None)
        if flow.open():
            flow.request(request, 2.0)
            flow.close()

    while not stop.is_set():
        for host, machine in zip(hosts, machines):
            number[0] += 1
            threading.Thread(target=one, args=(host, machine, number[0]), daemon=True).start()
            time.sleep(0.015)


def case(folder, trouble):
    stack = standin.new_stack(folder, ZONES, MACHINES)
    for zone in ZONES:
        for _ in range(2):
            stack.add_backend(zone, SERVICE)
    stack.publish(SERVICE, [SERVICE])
    for machine in stack.machines:
        machine.start()
    stack.wait_ready()
    # Until two machines watch and the others have stopped.
    end = time.monotonic() + 12.0
    while time.monotonic() < end:
        time.sleep(0.5)
        watchers = stack.store.watchers(3.0)
        if len(watchers) == 2:
            break
    if len(watchers) != 2:
        raise standin.Unusable(f"watchers: {watchers}")
    idle = [one for one in stack.store.idle_connections() if one.machine not in watchers]
    names = {one.machine for one in idle}
    stack.record.line("state", watchers=sorted(watchers), idle=sorted(names))
    kept = [machine for machine in stack.machines if machine.name in names][:1]
    if not kept:
        raise standin.Unusable("no machine with an idle connection")
    lost = [machine for machine in stack.machines if machine not in kept]
    if trouble:
        stack.record.line("TROUBLE", what="idle connections to the store go silent")
        stack.store.silence(idle)
    time.sleep(standin.STABILITY_S + 0.5)
    stop = threading.Event()
    threading.Thread(target=clients, args=(stack, kept, stop), daemon=True).start()
    time.sleep(0.5)
    if trouble:
        stack.record.line("TROUBLE", what="all machines but one lose power")
        for machine in lost:
            machine.kill()
    time.sleep(0.1)
    leaving = next(backend for backend in stack.backends if backend.zone == kept[0].zone)
    drained = leaving.drain()
    if trouble:
        time.sleep(DARK_S - 0.1)
        for machine in lost:
            machine.start()
        time.sleep(2.5)
    else:
        time.sleep(DARK_S + 2.4)
    stop.set()
    time.sleep(1.0)
    late = [at for at, _ in leaving.openings if at > drained + standin.DRAIN_S]
    total = sum(len(backend.openings) for backend in stack.backends)
    last = max([at for at, _ in leaving.openings if at > drained], default=drained) - drained
    stack.record.line("RESULT", openings=total, late=len(late), last_after_ack_s=f"{last:.3f}")
    print(f"{total} flows opened; at the draining back end later than {standin.DRAIN_S} s after the "
          f"acknowledgement: {len(late)} (last {last:.2f} s after it)")
    if total < 100 or not all(machine.runs() for machine in kept):
        raise standin.Unusable("too few flows, or a machine ended")
    stack.broken = bool(late)
    return stack


standin.main(case)
