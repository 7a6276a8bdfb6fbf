/** Decides which peer is asked for a newer configuration, and when. */
import type { ConfigPeer } from "../link/config_peer.ts";
import type { Logger } from "../telemetry/logger.ts";

/**
 * Minimum time between two queries, to any peers. A configuration of several
 * hundred KB needs as long to arrive over a slow link.
 */
const QUERY_INTERVAL_MIN_MS = 300;

/** Options of {@link ConfigQueries}. */
export type ConfigQueriesOptions = {
  /** Version of this daemon's configuration in force. */
  version: () => number;
  log: Logger;
};

/** Newer version that a peer has, and when the peer was last asked for it. */
type NewerVersion = { readonly version: number; readonly askedAtMs: number };

/**
 * Remembers which peers have a newer configuration, and asks them in
 * turn until it is in force. A query or its answer may be lost with the peer or
 * the connection, and peers tell of a version only once.
 */
export class ConfigQueries {
  readonly #options: ConfigQueriesOptions;
  readonly #newerVersions = new Map<ConfigPeer, NewerVersion>();
  #queriedAtMs = -Infinity;

  /**
   * @param options Version in force and logger.
   */
  constructor(options: ConfigQueriesOptions) {
    this.#options = options;
  }

  /**
   * Handles the version that a peer has sent. Asks the peer for it if it is
   * newer and no query was sent within the last 300 ms.
   *
   * @param version Version of the peer.
   * @param peer Peer that has it.
   * @param nowMs Monotonic time, in ms.
   */
  noticeVersion(version: number, peer: ConfigPeer, nowMs: number): void {
    if (version <= this.#options.version()) {
      return;
    }
    const askedAtMs = this.#newerVersions.get(peer)?.askedAtMs ?? -Infinity;
    this.#newerVersions.set(peer, { version, askedAtMs });
    this.#queryWhenDue(nowMs);
  }

  /**
   * Asks the next peer if a newer version is still missing. Called once per
   * control interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    this.#queryWhenDue(nowMs);
  }

  #queryWhenDue(nowMs: number): void {
    if (nowMs - this.#queriedAtMs < QUERY_INTERVAL_MIN_MS) {
      return;
    }
    this.#prune();
    const [next] = [...this.#newerVersions]
      .sort(([, a], [, b]) => a.askedAtMs - b.askedAtMs);
    if (next === undefined) {
      return;
    }
    const [peer, { version }] = next;
    this.#newerVersions.set(peer, { version, askedAtMs: nowMs });
    this.#queriedAtMs = nowMs;
    this.#options.log.info("Configuration asked for", {
      version,
      lastVersion: this.#options.version(),
      peer: peer.peerName,
    });
    peer.queryConfig();
  }

  /** Forgets peers that are lost or whose version is in force already. */
  #prune(): void {
    const ownVersion = this.#options.version();
    for (const [peer, { version }] of this.#newerVersions) {
      if (version <= ownVersion || !peer.isUp) {
        this.#newerVersions.delete(peer);
      }
    }
  }
}
