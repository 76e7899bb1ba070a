#!/usr/bin/env python3
"""A back end that is a process of its own and ends its answers with their connections: they have no length and no
chunks. When it is killed, the kernel closes its connections in order, as it does for any process that ends.

Arguments: HOST PORT ID LISTENER ACCEPT_AFTER_S. LISTENER is the descriptor of a listening socket that outlives the
process, or -1: it opens one of its own. It writes a line for each step to standard output, and reads orders from
standard input:

  health answer|hold|reject|leave  what it does with health checks: answers (also those held before), holds them, rejects
                              them as it is full, without its id, or answers that it leaves
  finish                      sends the rest of all answers that are held

By its path, an answer is whole at once, held after its first half (/half) or before its end (/late), a stream
(/stream/), which continues after Last-Event-Id, or a failure (/failure).
"""
import http.server
import os
import socket
import socketserver
import sys
import threading
import time

ANSWER_BYTES = 4800  # more than one segment of TCP on most links
EVENTS = 4
SEAL = "seal-of-the-process"


def whole_answer(identity):
    return (identity.encode() + b"." * ANSWER_BYTES)[:ANSWER_BYTES - 4] + b"end\n"


def whole_stream(identity, after=0):
    return b"".join(b"id: %d\ndata: %s\n\n" % (number, identity.encode()) for number in range(after + 1, EVENTS + 1))


class Control:
    """What the orders have set."""

    def __init__(self):
        self.changed = threading.Condition()
        self.health = "answer"
        self.finished = 0  # orders to finish so far

    def read_orders(self):
        for line in sys.stdin:
            with self.changed:
                if line.startswith("health "):
                    self.health = line.split()[1]
                elif line.startswith("finish"):
                    self.finished += 1
                self.changed.notify_all()
        os._exit(0)  # the test has ended

    def await_health(self):
        """Returns what to do with a health check; waits while they are held."""
        with self.changed:
            self.changed.wait_for(lambda: self.health != "hold")
            return self.health

    def hold(self, identity):
        with self.changed:
            before = self.finished
            tell("held " + identity)
            self.changed.wait_for(lambda: self.finished > before)


CONTROL = Control()


def tell(text):
    os.write(1, (text + "\n").encode())


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def do_GET(self):
        if self.path == "/health":
            self.answer_health()
        else:
            self.run()

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.run()

    def answer_health(self):
        tell("health")
        health = CONTROL.await_health()
        self.send_response(200 if health == "answer" else 503)
        self.send_header("Content-Length", "0")
        if health == "reject":
            self.send_header("Shuntrun-Not-Executed", "1")
        else:
            self.send_header("Shuntrun-Instance-Id", sys.argv[3])
        if health == "leave":
            self.send_header("Server-Leaving", "1")
        self.end_headers()

    def run(self):
        identity = self.headers.get("Shuntrun-Request-Id", "")
        tell("runs " + identity)
        is_stream = self.path.startswith("/stream/")
        after = int(self.headers.get("Last-Event-Id") or 0)
        body = whole_stream(identity, after) if is_stream else whole_answer(identity)
        self.send_response(500 if "/failure" in self.path else 200)
        if is_stream:
            self.send_header("Content-Type", "text/event-stream")
        for name, value in (("Shuntrun-Request-Id", identity), ("Shuntrun-Response-Seal", SEAL),
                            ("Shuntrun-Weight-Versions", "1"), ("Connection", "close")):
            self.send_header(name, value)
        self.end_headers()
        held_at = len(body) if "/late" in self.path else len(body) // 2  # half of a stream: between two events
        self.wfile.write(body[:held_at])
        if "/half" in self.path or "/late" in self.path:
            CONTROL.hold(identity)
        self.wfile.write(body[held_at:])
        tell("ends " + identity)


class Server(socketserver.ThreadingMixIn, socketserver.TCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass  # clients leave on purpose


def main():
    host, port, descriptor, accept_after_s = sys.argv[1], int(sys.argv[2]), int(sys.argv[4]), float(sys.argv[5])
    threading.Thread(target=CONTROL.read_orders, daemon=True).start()
    time.sleep(accept_after_s)
    server = Server((host, port), Handler, bind_and_activate=descriptor < 0)
    if descriptor >= 0:
        server.socket.close()
        server.socket = socket.socket(fileno=descriptor)
    tell("listens")
    server.serve_forever(poll_interval=0.05)


if __name__ == "__main__":
    main()
