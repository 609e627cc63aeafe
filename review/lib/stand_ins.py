"""Stand-ins for the cases in this folder: members, discovery's agent, clients and a relay for links between sites.

They follow the users' pages (PROTOCOL, DEPLOY). Everything listens on loopback addresses and ports that the system
chooses. All times in the record are milliseconds of Unix time.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "aldermill")


def now_ms():
    return time.time() * 1000.0


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, one JSON object a line."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = now_ms()

    def note(self, event, **fields):
        entry = {"ms": round(now_ms() - self.started, 1), "event": event, **fields}
        self.file.write(json.dumps(entry) + "\n")
        self.file.flush()

    def say(self, text):
        print(text, flush=True)
        self.note("verdict", text=text)


# ---- PostgreSQL messages


def message(tag, body):
    return tag + struct.pack("!I", len(body) + 4) + body


def text(value):
    return value.encode() + b"\0"


def parameter(name, value):
    return message(b"S", text(name) + text(value))


READY = message(b"Z", b"I")
EMPTY = message(b"I", b"")


def row(column, value, tag):
    description = struct.pack("!H", 1) + text(column) + struct.pack("!IHIhiH", 0, 0, 17, -1, -1, 1)
    data = struct.pack("!HI", 1, len(value)) + value
    return message(b"T", description) + message(b"D", data) + message(b"C", text(tag))


def error(code, words):
    fields = b"S" + text("ERROR") + b"V" + text("ERROR") + b"C" + text(code) + b"M" + text(words)
    return message(b"E", fields + b"\0")


async def read_message(reader):
    tag = await reader.readexactly(1)
    (length,) = struct.unpack("!I", await reader.readexactly(4))
    return tag, await reader.readexactly(length - 4)


async def read_startup(reader, writer):
    while True:
        (length,) = struct.unpack("!I", await reader.readexactly(4))
        body = await reader.readexactly(length - 4)
        (code,) = struct.unpack("!I", body[:4])
        if code != 80877103:
            return
        writer.write(b"N")


def abort(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


# ---- Members


class Group:
    """One primary and its replicas: the log that they share, and for how long repeats of a marked write are dropped."""

    def __init__(self, record, number, window_ms):
        self.record = record
        self.number = number
        self.window_ms = window_ms
        self.log = []
        # By mark: when the write was applied. A repeat is dropped for `window_ms` from then on.
        self.marks = {}
        self.applied = {}
        self.primary = None
        self.members = []
        # All attempts that reached a member, and when those began that ran.
        self.reached = []
        self.ran = []
        # Requests of which two attempts were outstanding at once.
        self.at_once = []

    def compare(self, launch, earlier):
        """Notes a second copy: an attempt while an earlier one of its request is outstanding on an open connection.

        Called 10 ms after the later one arrived, so that a close that is under way then is not missed.
        """
        for other in earlier:
            if other["ended"] is None and launch["ended"] is None and not other["reader"].at_eof():
                self.at_once.append(launch["id"])
                self.record.note("two attempts at once", id=launch["id"], members=[other["member"], launch["member"]],
                                 after_ms=round(launch["at"] - other["at"], 1))

    def apply(self, member, mark, key, value):
        """Returns when it was committed."""
        now = now_ms()
        committed = self.marks.get(mark)
        if committed is not None and now <= committed + self.window_ms:
            self.record.note("repeat dropped", id=mark, member=member.name)
            return committed
        self.marks[mark] = now
        self.log.append((now, key, value))
        times = self.applied.setdefault(mark, [])
        times.append(now)
        self.record.note("applied", id=mark, member=member.name, value=value, times=len(times))
        return now


class Member:
    """A database. A replica's position follows the present by `ship_ms`; while `slowed`, it advances at `pace` only."""

    def __init__(self, group, name, work_ms, ship_ms=10.0, zone="a"):
        self.group, self.name, self.zone = group, name, zone
        self.work_ms, self.ship_ms = work_ms, ship_ms
        self.slow_since, self.pace, self.caught_up_from = None, 1.0, None
        self.port = None
        self.held = 0
        self.drains = False
        group.members.append(self)

    async def start(self):
        self.server = await asyncio.start_server(self.welcome, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def is_primary(self):
        return self.group.primary is self

    def position(self):
        if self.is_primary():
            return now_ms()
        present = now_ms() - self.ship_ms
        if self.slow_since is None:
            return present
        return self.slow_since - self.ship_ms + (now_ms() - self.slow_since) * self.pace

    def slow_down(self, pace):
        self.slow_since, self.pace = now_ms(), pace

    def entry(self):
        return {"id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": self.zone, "flavor": "m",
                "cell": self.group.number, "phase": "in_service", "size": 1.0, "up_since_ms": 0}

    def state(self, commit=None):
        role = "writer" if self.is_primary() else "reader"
        position = int(self.position()) if commit is None else int(commit) + 1
        return parameter("server_role", role) + parameter("commit_clock", str(position))

    async def welcome(self, reader, writer):
        try:
            await read_startup(reader, writer)
            writer.write(message(b"R", struct.pack("!I", 0)) + parameter("server_version", "16.0") + READY)
            while True:
                tag, body = await read_message(reader)
                if tag != b"Q":
                    break
                statement = body.rstrip(b"\0").decode()
                writer.write(await self.answer(statement, reader))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, statement, reader):
        if statement.strip(" ;") == "":
            return EMPTY + READY
        if statement == "SELECT 1":
            return row("one", b"1", "SELECT 1") + self.state() + READY
        if statement == "SHOW usage":
            x0, x1 = self.position() / 1000.0, int(self.is_primary())
            report = f"x0={x0:.3f},x1={x1},queue=0,inflight={self.held}"
            return row("usage", report.encode(), "SHOW") + self.state() + READY
        found = re.match(r"\s*/\*(.*?)\*/\s*(\w+)", statement)
        if not found:
            return error("08P01", "not a statement of a client") + READY
        fields = dict(part.strip().split("=", 1) for part in found.group(1).split(","))
        quoted = re.findall(r"'([^']*)'", statement)
        arrived = now_ms()
        launch = {"id": fields["id"], "class": fields["c"], "member": self.name, "at": arrived, "ended": None,
                  "reader": reader}
        note = self.group.record.note
        note("attempt reached member", id=fields["id"], member=self.name, d=fields["d"])
        earlier = [other for other in self.group.reached if other["id"] == fields["id"]]
        self.group.reached.append(launch)
        asyncio.get_running_loop().call_later(0.01, self.group.compare, launch, earlier)
        self.held += 1
        try:
            out = await self.run(fields, found.group(2).upper(), quoted)
        finally:
            self.held -= 1
        launch["ended"] = now_ms()
        note("member answers", id=fields["id"], member=self.name, answer=out[0])
        return out[1]

    async def run(self, fields, verb, quoted):
        if self.drains:
            return "53300", error("53300", "draining") + self.state() + READY
        if verb == "SELECT":
            position = self.position()
            values = [value for at, key, value in self.group.log if key == quoted[0] and at <= position]
            value = values[-1] if values else "none"
            await asyncio.sleep(self.work_ms / 1000.0)
            return value, row("val", value.encode(), "SELECT 1") + self.state() + READY
        if not self.is_primary():
            return "25006", error("25006", "this is no primary") + self.state() + READY
        self.group.ran.append((now_ms(), fields["id"]))
        await asyncio.sleep(self.work_ms / 1000.0)
        key, value = quoted[0], quoted[1]
        committed = self.group.apply(self, fields["id"], key, value)
        return value, row("val", value.encode(), "INSERT 0 1") + self.state(committed) + READY


# ---- Discovery


class Discovery:
    """The agent on a driver's own machine."""

    def __init__(self, members):
        self.members = members
        self.revision = 1

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def list(self, entries=None, complete=True):
        entries = [member.entry() for member in self.members] if entries is None else entries
        return {"revision": self.revision, "complete": complete, "members": entries}

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split()[1]
                if "stream=1" not in path:
                    body = json.dumps(self.list()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                 % len(body) + body)
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Transfer-Encoding: chunked\r\n\r\n")
                found = re.search(r"index=(\d+)", path)
                known = found is not None and int(found.group(1)) == self.revision
                first = self.list([], False) if known else self.list()
                await self.chunk(writer, json.dumps(first) + "\n")
                while True:
                    await asyncio.sleep(2.0)
                    await self.chunk(writer, "\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def chunk(writer, line):
        writer.write(b"%x\r\n%s\r\n" % (len(line), line.encode()))
        await writer.drain()


# ---- Links between sites


class Relay:
    """A line between two gateways. While it is down, what stands is reset and new connections are reset."""

    def __init__(self, record, name, target):
        self.record, self.name, self.target = record, name, target
        self.is_down = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def drop(self):
        self.record.note("link drops", link=self.name)
        self.is_down = True
        for writer in list(self.writers):
            abort(writer)

    def restore(self):
        self.record.note("link is back", link=self.name)
        self.is_down = False

    async def accept(self, reader, writer):
        if self.is_down:
            return abort(writer)
        try:
            other_reader, other = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            return abort(writer)
        if self.is_down:
            abort(other)
            return abort(writer)
        self.writers |= {writer, other}
        await asyncio.gather(self.pump(reader, other), self.pump(other_reader, writer))
        self.writers -= {writer, other}

    @staticmethod
    async def pump(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            if not writer.is_closing():
                writer.close()


# ---- Proxies


class Proxies:
    """Processes of the program, started by the command of the deploy file."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="aldermill-review-")
        self.running = []

    @staticmethod
    def command():
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
            return re.search(r'^run = "(.*)"$', deploy.read(), re.M).group(1)

    def start(self, name, listen, discovery, settings, gateway=None, extra=None):
        # The deploy file's command names its program and the operator's file by their paths from the root: this
        # installation has a root of its own, with the program as built and an operator's file that adds the gateway.
        root = os.path.join(self.folder, name)
        os.makedirs(os.path.join(root, "deploy"))
        os.makedirs(os.path.join(root, "tmp"))
        os.symlink(os.path.join(ROOT, "target"), os.path.join(root, "target"))
        with open(os.path.join(ROOT, "deploy", "operator.json"), encoding="utf-8") as default:
            operator = json.load(default)
        operator.update(extra or {})
        if gateway:
            operator["gateway"] = gateway
        with open(os.path.join(root, "deploy", "operator.json"), "w", encoding="utf-8") as file:
            json.dump(operator, file)
        config = {"name": name, "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery.port}",
                  "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": discovery.list(), "settings": settings}
        with open(os.path.join(root, "config.json"), "w", encoding="utf-8") as file:
            json.dump(config, file)
        environment = dict(os.environ, GW_NAME=name, GW_LISTEN=config["listen"], GW_DISCOVERY=config["discovery"],
                           GW_CONFIG=os.path.join(root, "config.json"), TMPDIR=os.path.join(root, "tmp"))
        log = open(os.path.join(root, "log"), "w", encoding="utf-8")
        process = subprocess.Popen(["/bin/sh", "-c", self.command()], cwd=root, env=environment,
                                   stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.running.append((name, process, log))
        self.record.note("proxy started", name=name, listen=config["listen"])
        return process

    def end(self):
        for name, process, log in self.running:
            ended = process.poll()
            if ended is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
            else:
                self.record.note("proxy had ended by itself", name=name, code=ended)
            log.close()
            with open(log.name, encoding="utf-8", errors="replace") as lines:
                for line in list(lines)[:200]:
                    self.record.note("log", name=name, line=line.strip())
        shutil.rmtree(self.folder, ignore_errors=True)


# ---- Clients


class Client:
    """A client's connection."""

    def __init__(self, record, port):
        self.record, self.port = record, port

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        body = struct.pack("!I", 196608) + b"user\0client\0database\0core\0\0"
        self.writer.write(struct.pack("!I", len(body) + 4) + body)
        while (await read_message(self.reader))[0] != b"Z":
            pass

    async def query(self, statement):
        """The answer: ('served', value), ('refused', code), ('failed', code) or ('empty', '')."""
        self.writer.write(message(b"Q", statement.encode() + b"\0"))
        answer = ("failed", "no answer")
        while True:
            tag, body = await read_message(self.reader)
            if tag == b"D":
                answer = ("served", body[6:].decode())
            elif tag == b"I":
                answer = ("empty", "")
            elif tag == b"E":
                fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
                code = fields.get(b"C", "")
                answer = ("refused" if code in ("53300", "57P03") else "failed", code)
            elif tag == b"Z":
                return answer

    async def request(self, number, kind, wait_ms, cluster, rest, more=""):
        self.record.note("client sends", id=number, offering=kind, d=wait_ms, statement=rest)
        statement = f"/* id={number},c={kind},d={wait_ms},cluster={cluster}{more} */ {rest}"
        answer = await self.query(statement)
        self.record.note("client has answer", id=number, answer=answer[0], value=answer[1])
        return answer

    def close(self):
        self.writer.close()


async def ready(record, port, seconds=20.0):
    """Waits until the proxy at `port` answers an empty query, as the front does."""
    until = now_ms() + seconds * 1000.0
    while now_ms() < until:
        client = Client(record, port)
        try:
            await asyncio.wait_for(client.connect(), 2.0)
            answer = await asyncio.wait_for(client.query(""), 2.0)
            client.close()
            if answer[0] == "empty":
                return True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.05)
    return False


def new_id():
    return os.urandom(8).hex()


def run_case(folder, play, seconds=100.0):
    """Plays a case, ends all processes that it started, and exits with its verdict."""
    record = Record(folder)
    proxies = Proxies(record)
    loop = asyncio.new_event_loop()
    code = 2
    try:
        code = loop.run_until_complete(asyncio.wait_for(play(record, proxies), seconds))
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError) as problem:
        record.say(f"the case could not run: {problem!r}")
    finally:
        proxies.end()
    record.note("exit", code=code)
    os._exit(code)
