/** Cached gRPC clients, one for each peer address. */
import { Client, credentials } from "@grpc/grpc-js";
import { LRUCache } from "lru-cache";
import type { Address } from "../schemas/common_schema.ts";

/**
 * Time without a request after which a client is closed. It is checked whenever
 * a client is requested.
 */
export const CHANNEL_IDLE_MS = 30_000;
/**
 * Maximum number of open clients; beyond it the least recently used is closed.
 */
const CHANNELS_MAX_COUNT = 256;

/**
 * Consecutive timeouts after which a connection is replaced: one that lost
 * packets in a partition recovers only after TCP's retransmission back-off.
 */
const TIMEOUTS_BEFORE_RECONNECT_COUNT = 2;

const CLIENT_OPTIONS = {
  "grpc.enable_http_proxy": 0,
  "grpc.enable_retries": 0,
  // Channelz statistics are not used and cost time in each call.
  "grpc.enable_channelz": 0,
  // The global subchannel pool would give a new client the connection of a
  // closed one and its reconnection back-off.
  "grpc.use_local_subchannel_pool": 1,
};

/** Open client with state of its latest requests. */
export type PeerChannel = {
  readonly client: Client;
  /**
   * Instance that sent the last answer; empty before the first answer, and after
   * the peer rejected a request.
   */
  instanceId: string;
  consecutiveTimeoutsCount: number;
};

/**
 * Formats an address as a gRPC target that needs no name resolution.
 *
 * @param address IP address and port.
 * @returns gRPC target.
 *
 * @example
 * formatTarget({ host: "127.0.0.1", port: 7000 }); // "ipv4:127.0.0.1:7000"
 */
export function formatTarget(address: Address): string {
  return address.host.includes(":")
    ? `ipv6:[${address.host}]:${address.port}`
    : `ipv4:${address.host}:${address.port}`;
}

/** Opens clients on demand and closes idle ones. */
export class ChannelCache {
  readonly #channels: LRUCache<string, PeerChannel>;

  /**
   * @param options Time after which an unused client is closed, in ms.
   */
  constructor(options: { idleMs?: number } = {}) {
    this.#channels = new LRUCache({
      max: CHANNELS_MAX_COUNT,
      ttl: options.idleMs ?? CHANNEL_IDLE_MS,
      updateAgeOnGet: true,
      dispose: (channel) => channel.client.close(),
    });
  }

  /** Number of open clients. */
  get openCount(): number {
    return this.#channels.size;
  }

  /**
   * Returns the client of an address, opening it if necessary, and closes idle
   * clients.
   *
   * @param address Address of the peer.
   * @returns Open client.
   */
  open(address: Address): PeerChannel {
    this.#channels.purgeStale();
    const target = formatTarget(address);
    const cached = this.#channels.get(target);
    if (cached !== undefined) {
      return cached;
    }
    const client = new Client(
      target,
      credentials.createInsecure(),
      CLIENT_OPTIONS,
    );
    const channel = { client, instanceId: "", consecutiveTimeoutsCount: 0 };
    this.#channels.set(target, channel);
    return channel;
  }

  /**
   * Closes the client of an address, so that the next request opens a new
   * connection.
   *
   * @param address Address of the peer.
   */
  drop(address: Address): void {
    this.#channels.delete(formatTarget(address));
  }

  /**
   * Counts a timeout, and closes the client after two consecutive ones.
   *
   * @param address Address of the peer.
   */
  countTimeout(address: Address): void {
    const channel = this.#channels.get(formatTarget(address));
    if (channel === undefined) {
      return;
    }
    channel.consecutiveTimeoutsCount++;
    if (channel.consecutiveTimeoutsCount >= TIMEOUTS_BEFORE_RECONNECT_COUNT) {
      this.drop(address);
    }
  }

  /** Closes all clients. */
  closeAll(): void {
    this.#channels.clear();
  }
}
