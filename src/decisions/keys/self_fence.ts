/** Stops keyed requests while another daemon may own the keys of this one. */
import type { PeerConnectivity } from "../selection/upstream_directory.ts";

/** Options of {@link SelfFence}. */
export type SelfFenceOptions = {
  /** Longest time without an answered probe or a check, in ms. */
  selfFenceMs: number;
  /** Start of the daemon on the monotonic clock, in ms. */
  startedMs: number;
};

/**
 * Detects lapses: times in which this daemon was frozen, was cut off from its
 * peers, or was considered suspect or ended by one of them. A long gap between
 * two checks also counts as a lapse: after a freeze, an answer that had waited
 * in the socket could otherwise hide the freeze.
 *
 * @example
 * const fence = new SelfFence({ selfFenceMs: 3_000, startedMs: 0 });
 * fence.check(directory.peerConnectivity(), nowMs); // at least once a second
 */
export class SelfFence {
  readonly #selfFenceMs: number;
  #checkedMs: number;
  #lapsedMs: number | undefined;
  #ownsSinceMs: number;

  /**
   * @param options Time after which a lapse begins, and start of the daemon.
   */
  constructor({ selfFenceMs, startedMs }: SelfFenceOptions) {
    this.#selfFenceMs = selfFenceMs;
    this.#checkedMs = startedMs;
    this.#ownsSinceMs = startedMs;
  }

  /** Monotonic time since which this daemon owns its keys, in ms. */
  get ownsSinceMs(): number {
    return this.#ownsSinceMs;
  }

  /**
   * Checks for a lapse; called regularly and before each keyed request.
   *
   * @param connectivity Connectivity with the peers.
   * @param nowMs Monotonic time, in ms.
   * @returns True while no keyed request may run.
   */
  check(connectivity: PeerConnectivity, nowMs: number): boolean {
    this.#detectLapse(connectivity, nowMs);
    this.#checkedMs = nowMs;
    if (this.#lapsedMs !== undefined && this.#isAccepted(connectivity)) {
      this.#lapsedMs = undefined;
      this.#ownsSinceMs = nowMs;
    }
    return this.#lapsedMs !== undefined;
  }

  #detectLapse(connectivity: PeerConnectivity, nowMs: number): void {
    const frozen = nowMs - this.#checkedMs > this.#selfFenceMs;
    const unanswered = connectivity.knownPeersCount > 0 &&
      nowMs - connectivity.lastAckMs > this.#selfFenceMs;
    const suspected = connectivity.acceptedSinceMs > this.#ownsSinceMs;
    if (frozen || unanswered) {
      this.#lapsedMs = nowMs;
      return;
    }
    if (suspected && this.#lapsedMs === undefined) {
      // After a rejection, `acceptedSinceMs` is infinite until a peer accepts
      // this daemon again.
      this.#lapsedMs = Math.min(connectivity.acceptedSinceMs, nowMs);
    }
  }

  #isAccepted(connectivity: PeerConnectivity): boolean {
    if (connectivity.knownPeersCount === 0) {
      return true;
    }
    const lapsedMs = this.#lapsedMs ?? 0;
    return connectivity.lastAckMs >= lapsedMs &&
      connectivity.lastAckMs >= connectivity.acceptedSinceMs;
  }
}
