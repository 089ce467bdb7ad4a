"""Idle flows on a back end that was cut off for a moment and has been reachable again for long."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import stack as standin

ZONES = ["mobile-bay", "delta-west", "piney-woods", "acadiana"]
MACHINES = ["mobile-bay", "mobile-bay", "delta-west", "piney-woods", "acadiana"]
SERVICE = "board"
STABILITY_S = 5.0
CUT_S = 3.0
FLOWS = 40


def case(folder, trouble):
    stack = standin.new_stack(folder, ZONES, MACHINES)
    stack.contracts = "base,drain,config,cost,recover,health,flows,platform"
    stack.bounds = {"bounds.drainMs": "5000", "bounds.configApplyMs": "5000",
                    "bounds.stabilityMs": "5000", "platform.historyS": "20", "heartbeatMs": "1200"}
    for zone in ZONES:
        for _ in range(2):
            stack.add_backend(zone, SERVICE)
    stack.publish(SERVICE, [SERVICE])
    for machine in stack.machines:
        machine.start()
    stack.wait_ready()
    time.sleep(STABILITY_S)
    host = stack.host()
    machine = stack.machines[0]
    flows = [host.flow(lambda: machine) for _ in range(FLOWS)]
    for number, flow in enumerate(flows):
        if not flow.open() or flow.request(f"first-{number}") is None:
            raise standin.Unusable("a flow did not open")
    by_backend = {}
    for flow in flows:
        by_backend.setdefault(flow.body.split(b"\r\n\r\n")[1].split(b" ")[0].decode(), []).append(flow)
    chosen = max(stack.backends, key=lambda backend: len(by_backend.get(backend.id, [])))
    busy, *idle = by_backend[chosen.id]
    if len(idle) < 2:
        raise standin.Unusable("too few flows on one back end")
    stop = threading.Event()

    def requests(flow, name):
        count = 0
        while not stop.is_set() and flow.state == "open":
            count += 1
            flow.request(f"{name}-{count}", 3.0)
            time.sleep(0.1)

    # Flows on other back ends stay busy; those on the chosen one pause, but for one.
    others = [flow for flow in flows if flow is not busy and flow not in idle]
    for number, flow in enumerate(others):
        threading.Thread(target=requests, args=(flow, f"other-{number}"), daemon=True).start()
    time.sleep(1.0)
    if trouble:
        stack.record.line("TROUBLE", what=f"{chosen.name} is cut off from all machines")
        chosen.cut()
    threading.Thread(target=requests, args=(busy, "busy"), daemon=True).start()
    time.sleep(CUT_S)
    if trouble:
        chosen.heal()
    healed = stack.record.line("healed", backend=chosen.name)
    time.sleep(STABILITY_S + 0.5)
    lost = 0
    for number, flow in enumerate(idle):
        if flow.request(f"again-{number}") is None:
            lost += 1
    stop.set()
    time.sleep(0.5)
    resets = [(at, who) for flow in flows for at, who, state in flow.resets
              if who == "system" and state == "open" and at > healed + STABILITY_S]
    stack.record.line("RESULT", idle_flows=len(idle), unanswered=lost, resets=len(resets))
    print(f"{len(idle)} idle flows on {chosen.name}; reset by the system later than {STABILITY_S} s after "
          f"it was reachable again: {len(resets)}; requests without an answer: {lost}")
    if not all(one.runs() for one in stack.machines):
        raise standin.Unusable("a machine ended")
    stack.broken = bool(resets)
    return stack


standin.main(case)
