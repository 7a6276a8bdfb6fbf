/** Detection of silent peers by pings. */

/** Time without received bytes until a ping, while requests are open. */
const ACTIVE_SILENCE_MAX_MS = 300;
/** Time without received bytes until a ping, while no request is open. */
const IDLE_SILENCE_MAX_MS = 2_000;
/**
 * The same for a peer in another data centre, which gets few requests, while
 * the traffic to it costs money.
 */
const REMOTE_IDLE_SILENCE_MAX_MS = 5_000;
/**
 * Time without received bytes after a ping until the peer is suspect, so that
 * other upstreams are preferred.
 */
const SUSPECT_TIMEOUT_MS = 150;
/**
 * Time without received bytes after a ping until the link is closed. A peer
 * whose process is stalled for a shorter time keeps its link.
 */
const PONG_TIMEOUT_MS = 900;

/** What to do about the silence of a peer. */
export type SilenceAction = "none" | "ping" | "close";

/** Silence of a peer at one moment. */
export type Silence = {
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** Monotonic time of the last received bytes, in ms. */
  readonly lastReceivedAtMs: number;
  /** Whether requests to the peer are open. */
  readonly hasOpenRequests: boolean;
  /** Whether the peer is in another data centre. */
  readonly isRemote: boolean;
};

function silenceMaxMs({ hasOpenRequests, isRemote }: Silence): number {
  if (hasOpenRequests) {
    return ACTIVE_SILENCE_MAX_MS;
  }
  return isRemote ? REMOTE_IDLE_SILENCE_MAX_MS : IDLE_SILENCE_MAX_MS;
}

/**
 * Decides when a silent peer is pinged, when it is suspect and when its link is
 * closed.
 *
 * @example
 * if (monitor.check(silence) === "ping") { socket.send([FRAME.ping]); }
 */
export class SilenceMonitor {
  #pingSentAtMs: number | undefined;
  #isSuspect = false;

  /** Whether the peer has not answered a ping in time. */
  get isSuspect(): boolean {
    return this.#isSuspect;
  }

  /** Records that bytes have arrived, or that the link is dialled anew. */
  reset(): void {
    this.#pingSentAtMs = undefined;
    this.#isSuspect = false;
  }

  /**
   * Checks the silence; called once per control interval.
   *
   * @param silence Silence of the peer.
   * @returns Whether to send a ping or to close the link.
   */
  check(silence: Silence): SilenceAction {
    const { nowMs, lastReceivedAtMs } = silence;
    if (nowMs - lastReceivedAtMs < silenceMaxMs(silence)) {
      return "none";
    }
    if (this.#pingSentAtMs === undefined) {
      this.#pingSentAtMs = nowMs;
      return "ping";
    }
    const sincePingMs = nowMs - Math.max(this.#pingSentAtMs, lastReceivedAtMs);
    this.#isSuspect = sincePingMs > SUSPECT_TIMEOUT_MS;
    return sincePingMs > PONG_TIMEOUT_MS ? "close" : "none";
  }
}
