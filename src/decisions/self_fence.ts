/** Fence of a daemon that may have lost its keys to another owner. */
import type { PeerConnectivity } from "./upstream_directory.ts";

/** Options of {@link SelfFence}. */
export type SelfFenceOptions = {
  /** Longest time without an answered probe, in ms. */
  selfFenceMs: number;
  /** Start of the daemon on the monotonic clock, in ms. */
  startedMs: number;
};

/**
 * Detects that this daemon was frozen or cut off. The lapse is seen by the gap
 * between two looks, too: after a freeze, an answer that had waited in the
 * socket could otherwise hide it.
 *
 * @example
 * const fence = new SelfFence({ selfFenceMs: 3_000, startedMs: 0 });
 * fence.look(directory.standing(), nowMs); // at least once a second
 */
export class SelfFence {
  readonly #selfFenceMs: number;
  #lookedMs: number;
  #lapsedMs: number | undefined;
  #ownsSinceMs: number;

  /**
   * @param options Longest lapse and start of the daemon.
   */
  constructor({ selfFenceMs, startedMs }: SelfFenceOptions) {
    this.#selfFenceMs = selfFenceMs;
    this.#lookedMs = startedMs;
    this.#ownsSinceMs = startedMs;
  }

  /** Monotonic time at which the present ownership began, in ms. */
  get ownsSinceMs(): number {
    return this.#ownsSinceMs;
  }

  /**
   * Looks at the standing; called regularly and before each keyed request.
   *
   * @param standing Standing among the peers.
   * @param nowMs Monotonic time, in ms.
   * @returns True while no keyed request may run.
   */
  check(standing: PeerConnectivity, nowMs: number): boolean {
    this.#noteLapse(standing, nowMs);
    this.#lookedMs = nowMs;
    if (this.#lapsedMs !== undefined && this.#isAccepted(standing)) {
      this.#lapsedMs = undefined;
      this.#ownsSinceMs = nowMs;
    }
    return this.#lapsedMs !== undefined;
  }

  #noteLapse(standing: PeerConnectivity, nowMs: number): void {
    const frozen = nowMs - this.#lookedMs > this.#selfFenceMs;
    const unanswered = standing.knownPeersCount > 0 &&
      nowMs - standing.lastAckMs > this.#selfFenceMs;
    const doubted = standing.acceptedSinceMs > this.#ownsSinceMs;
    if (frozen || unanswered) {
      this.#lapsedMs = nowMs;
      return;
    }
    if (doubted && this.#lapsedMs === undefined) {
      // Infinite until a peer accepts this daemon again.
      this.#lapsedMs = Math.min(standing.acceptedSinceMs, nowMs);
    }
  }

  #isAccepted(standing: PeerConnectivity): boolean {
    if (standing.knownPeersCount === 0) {
      return true;
    }
    const lapsedMs = this.#lapsedMs ?? 0;
    return standing.lastAckMs >= lapsedMs &&
      standing.lastAckMs >= standing.acceptedSinceMs;
  }
}
