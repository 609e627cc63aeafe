"""A member is listed as draining, then as gone, and still runs: nothing new may go to it."""

import os
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "tools-2"))
from standin import *  # noqa: E402,F403

GRACE_S, SLACK_S = 0.5, 0.05
DRAIN_S = 4.0


def terms():
    changed = settings()
    changed["rules"]["onlyDrainingBinds"] = True
    changed["rules"]["drainGraceMs"] = GRACE_S * 1000
    return changed


def body(case):
    members = [Member("s-1", case.record)]
    members += [Member("s-%d" % number, case.record, role="reader") for number in range(2, 7)]
    discovery = Discovery(members, case.record)
    proxy = case.proxy("n0", discovery, terms()).wait_ready()
    stopping = threading.Event()

    def reads(number):
        client, index = Client(proxy.listen), 0
        while not stopping.is_set():
            try:
                answer = client.ask(statement("r%d-%d" % (number, index), "medlist", 1500, key="k%d" % index))
                case.record("answer r%d-%d" % (number, index), answer)
            except (OSError, EOFError):
                client = Client(proxy.listen)
            index += 1
            stopping.wait(0.02)

    for number in range(4):
        threading.Thread(target=reads, args=(number,), daemon=True).start()
    time.sleep(2)
    drained = members[5]
    told_at = None
    if TROUBLE:
        drained.phase = "terminating"
        told_at = time.time()
        discovery.change([drained])
        time.sleep(DRAIN_S)
        drained.phase = "terminated"
        gone_at = time.time()
        discovery.change([drained])
    else:
        time.sleep(DRAIN_S)
    time.sleep(5)
    stopping.set()
    time.sleep(0.3)
    served = sum(len(member.runs) for member in members)
    if served < 200 or not drained.runs:
        case.cannot("too little traffic: %d, %d of it at s-6" % (served, len(drained.runs)))
    late = [] if told_at is None else [at for at, _ in drained.runs if at > told_at + GRACE_S + SLACK_S]
    if late:
        while_draining = sum(1 for at in late if at < gone_at)
        case.broken("%d requests were sent to s-6 over %.1f s after it was listed as draining, %d of them before it was "
                    "listed as gone and %d after; the last one %.2f s after it was told to drain"
                    % (len(late), GRACE_S, while_draining, len(late) - while_draining, late[-1] - told_at))
    case.held("nothing was sent to a draining member after the grace; %d requests in all" % served)


main(FOLDER, body)
