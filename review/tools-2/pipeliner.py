"""A client process whose connections send many commands at once: each keeps `depth` commands under way and sends
one more for each answer. Prints, as one JSON line a connection, what was sent and answered and how it ended.

    pipeliner.py ADDRESS CONNECTIONS DEPTH SECONDS CLASS DEADLINE_MS PREFIX WRITES
"""

import json
import selectors
import socket
import sys
import time

sys.path.insert(0, __import__("os").path.dirname(__file__))
from standin import query, startup, statement  # noqa: E402

address, connections, depth, seconds, cls, deadline, prefix, writes = sys.argv[1:9]
host, port = address.rsplit(":", 1)


class Connection:
    def __init__(self, number):
        self.number, self.held = number, b""
        self.sent, self.answers, self.code, self.unsent, self.end = [], [], None, b"", None
        self.sock = socket.create_connection((host, int(port)), timeout=5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.sendall(startup())
        while b"Z\0\0\0\5I" not in self.held:
            self.held += self.sock.recv(4096)
        self.held = b""
        self.sock.setblocking(False)

    def id(self, index):
        return "%s-%d-%d" % (prefix, self.number, index)

    def put(self, count):
        for _ in range(count):
            name = self.id(len(self.sent))
            text = statement(name, cls, int(deadline), key=name, write=writes == "1")
            self.unsent += query(text)
            self.sent.append(time.time())
        self.flush()

    def flush(self):
        try:
            while self.unsent:
                self.unsent = self.unsent[self.sock.send(self.unsent):]
        except BlockingIOError:
            pass
        except OSError:
            self.unsent = b""

    def take(self):
        """Reads what has come; whether the connection goes on."""
        try:
            data = self.sock.recv(1 << 18)
        except BlockingIOError:
            return True
        except OSError as problem:
            self.end = (time.time(), repr(problem))
            return False
        if not data:
            self.end = (time.time(), "end of stream")
            return False
        self.held += data
        at, count = 0, 0
        while len(self.held) - at >= 5:
            length = int.from_bytes(self.held[at + 1:at + 5], "big") + 1
            if len(self.held) - at < length:
                break
            tag = self.held[at:at + 1]
            if tag == b"E":
                fields = self.held[at + 5:at + length].split(b"\0")
                self.code = next(field[1:].decode() for field in fields if field[:1] == b"C")
            elif tag == b"Z":
                self.answers.append((time.time(), self.code))
                self.code = None
                count += 1
            at += length
        self.held = self.held[at:]
        if self.sending:
            self.put(count)
        return True


selector = selectors.DefaultSelector()
opened = [Connection(number) for number in range(int(connections))]
for connection in opened:
    connection.sending = True
    selector.register(connection.sock, selectors.EVENT_READ, connection)
    connection.put(int(depth))
stop = time.time() + float(seconds)
left = len(opened)
while left and time.time() < stop + 6:
    for key, _ in selector.select(0.2):
        if not key.data.take():
            selector.unregister(key.fileobj)
            left -= 1
    for connection in opened:
        connection.sending = time.time() < stop
        if connection.unsent:
            connection.flush()
        if not connection.sending and connection.end is None and len(connection.answers) == len(connection.sent):
            selector.unregister(connection.sock)
            connection.end = (time.time(), "all is answered")
            connection.sock.close()
            left -= 1
for connection in opened:
    print(json.dumps({"number": connection.number, "sent": connection.sent, "answers": connection.answers,
                      "end": connection.end}))
