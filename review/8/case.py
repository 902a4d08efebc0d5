"""Some answers of hosts have a length that doesn't fit: it is shorter than the answer."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-2"))
from stand import *


async def main(record, proxies):
    hosts = [Host(record, f"s-{n}", pod=n // 3) for n in range(6)]
    count = [0]

    async def act(host, headers, _body, _reader, writer):
        await asyncio.sleep(host.work)
        answer, call = host.answer(headers["x-call-id"]), headers["x-call-id"]
        count[0] += 1
        if TROUBLE and count[0] % 10 == 0:
            length = len(answer) - 8
            record.add(f"host {host.name} answers {call}, spoilt: Content-Length {length}, body {answer.decode()!r}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + answer)
            await writer.drain()  # the connection stays open
        else:
            await host.write(writer, "200 OK", answer)
        return True

    for host in hosts:
        host.act = act
        await host.start()
    discovery = Discovery(record, hosts)
    await discovery.start()
    proxy = Proxy(record, discovery.address, settings())
    proxies.append(proxy)
    await proxy.start(discovery.whole())
    wrong, served = [], [0]

    async def client():
        connection = Client(proxy.port)
        for _ in range(25):
            call = new_id()
            got = await connection.ask(request_bytes(call, "cobro-mensual", 900), 2)
            record.add(f"client: {call} {got}")
            if got is not None and got[0] == 200:
                served[0] += 1
                if got[1] != f"answer to {call}".encode():
                    wrong.append((call, got[1]))
            await asyncio.sleep(0.05)

    await asyncio.gather(*[client() for _ in range(4)])
    if served[0] == 0:
        raise RuntimeError("nothing was served")
    if not wrong:
        return False, f"{served[0]} requests were served, each with the answer made for it"
    return True, f"{len(wrong)} of {served[0]} served requests got something else than the answer made for them, " \
                 f"such as {wrong[0]}"


run(main, HERE)
