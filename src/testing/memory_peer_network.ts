/** `PeerTransport` without sockets, for tests. */
import type { z } from "zod";
import {
  type NeighbourSource,
  type Peer,
  PeerError,
  type PeerHandler,
  type PeerMethod,
  type PeerTransport,
} from "../core/peer_transport.ts";
import type { Address } from "../schemas/common_schema.ts";

type AnyHandler = PeerHandler<z.ZodType, z.ZodType>;
type AnyMethod = PeerMethod<z.ZodType, z.ZodType>;

/** A request that was delivered and answered. */
export type SentMessage = {
  readonly from: string;
  readonly to: string;
  readonly method: string;
  /** Length of request and answer as JSON, in UTF-16 code units. */
  readonly sizeBytes: number;
};

/** One daemon of the network. */
export class MemoryPeer implements PeerTransport, NeighbourSource {
  readonly peer: Peer;
  readonly handlers = new Map<string, AnyHandler>();
  /** Result of {@link neighbours}. */
  linked: Peer[] = [];
  /** Result of {@link remoteReaders}. */
  remote: Peer[] = [];
  readonly #network: MemoryPeerNetwork;

  /**
   * @param peer Identity and address.
   * @param network Network that carries the messages.
   */
  constructor(peer: Peer, network: MemoryPeerNetwork) {
    this.peer = peer;
    this.#network = network;
  }

  /** @inheritdoc */
  neighbours(): readonly Peer[] {
    return this.linked;
  }

  /** @inheritdoc */
  remoteReaders(): readonly Peer[] {
    return this.remote;
  }

  /** @inheritdoc */
  async request<Q extends z.ZodType, A extends z.ZodType>(
    address: Address,
    call: { method: PeerMethod<Q, A>; body: z.infer<Q> },
  ): Promise<z.infer<A>> {
    const method = call.method as unknown as AnyMethod;
    return await this.#network.deliver(this, address, {
      method,
      body: call.body,
    }) as z.infer<A>;
  }

  /** @inheritdoc */
  serve<Q extends z.ZodType, A extends z.ZodType>(
    method: PeerMethod<Q, A>,
    handler: PeerHandler<Q, A>,
  ): void {
    this.handlers.set(method.name, handler as unknown as AnyHandler);
  }
}

/**
 * Network of daemons. Messages are copied as JSON and checked against their
 * schemas.
 *
 * @example
 * const network = new MemoryPeerNetwork();
 * const a = network.add("a");
 * const b = network.add("b");
 * network.linkAll();
 */
export class MemoryPeerNetwork {
  readonly peers = new Map<number, MemoryPeer>();
  readonly sent: SentMessage[] = [];
  /** Returns true for a request that is lost; its sender gets a timeout. */
  isLost: (message: Omit<SentMessage, "sizeBytes">) => boolean = () => false;

  /**
   * Adds a daemon.
   *
   * @param instanceId Name of the instance.
   * @param dataCentre Data centre.
   * @returns Its transport and neighbours.
   */
  add(instanceId: string, dataCentre = "dc-1"): MemoryPeer {
    const port = this.peers.size + 1;
    const identity = { instanceId, incarnationEpochMs: 1, dataCentre };
    const peer = { identity, address: { host: "127.0.0.1", port } };
    const member = new MemoryPeer(peer, this);
    this.peers.set(port, member);
    return member;
  }

  /** Makes each daemon a neighbour of all others. */
  linkAll(): void {
    const all = [...this.peers.values()];
    for (const member of all) {
      member.linked = all.filter((other) => other !== member)
        .map(({ peer }) => peer);
    }
  }

  /**
   * Delivers a request and its answer.
   *
   * @throws {PeerError} When the request is lost or has no handler at the address.
   */
  async deliver(
    from: MemoryPeer,
    address: Address,
    call: { method: AnyMethod; body: unknown },
  ): Promise<unknown> {
    const { method, body } = call;
    const target = this.peers.get(address.port);
    const handler = target?.handlers.get(method.name);
    if (target === undefined || handler === undefined) {
      throw new PeerError("refused", "Nothing listens at the address");
    }
    const message = {
      from: from.peer.identity.instanceId,
      to: target.peer.identity.instanceId,
      method: method.name,
    };
    if (this.isLost(message)) {
      throw new PeerError("timeout", "No answer within the timeout");
    }
    const request = JSON.stringify(body);
    await Promise.resolve();
    const answer = JSON.stringify(
      await handler(
        method.request.parse(JSON.parse(request)),
        from.peer.identity,
      ),
    );
    const sizeBytes = request.length + answer.length;
    this.sent.push({ ...message, sizeBytes });
    return method.answer.parse(JSON.parse(answer));
  }
}
