"""An entry of a service that isn't named, from another writer, at the address of a living back end."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import stack as standin

ZONES = ["mobile-bay", "delta-west", "piney-woods", "acadiana"]
MACHINES = ["mobile-bay", "mobile-bay", "delta-west", "piney-woods", "acadiana"]
SERVICE = "board"
FLOWS = 24


def long_flow(stack, host, machine, number, stop, flows):
    """Keeps one flow open for many requests, with pauses; a new flow follows one that failed."""
    count = 0
    while not stop.is_set():
        flow = host.flow(lambda: machine)
        flows.append(flow)
        if not flow.open():
            time.sleep(0.2)
            continue
        while not stop.is_set() and flow.state == "open":
            count += 1
            if flow.request(f"{number}-{count}") is None:
                break
            time.sleep(0.25)
        flow.close()


def case(folder, trouble):
    stack = standin.new_stack(folder, ZONES, MACHINES)
    for zone in ZONES:
        for _ in range(2):
            stack.add_backend(zone, SERVICE)
    stack.publish(SERVICE, [SERVICE])
    for machine in stack.machines:
        machine.start()
    stack.wait_ready()
    time.sleep(standin.STABILITY_S)
    stop, flows = threading.Event(), []
    host = stack.host()
    for number in range(FLOWS):
        machine = stack.machines[number % len(stack.machines)]
        threading.Thread(target=long_flow, args=(stack, host, machine, number, stop, flows),
                         daemon=True).start()
    time.sleep(4.0)
    living = max(stack.backends, key=lambda backend: len(backend.openings))
    if trouble:
        # All fields are there and of the right type, but the configuration names no such service.
        entry = living.entry(service="ledger-index", zone=living.zone, seq=1,
                             born=int(time.time() * 1000))
        stack.record.line("TROUBLE", what=f"another writer's entry at the address of {living.name}")
        stack.store.put("servers/i-7c0ffee1", entry)
    time.sleep(6.0)
    runs_after = [at for at, _ in living.runs if at > stack.record.now() - 1.0]
    stop.set()
    time.sleep(1.0)
    resets = [(at, state) for flow in flows for at, who, state in flow.resets
              if who == "system" and state == "open"]
    opened = len({flow for flow in flows if flow.body})
    stack.record.line("RESULT", answered_flows=opened, resets_of_open_flows=len(resets),
                      runs_in_last_second=len(runs_after))
    print(f"{opened} flows were answered; resets by the system on open flows of living back ends: "
          f"{len(resets)}; requests that {living.name} ran in the last second: {len(runs_after)}")
    if opened < FLOWS or not all(machine.runs() for machine in stack.machines):
        raise standin.Unusable("too few flows, or a machine ended")
    stack.broken = bool(resets)
    return stack


standin.main(case)
