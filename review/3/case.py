"""Requests that are forwarded to a site with two gateways, while the link to one of them drops."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from stand_ins import Client, Discovery, Group, Member, Relay, free_port, new_id, ready, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Figures of the brief of yhteiskirja-prod: post-entry takes 46 to 80 ms of work and is given up after 3 s.
WORK_MS = 80
WRITES = 8
ROUNDS = 5

SETTINGS = {
    "azs": ["pasila", "kilo"], "balancers": 3, "registryMode": "automatic", "weights": "off",
    "categories": [
        {"name": "ledger-view", "effect": "pure", "dedupScope": "all", "windowMs": 5000, "targetMs": 300,
         "deadlineMs": 750, "worth": 1, "lateWorth": 0},
        {"name": "own-entries", "effect": "pure", "dedupScope": "all", "windowMs": 5000, "targetMs": 120,
         "deadlineMs": 500, "worth": 1, "lateWorth": 0},
        {"name": "post-entry", "effect": "token", "dedupScope": "cell", "windowMs": 3000, "targetMs": 600,
         "deadlineMs": 3000, "worth": 3, "lateWorth": 0.5}],
    "clients": {"marksRetry": False}, "deductions": {"crossZone": 0.04},
    "familyInfo": {"behind": "off", "maxAgeMs": [200, 0, 0], "needsByClass": ["recent", "own_writes", "update"],
                   "positionZeroMs": 0, "roleListed": "off", "tokens": "router"},
    "limits": {"maxAttempts": 10, "maxRetryAfterMs": 500, "retryAfter": True, "probes": True, "connIdleMs": 30000,
               "connectTimeoutMs": 250, "maxOpen": 1000},
    "rules": {"coldFrom": 0.26, "warmWithinMs": 16000, "overloadFactor": 2.5, "fallMs": 3000, "drainGraceMs": 2000}}


async def play(record, proxies):
    group = Group(record, 2, window_ms=3000)
    nodes = [Member(group, f"s-{number}", work_ms=WORK_MS, zone="kilo") for number in range(4)]
    away = [Member(group, f"s-{number}", work_ms=WORK_MS, zone="pasila") for number in range(4, 6)]
    group.primary = nodes[0]
    for node in nodes + away:
        await node.start()
    lists = [Discovery(away), Discovery(nodes)]
    for agent in lists:
        await agent.start()

    listens = {name: free_port() for name in ("n1", "n2", "n3")}
    links = {name: free_port() for name in ("n2", "n3")}
    lines = {name: Relay(record, f"n1 to {name}", port) for name, port in links.items()}
    for line in lines.values():
        await line.start()
    networks = ["127.0.0.0/8"]
    for name in ("n2", "n3"):
        gateway = {"site": "kilo", "listen": f"127.0.0.1:{links[name]}",
                   "peers": [{"site": "pasila", "networks": networks}]}
        proxies.start(name, listens[name], lists[1], dict(SETTINGS, myZone="kilo"), gateway)
    gateway = {"site": "pasila", "peers": [{"site": "kilo", "networks": networks,
                                            "addresses": [f"127.0.0.1:{lines[name].port}" for name in ("n2", "n3")]}]}
    proxies.start("n1", listens["n1"], lists[0], dict(SETTINGS, myZone="pasila"), gateway)
    for name, port in listens.items():
        if not await ready(record, port):
            record.say(f"{name} is not ready: the case could not run")
            return 2

    async def post(number):
        client = Client(record, listens["n1"])
        await client.connect()
        identity = new_id()
        statement = f"INSERT INTO state (uid, val) VALUES ('entry-{number}', 'v-{number}') RETURNING val"
        try:
            answer = await client.request(identity, "post-entry", 3000, 2, statement)
        except (OSError, asyncio.IncompleteReadError):
            answer = ("failed", "connection closed")
        client.close()
        return identity, answer[0]

    served = 0
    for number in range(20):
        served += (await post(f"warm-{number}"))[1] == "served"
    if served < 5:
        record.say("hardly any write is served before any trouble: the case could not run")
        return 2

    answers = []
    for number in range(ROUNDS):
        writes = [asyncio.create_task(post(f"{number}-{write}")) for write in range(WRITES)]
        await asyncio.sleep(0.03)
        if TROUBLE:
            lines["n2"].drop()
        answers += await asyncio.gather(*writes)
        await asyncio.sleep(0.5)
        if TROUBLE:
            lines["n2"].restore()
        await asyncio.sleep(2.0)

    twice = {identity for identity, _ in answers if identity in group.at_once}
    reached = {launch["id"] for launch in group.reached} & {identity for identity, _ in answers}
    record.note("writes", answers=answers, at_once=sorted(twice))
    if not reached:
        record.say("no write reached its primary: the case could not run")
        return 2
    if twice:
        record.say(f"of {len(twice)} of {len(reached)} writes two attempts were outstanding at once")
        return 1
    record.say(f"{len(reached)} writes had one attempt at a time")
    return 0


run_case(HERE, play)
