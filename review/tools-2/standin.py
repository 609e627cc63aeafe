"""Stand-ins for members, discovery and clients, and control of the program's processes.

Written from the users' pages. A member is a PostgreSQL server as far as the pages describe one, discovery is one
agent that streams the list, and a client sends simple queries. All addresses are loopback ones on free ports.
"""

import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def wall_ms():
    return int(time.time() * 1000)


class Record:
    """record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.start = time.time()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, *words):
        line = "%8.3f %s" % (time.time() - self.start, " ".join(str(word) for word in words))
        with self.lock:
            if not self.file.closed:
                self.file.write(line + "\n")
                self.file.flush()


# ---- PostgreSQL's messages

def message(tag, body):
    return tag + struct.pack(">I", len(body) + 4) + body


def query(text):
    return message(b"Q", text.encode() + b"\0")


READY = message(b"Z", b"I")


def row(value):
    description = message(b"T", struct.pack(">H", 1) + b"val\0" + struct.pack(">IHIhih", 0, 0, 17, -1, -1, 1))
    data = message(b"D", struct.pack(">Hi", 1, len(value)) + value)
    return description + data + message(b"C", b"SELECT 1\0")


def error(code, text, fatal=False):
    severity = b"FATAL" if fatal else b"ERROR"
    return message(b"E", b"S" + severity + b"\0C" + code.encode() + b"\0M" + text.encode() + b"\0\0")


def status(name, value):
    return message(b"S", name.encode() + b"\0" + str(value).encode() + b"\0")


def startup():
    body = struct.pack(">I", 196608) + b"user\0client\0database\0core\0\0"
    return struct.pack(">I", len(body) + 4) + body


class Reader:
    """Whole messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.held = b""

    def bytes(self, count):
        while len(self.held) < count:
            more = self.sock.recv(65536)
            if not more:
                raise EOFError
            self.held += more
        out, self.held = self.held[:count], self.held[count:]
        return out

    def message(self):
        head = self.bytes(5)
        return head[:1], self.bytes(struct.unpack(">I", head[1:])[0] - 4)


def comment_of(text):
    inside = text[text.index("/*") + 2:text.index("*/")]
    return dict(part.strip().split("=", 1) for part in inside.split(","))


# ---- members

class Member:
    """A member of a group. `work` is called with the member and each statement of a request, its fields and the
    socket, when the statement's last byte has arrived; it returns the bytes of the answer, or None to close."""

    def __init__(self, name, record, role="writer", group=2, zone="here", work=None, address="127.0.0.1"):
        self.name, self.record, self.role, self.group, self.zone = name, record, role, group, zone
        self.work = work or sound
        self.up_since_ms = 0
        self.phase = "in_service"
        self.runs = []
        self.lag_ms = 0
        self.dead = False
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((address, 0))
        self.listener.listen(256)
        self.address = "%s:%d" % self.listener.getsockname()
        self.sockets = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sockets.append(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def die(self):
        """The process dies: its connections are reset, new ones are refused, and what it worked on is gone."""
        self.record("dies", self.name)
        self.dead = True
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.sockets:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            except OSError:
                pass

    def note(self, position=None):
        position = wall_ms() - self.lag_ms if position is None else position
        return status("server_role", self.role) + status("commit_clock", position)

    def report(self):
        position = (wall_ms() - self.lag_ms) / 1000.0
        return "x0=%.3f,x1=%d,inflight=0" % (position, self.role == "writer")

    def serve(self, sock):
        reader = Reader(sock)
        try:
            length = struct.unpack(">I", reader.bytes(4))[0]
            reader.bytes(length - 4)
            sock.sendall(message(b"R", struct.pack(">I", 0)) + READY)
            while True:
                tag, body = reader.message()
                if tag != b"Q" or self.dead:
                    return
                text = body[:-1].decode()
                if text.strip(" ;") == "":
                    sock.sendall(message(b"I", b"") + READY)
                elif text == "SHOW usage":
                    sock.sendall(row(self.report().encode()) + self.note() + READY)
                elif text == "SELECT 1":
                    sock.sendall(row(b"1") + READY)
                else:
                    answer = self.work(self, text, comment_of(text), sock)
                    if answer is None:
                        return
                    sock.sendall(answer)
        except (OSError, EOFError):
            pass
        finally:
            sock.close()

    def entry(self):
        return {"id": self.name, "host_port": self.address, "locality": self.zone, "flavor": "m", "cell": self.group,
                "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms}


def run(member, text, fields):
    """Notes that the statement ran; the value names the request that it was made for."""
    member.runs.append((time.time(), fields["id"]))
    member.record("run", member.name, fields["id"], fields["c"])
    return ("value of " + fields["id"]).encode()


def sound(member, text, fields, sock, work_s=0.005):
    if "INSERT" in text and member.role != "writer":
        return error("25006", "not the primary") + member.note() + READY
    time.sleep(work_s)
    value = run(member, text, fields)
    return row(value) + member.note() + READY


# ---- discovery

class Discovery:
    """One agent. Watches get the whole list, then changes, and an empty line every 2 s."""

    def __init__(self, members, record, revision=1):
        self.members, self.record, self.revision = list(members), record, revision
        self.lock = threading.Condition()
        self.changes = []
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": [m.entry() for m in self.members]}

    def change(self, members):
        with self.lock:
            self.revision += 1
            entries = [m.entry() for m in members]
            self.changes.append({"revision": self.revision, "complete": False, "members": entries})
            self.record("list", json.dumps(self.changes[-1]))
            self.lock.notify_all()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        try:
            request = b""
            while b"\r\n\r\n" not in request:
                more = sock.recv(4096)
                if not more:
                    return
                request += more
            head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            if b"stream=1" not in request:
                body = json.dumps(self.whole()).encode()
                sock.sendall((head + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body)
                return
            sock.sendall((head + "Transfer-Encoding: chunked\r\n\r\n").encode())
            with self.lock:
                seen = len(self.changes)
                first = self.whole()
            chunk(sock, json.dumps(first).encode() + b"\n")
            while True:
                with self.lock:
                    if len(self.changes) == seen:
                        self.lock.wait(2.0)
                    new = self.changes[seen:]
                    seen = len(self.changes)
                for line in new:
                    chunk(sock, json.dumps(line).encode() + b"\n")
                if not new:
                    chunk(sock, b"\n")
        except OSError:
            pass
        finally:
            sock.close()


def chunk(sock, data):
    sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))


# ---- clients

class Answer:
    def __init__(self):
        self.value, self.code, self.detail, self.at = None, None, None, None

    @property
    def kind(self):
        if self.code in ("53300", "57P03"):
            return "refused"
        return "served" if self.code is None else "failed"

    def __str__(self):
        return self.kind if self.code is None else "%s %s %s" % (self.kind, self.code, self.detail or "")


class Client:
    def __init__(self, address, timeout=20):
        host, port = address.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)
        self.sock.sendall(startup())
        while self.reader.message()[0] != b"Z":
            pass

    def send(self, text):
        self.sock.sendall(query(text))

    def answer(self):
        """The next answer; EOFError or OSError where the connection ends before it."""
        answer = Answer()
        while True:
            tag, body = self.reader.message()
            if tag == b"D":
                answer.value = body[6:].decode()
            elif tag == b"E":
                fields = {f[:1]: f[1:].decode() for f in body.split(b"\0") if f}
                answer.code, answer.detail = fields[b"C"], fields.get(b"D")
                if fields.get(b"S") == "FATAL":
                    answer.at = time.time()
                    return answer
            elif tag == b"Z":
                answer.at = time.time()
                return answer

    def ask(self, text):
        self.send(text)
        return self.answer()

    def close(self):
        self.sock.close()


def statement(id, cls, d, key="k1", group=2, write=False, extra=""):
    head = "/* id=%s,c=%s,d=%d,cluster=%d%s */ " % (id, cls, d, group, extra)
    if write:
        return head + "INSERT INTO state (uid, val) VALUES ('%s', '\\x9f03') RETURNING val" % key
    return head + "SELECT val FROM state WHERE uid = '%s'" % key


# ---- the program

def settings(**changes):
    """The settings of a small deployment; `changes` replace whole keys."""
    def category(name, effect, target, deadline, worth, **more):
        return {"name": name, "effect": effect, "dedupScope": "all", "windowMs": 5000.0, "targetMs": target,
                "deadlineMs": deadline, "worth": worth, "lateWorth": 0.2, "stream": False, **more}
    base = {
        "azs": ["here"], "myZone": "here", "balancers": 1, "rank": 0, "registryMode": "automatic", "weights": "off",
        "categories": [category("status", "pure", 500.0, 2000.0, 1.0), category("medlist", "pure", 600.0, 1500.0, 3.0),
                       category("renew", "side_effect", 750.0, 5000.0, 6.0)],
        "clients": {"marksRetry": True},
        "deductions": {"crossZone": 0.0, "probe": 0.0076, "waste": 0.045, "lateFail": 0.062},
        "familyInfo": {"behind": "off", "maxAgeMs": [500.0, 0.0, 0.0], "needsByClass": ["recent", "loose", "update"],
                       "positionZeroMs": 0.0, "roleListed": "off", "tellsPosition": True, "tokens": "client",
                       "waitsForCopy": True},
        "limits": {"cancel": True, "connIdleMs": 15000.0, "connectTimeoutMs": 250.0, "maxAttempts": 10,
                   "maxOpen": 20000, "maxRetryAfterMs": 1000.0, "mayDuplicate": False, "probes": True,
                   "retryAfter": True, "streamsPerConn": 1},
        "report": {"names": ["x0", "x1", "inflight"], "via": "on_probe"},
        "rules": {"coldFrom": 0.19, "warmWithinMs": 16000.0, "drainGraceMs": 500.0, "fallMs": 1500.0,
                  "graceToAnswerMs": 20.0, "overloadFactor": 2.5, "askWithinMs": 10000.0}}
    base.update(changes)
    return base


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def run_command():
    for line in open(os.path.join(ROOT, "deploy", "balancer.toml")):
        if line.startswith("run = "):
            return json.loads(line[len("run = "):].strip())
    raise SystemExit("no run command in the deploy file")


class Proxy:
    """One process of the program, started by the command of the deploy file."""

    def __init__(self, case, name, discovery, terms, known=None, operator=None, memory_mb=192, sockets=1024):
        self.case, self.name = case, name
        self.listen = "127.0.0.1:%d" % free_port()
        self.config = os.path.join(case.temporary, name + ".json")
        self.operator = operator
        self.discovery = discovery.address
        self.write_config(terms, known or discovery.whole(), memory_mb, sockets)
        self.log = open(os.path.join(case.temporary, name + ".log"), "ab")
        self.process = None
        self.start()

    def write_config(self, terms, known, memory_mb, sockets):
        json.dump({"name": self.name, "listen": self.listen, "discovery": self.discovery, "seed": "8c1f30d27a5be964",
                   "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                   "known": known, "settings": terms}, open(self.config, "w"))

    def start(self):
        command = run_command()
        if self.operator is not None:
            path = os.path.join(self.case.temporary, self.name + "-operator.json")
            json.dump(self.operator, open(path, "w"))
            command = command.replace("deploy/operator.json", path)
        environment = {"PATH": os.environ.get("PATH", ""), "GW_CONFIG": self.config, "GW_NAME": self.name,
                       "GW_LISTEN": self.listen, "GW_DISCOVERY": self.discovery, "TMPDIR": self.case.temporary}
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.case.record("start", self.name, "pid", self.process.pid)

    def wait_ready(self, seconds=10):
        end = time.time() + seconds
        while time.time() < end:
            if self.process.poll() is not None:
                self.case.cannot("%s ended at its start" % self.name)
            try:
                client = Client(self.listen, timeout=2)
                client.sock.sendall(query(""))
                while client.reader.message()[0] != b"Z":
                    pass
                client.close()
                return self
            except (OSError, EOFError):
                time.sleep(0.05)
        self.case.cannot("%s is not ready" % self.name)

    def signal(self, number):
        self.case.record("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()


class Case:
    """A run of one case: its record, its temporary folder, its processes and its verdict."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="case-")
        self.proxies, self.children = [], []
        self.record("TROUBLE=%d" % TROUBLE)
        if not os.path.exists(os.path.join(ROOT, "target", "release", "aldermill")):
            self.cannot("the program is not built")

    def child(self, command):
        """Starts a stand-in as a process of its own; it ends with the case at the latest."""
        self.children.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))
        return self.children[-1]

    def proxy(self, *arguments, **more):
        proxy = Proxy(self, *arguments, **more)
        self.proxies.append(proxy)
        return proxy

    def finish(self, code, text):
        self.record("verdict", code, text)
        print(text)
        for child in self.children:
            if child.poll() is None:
                child.kill()
            child.wait()
        for proxy in self.proxies:
            proxy.end()
        for name in os.listdir(self.temporary):
            if name.endswith(".log"):
                with open(os.path.join(self.temporary, name), errors="replace") as log:
                    lines = log.read().splitlines()
                for line in lines[-60:]:
                    self.record("log", name, line)
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record.file.close()
        sys.stdout.flush()
        os._exit(code)

    def broken(self, text):
        self.finish(1, "BROKEN: " + text)

    def held(self, text):
        self.finish(0, "HELD: " + text)

    def cannot(self, text):
        self.finish(2, "COULD NOT RUN: " + text)


def main(folder, body):
    """Runs a case; whatever goes wrong in the case itself is exit code 2."""
    case = Case(folder)
    watchdog = threading.Timer(115, lambda: case.cannot("over its time"))
    watchdog.daemon = True
    watchdog.start()
    try:
        body(case)
    except SystemExit:
        raise
    except BaseException as problem:  # noqa
        import traceback
        case.record(traceback.format_exc())
        case.cannot(repr(problem))
