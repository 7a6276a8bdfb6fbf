/** Bytes and processor time of one probe over the real transport. */
import { connect, createServer, type Socket } from "node:net";
import process from "node:process";
import { SystemClock } from "../../src/core/clock.ts";
import { PROBE_METHOD } from "../../src/membership/peer_methods.ts";
import { GrpcPeerTransport } from "../../src/peer/grpc_peer_transport.ts";
import { KeyRing } from "../../src/peer/key_ring.ts";
import type { Address } from "../../src/schemas/common_schema.ts";
import type { ProbeAnswer } from "../../src/schemas/member_schema.ts";

const WARM_UP_COUNT = 500;
const PROBES_COUNT = 3_000;
const KEY = { id: "bench", secret: "0123456789abcdef" };
const HELD = {
  incarnationEpochMs: 1_700_000_000_000,
  sequence: 1,
  state: "alive",
} as const;

/** Cost of one probe with its answer. */
export type TransportFigures = {
  /** TCP payload in both directions, with HTTP/2 and gRPC framing. */
  readonly wireBytesPerProbe: number;
  /** Processor time of sender and receiver together. */
  readonly cpuUsPerProbe: number;
};

/** Relay that counts the bytes of both directions. */
class CountingRelay {
  bytes = 0;
  readonly #sockets: Socket[] = [];
  readonly #server;

  constructor(target: Address) {
    this.#server = createServer((socket) => {
      const out = connect(target.port, target.host);
      this.#sockets.push(socket, out);
      for (const [from, to] of [[socket, out], [out, socket]] as const) {
        // Delayed acknowledgements would add 40 ms to each probe.
        from.setNoDelay(true);
        from.on("data", (chunk) => {
          this.bytes += chunk.length;
          to.write(chunk);
        });
        from.on("error", () => to.destroy());
        from.on("close", () => to.destroy());
      }
    });
  }

  listen(): Promise<Address> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        const { port } = this.#server.address() as { port: number };
        resolve({ host: "127.0.0.1", port });
      });
    });
  }

  close(): void {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }
}

function createTransport(instanceId: string): GrpcPeerTransport {
  const identity = {
    instanceId,
    incarnationEpochMs: HELD.incarnationEpochMs,
    dataCentre: "dakar-plateau",
  };
  return new GrpcPeerTransport({
    identity: () => identity,
    keys: new KeyRing([KEY]),
    clock: new SystemClock(),
  });
}

async function sendProbes(
  transport: GrpcPeerTransport,
  address: Address,
  count: number,
): Promise<void> {
  const body = { held: HELD, digest: 0x12345678 };
  for (let index = 0; index < count; index++) {
    const call = { method: PROBE_METHOD, body };
    await transport.request(address, call, { timeoutMs: 5_000 });
  }
}

/**
 * Sends probes one after the other between two transports in this process.
 *
 * @returns Cost of one probe with its answer.
 */
export async function measureTransport(): Promise<TransportFigures> {
  const sender = createTransport("dakar-plateau-0001");
  const receiver = createTransport("dakar-plateau-0002");
  const answer: ProbeAnswer = {
    instanceId: "dakar-plateau-0002",
    held: HELD,
    digest: 0x12345678,
  };
  receiver.serve(PROBE_METHOD, () => answer);
  const target = await receiver.listen({ host: "127.0.0.1", port: 0 });
  const relay = new CountingRelay(target);
  const relayed = await relay.listen();
  await sendProbes(sender, relayed, WARM_UP_COUNT);
  relay.bytes = 0;
  await sendProbes(sender, relayed, PROBES_COUNT);
  const wireBytesPerProbe = relay.bytes / PROBES_COUNT;
  await sendProbes(sender, target, WARM_UP_COUNT);
  const before = process.cpuUsage();
  await sendProbes(sender, target, PROBES_COUNT);
  const { user, system } = process.cpuUsage(before);
  relay.close();
  await sender.close();
  await receiver.close();
  return {
    wireBytesPerProbe,
    cpuUsPerProbe: (user + system) / PROBES_COUNT,
  };
}
