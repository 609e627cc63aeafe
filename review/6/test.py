"""Planned restarts while clients send many commands at once: what ran has to be answered."""

import math
import os
import random
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "tools-2"))
from standin import *  # noqa: E402,F403

CONNECTIONS, DEPTH = 12, 60
# Work is lognormal with a mean of 40 ms and a coefficient of variation of 1.5.
MEAN_S, SIGMA = 0.04, math.sqrt(math.log(1 + 1.5 ** 2))
# The longest deadline (5 s) is taken as 3 s, and 0.7 s follow.
KILL_AFTER = 3.7
SLACK = 0.05
ROUNDS = 3
TOOL = os.path.join(FOLDER, "..", "tools-2", "pipeliner.py")


def work(member, text, fields, sock):
    return sound(member, text, fields, sock, random.lognormvariate(math.log(MEAN_S) - SIGMA * SIGMA / 2, SIGMA))


def stop(case, proxy):
    """Tells the proxy to end, and kills it at the earliest time that the pages allow. When each was, or None."""
    proxy.signal(signal.SIGTERM)
    stopped_at = time.time()
    while time.time() < stopped_at + KILL_AFTER + SLACK and proxy.process.poll() is None:
        time.sleep(0.005)
    if proxy.process.poll() is None:
        proxy.signal(signal.SIGKILL)
        proxy.process.wait()
        return stopped_at, time.time()
    case.record("n0 has ended %.2f s after SIGTERM" % (time.time() - stopped_at))
    return stopped_at, None


def judge(case, members, outputs, stopped_at, killed_at):
    """What ran and got no answer, what SIGKILL found unanswered, and how much was sent."""
    ran = {name: at for member in members for at, name in member.runs}
    lost, unanswered, sent, writes = 0, 0, 0, 0
    since = stopped_at or case.record.start
    for prefix, output in outputs:
        for line in output.splitlines():
            seen = json.loads(line)
            sent += len(seen["sent"])
            end_at, how = seen["end"] or (time.time(), "stayed open")
            case.record("connection", prefix, seen["number"], "sent", len(seen["sent"]), "answered",
                        len(seen["answers"]), "ended", how)
            # Answers come in the order of the commands: what is not answered are the last ones.
            for index in range(len(seen["answers"]), len(seen["sent"])):
                name, sent_at = "%s-%d-%d" % (prefix, seen["number"], index), seen["sent"][index]
                if killed_at is not None and end_at >= killed_at - SLACK:
                    unanswered += since + 0.7 + SLACK < sent_at < killed_at - SLACK
                elif name in ran:
                    lost += 1
                    writes += prefix.startswith("write")
                    case.record("no answer", name, "sent %.3f ran %.3f connection ended %.3f s after SIGTERM"
                                % (sent_at - since, ran[name] - since, end_at - since))
    return lost, writes, unanswered, sent


def body(case):
    members = [Member("s-1", case.record, work=work)]
    members += [Member("s-%d" % number, case.record, role="reader", work=work) for number in (2, 3)]
    discovery = Discovery(members, case.record)
    proxy = case.proxy("n0", discovery, settings()).wait_ready()
    total = 0
    for turn in range(ROUNDS if TROUBLE else 1):
        if turn:
            proxy.start()
            proxy.wait_ready()
        clients = []
        for kind, cls, deadline, writes in (("read", "medlist", 1500, 0), ("write", "renew", 5000, 1)):
            prefix = "%s%d" % (kind, turn)
            command = [sys.executable, "-B", TOOL, proxy.listen, str(CONNECTIONS), str(DEPTH), "7", cls, str(deadline),
                       prefix, str(writes)]
            clients.append((prefix, case.child(command)))
        time.sleep(2)
        stopped_at, killed_at = stop(case, proxy) if TROUBLE else (None, None)
        outputs = [(prefix, process.communicate()[0]) for prefix, process in clients]
        lost, writes, unanswered, sent = judge(case, members, outputs, stopped_at, killed_at)
        total += sent
        case.record("round", turn, "sent", sent, "lost", lost, "unanswered at SIGKILL", unanswered)
        if lost or unanswered:
            case.broken("%d commands, %d of them renew, ran at a member and the driver ended their connection with no answer; "
                        "%d that came over 0.7 s after SIGTERM were unanswered at SIGKILL; round %d, %d sent"
                        % (lost, writes, unanswered, turn + 1, sent))
    if total < 1000:
        case.cannot("too little was sent: %d" % total)
    case.held("all of %d commands that ran were answered" % total)


main(FOLDER, body)
