"""Stand-ins for the clients, hosts, discovery and platform of one small deployment, and the start of the program.

Standard library only. Everything listens on free ports of loopback addresses, and all times are the machine's clock.
The stand-ins follow PROTOCOL-nettleworks.md, DEPLOY-nettleworks.md and STANDING.md; where a page is silent, they behave
like a sound client, host, discovery or platform.
"""

import asyncio
import json
import os
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run: one line an event, with the time since the start."""

    def __init__(self, path):
        self.start, self.path, self.lines = now(), path, []

    def add(self, text):
        self.lines.append(f"{now() - self.start:9.4f} {text}")

    def write(self):
        with open(self.path, "w", encoding="ascii", errors="replace") as out:
            out.write("\n".join(self.lines) + "\n")


async def read_head(reader):
    """The lines of a head; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    return head.decode("latin-1").split("\r\n")[:-2]


def headers_of(lines):
    pairs = (line.split(":", 1) for line in lines[1:])
    return {name.strip().lower(): value.strip() for name, value in pairs}


async def read_message(reader):
    """First line, headers and body of a message with a Content-Length; None if it does not come whole."""
    lines = await read_head(reader)
    if not lines:
        return None
    headers = headers_of(lines)
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return lines[0], headers, body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Host:
    """A host. `act` is a coroutine that gets the host and a request, and returns the seconds that it works, or None to
    take the whole exchange over."""

    def __init__(self, record, name, pod=1, site="liberia", work=0.04):
        self.record, self.name, self.pod, self.site, self.work = record, name, pod, site, work
        self.health, self.born_ms, self.server, self.address = "Ready", 0, None, None
        self.received = []  # (time, call id, method, key)
        self.act = None
        self.held, self.writers = 0, set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self, health=None):
        return {"host": self.name, "dial": self.address, "site": self.site, "class": "estandar-4", "block": self.pod,
                "health": health or self.health, "share": 1.0, "born_ms": self.born_ms}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                call = headers.get("x-call-id")
                if call is None:
                    await self.write(writer, "404 Not Found", b"")
                    continue
                self.received.append((now(), call, first.split(" ")[0], headers.get("idempotency-key")))
                self.record.add(f"host {self.name} got {call} budget={headers.get('x-budget-ms')}")
                self.held += 1
                try:
                    if self.act is not None:
                        done = await self.act(self, headers, body, reader, writer)
                        if done:
                            if writer.is_closing():
                                return
                            continue
                    await asyncio.sleep(self.work)
                finally:
                    self.held -= 1
                await self.write(writer, "200 OK", self.answer(call))
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer(self, call):
        return f"answer to {call}".encode()

    async def write(self, writer, status, body, extra=""):
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n" \
               f"X-Load-Report: active={self.held},waiting=0,avg_ms=40\r\n{extra}\r\n"
        writer.write(head.encode() + body)
        await writer.drain()


class Discovery:
    """The list, by watch and by single call. `call` is a coroutine that is waited for before a call is answered; it
    returns False for a call that fails with 503."""

    def __init__(self, record, hosts):
        self.record, self.hosts, self.seq = record, hosts, 41
        self.changes, self.watches, self.call, self.address, self.gone = [], {}, None, None, []
        self.answered, self.times = 0, []

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": [host.entry() for host in self.hosts]}

    def change(self, entries):
        """Makes a change, and tells it on all open watches."""
        self.seq += 1
        told = json.dumps({"seq": self.seq, "whole": False, "hosts": entries}).encode() + b"\n"
        for queue in self.watches.values():
            queue.put_nowait(told)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                target = message[0].split(" ")[1]
                who = message[1].get("x-other-proxy", "the proxy")
                if self.call is not None and not await self.call(who, target):
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                self.answered += 1
                self.times.append(now())
                body = json.dumps(self.whole()).encode() + b"\n"
                if "follow=1" not in target:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    await writer.drain()
                    continue
                self.record.add(f"discovery tells {who} version {self.seq}, whole, on a new watch")
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                queue = asyncio.Queue()
                self.watches[writer] = queue
                while True:
                    writer.write(b"%x\r\n" % len(body) + body + b"\r\n")
                    await writer.drain()
                    try:
                        body = await asyncio.wait_for(queue.get(), 2.0)
                        self.record.add(f"discovery tells {who} {body.decode().strip()[:160]}")
                    except asyncio.TimeoutError:
                        body = b"\n"
        except OSError:
            pass
        finally:
            self.watches.pop(writer, None)
            writer.close()


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def settings(**changes):
    """The settings of a small deployment like pacifico-accesos: 3 client proxies."""
    value = {
        "azs": ["liberia", "nicoya", "puntarenas"], "balancers": 3, "me": 0, "discovery": "ask", "family": "mesh",
        "classes": [
            {"name": "registro-entrada", "objective_us": 500000, "deadline_us": 1200000, "worth": 3.0, "late_value": 0.0,
             "idempotency": "guarded", "dedup_scope": "cell", "repeat_window_us": 1200000, "streaming": False},
            {"name": "cobro-mensual", "objective_us": 800000, "deadline_us": 1500000, "worth": 10.0, "late_value": 0.0,
             "idempotency": "single_shot", "dedup_scope": "all", "repeat_window_us": 5000000, "streaming": False}],
        "limits": {"cancel": True, "conn_idle_us": 60000000, "connect_timeout_us": 250000, "max_attempts": 3,
                   "max_open": 26666, "max_retry_after_us": 750000, "max_streams": 1, "may_tell": False,
                   "probes": False, "retry_after": False, "second_copies": True},
        "invariants": {"answer_slack_us": 20000, "ask_every_us": 10000000, "cold_from": 0.31, "cold_us": 7500000,
                       "drain_grace_us": 1000000, "fall_multiple": 3.0, "tip_after_us": 2000000},
        "kinds": ["rapido-4", "estandar-4"], "locality": "liberia", "report": {"columns": ["active", "waiting", "avg_ms"],
                                                                              "how": "inline"},
        "result_mix": {"whole": 0.55, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.15},
        "tenants": [], "tick_us": 5000, "tier": 0, "tiers": ["accesos-cobros"], "weight_source": "rough",
        "worth_by": "request"}
    value.update(changes)
    return value


class Proxy:
    """The program, started by `run` of the deploy file."""

    def __init__(self, record, discovery, site, arguments="", name="n0", sockets=1024):
        self.record, self.discovery, self.site, self.name = record, discovery, site, name
        self.arguments, self.sockets = arguments, sockets
        self.folder = tempfile.TemporaryDirectory(prefix="nettleworks-review-")
        self.port = free_port()
        self.listen = f"127.0.0.1:{self.port}"
        self.process, self.log = None, None

    def write_config(self, known=None):
        config = {"name": self.name, "listen": self.listen, "discovery": self.discovery, "seed": secrets.token_hex(8),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                  "known": known or {"seq": 0, "whole": True, "hosts": []}, "settings": self.site}
        path = os.path.join(self.folder.name, "config.json")
        with open(path + ".new", "w", encoding="ascii") as out:
            json.dump(config, out)
        os.replace(path + ".new", path)
        return path

    async def start(self, known=None):
        path = self.write_config(known)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
            run = next(line for line in deploy if line.startswith("run"))
        command = run.split("=", 1)[1].strip().strip('"')
        temporary = os.path.join(self.folder.name, "tmp")
        os.makedirs(temporary, exist_ok=True)
        environment = dict(os.environ, ROUTER_NAME=self.name, ROUTER_LISTEN=self.listen,
                           ROUTER_DISCOVERY=self.discovery, ROUTER_CONFIG=path, TMPDIR=temporary)
        self.log = open(os.path.join(self.folder.name, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", f"{command} {self.arguments}".strip(), cwd=ROOT,
            env=environment, stdout=self.log, stderr=self.log, start_new_session=True)
        self.record.add(f"platform starts {self.name}")
        until = now() + 10
        while now() < until:
            if self.process.returncode is not None:
                break
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                answer = await reader.read(64)
                writer.close()
                if b" 200 " in answer:
                    self.record.add(f"{self.name} is ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)
        raise RuntimeError("the program is not ready after 10 s: " + self.log_text()[-500:])

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record.add(f"platform sends {signal.Signals(number).name} to {self.name}")
            os.kill(self.process.pid, number)

    def log_text(self):
        with open(os.path.join(self.folder.name, "log"), encoding="utf-8", errors="replace") as log:
            return log.read()

    async def end(self):
        """Kills the program, if it runs."""
        if self.process is not None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass  # it has ended meanwhile
            await self.process.wait()


def request_bytes(call, name, budget_ms, key=None, body=b"x=1", extra=""):
    """A client's request; a GET has no body."""
    method = "GET" if body is None else "POST"
    head = f"{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {call}\r\nX-Call-Class: {name}\r\n" \
           f"X-Budget-Ms: {budget_ms}\r\n{extra}"
    if key is not None:
        head += f"Idempotency-Key: {key}\r\n"
    if body is not None:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + (body or b"")


def new_id():
    return secrets.token_hex(8)


class Client:
    """One connection of the application. It sends one request at a time, and keeps the connection."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, data, wait):
        """Status and body of the answer; None if it does not come within `wait` seconds, or the connection ends."""
        if self.writer is None:
            await self.open()
        self.writer.write(data)
        try:
            message = await asyncio.wait_for(read_message(self.reader), wait)
        except asyncio.TimeoutError:
            self.close()
            return None
        if message is None:
            self.close()
            return None
        first, headers, body = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), body


def finish(record, broken, text):
    """Writes the record and ends with the exit status of a case."""
    record.add(("BROKEN: " if broken else "HELD: ") + text)
    record.write()
    print(("broken: " if broken else "held: ") + text)
    sys.stdout.flush()
    os._exit(1 if broken else 0)


def run(main, folder):
    """Runs a case. Anything unexpected ends with 2: the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    proxies = []

    async def bounded():
        # Ends inside of the loop: nothing of the stand-ins is to be taken down first.
        try:
            broken, text = await asyncio.wait_for(main(record, proxies), 110)
        except Exception as error:
            await end_all()
            record.add(f"COULD NOT RUN: {error!r}")
            record.write()
            print(f"could not run: {error!r}")
            sys.stdout.flush()
            os._exit(2)
        await end_all()
        finish(record, broken, text)

    async def end_all():
        for proxy in proxies:
            await proxy.end()
            proxy.folder.cleanup()

    asyncio.run(bounded())
