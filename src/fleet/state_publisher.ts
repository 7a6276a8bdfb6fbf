/** Sends the state of the local upstream to the other daemons. */
import type { CallEdge } from "../decisions/routing/call_graph.ts";
import type { CallObserver } from "../decisions/routing/call_observer.ts";
import { REFUSED_MIN_RATIO } from "../decisions/sharing/completion_levels.ts";
import type { UpstreamState } from "../schemas/link_schema.ts";
import type { LocalUpstream } from "./local_upstream.ts";
import type { UpstreamGate } from "./upstream_gate.ts";

/** Minimum change of the busy ratio that is sent to peers. */
const BUSY_STEP_RATIO = 0.08;
/**
 * Changes are sent only if the old or the new ratio exceeds this value. At
 * lower ratios no daemon sheds requests.
 */
const BUSY_SENT_MIN_RATIO = 0.75;
/** Minimum time between two changes of the busy ratio that are sent. */
const BUSY_INTERVAL_MIN_MS = 200;
/**
 * Time per peer that is added to that minimum, so that a daemon with many peers
 * sends at most 200 such frames a second.
 */
const BUSY_INTERVAL_PER_PEER_MS = 5;
/**
 * Change of the concurrency limit that is sent, relative to the sent value. An
 * upstream that names a limit of requests a second changes it with its run time.
 */
const LIMIT_STEP_RATIO = 0.2;
/** Change of the share of refused requests that is sent. */
const REFUSED_STEP_RATIO = 0.1;
/**
 * Time after which a smaller fall is sent, too, if from the new share nothing is
 * limited. Peers would limit requests as long as a few are refused.
 */
const REFUSED_REFRESH_MS = 3_000;
/**
 * Interval at which the observed calls, the limit, the refused share, and
 * whether this daemon watches the store, are compared with what was published.
 */
const COMPARE_INTERVAL_MS = 300;

/** Sends frames to all peers. */
export interface PeerBroadcaster {
  /** Sends the whole state. */
  broadcastState(state: UpstreamState): void;
  /** Sends only the busy ratio. */
  broadcastBusyRatio(busyRatio: number): void;
  /** Number of peers that receive these frames. */
  readonly linksCount: number;
}

/** Options of {@link StatePublisher}. */
export type StatePublisherOptions = {
  upstream: LocalUpstream;
  gate: UpstreamGate;
  observer: CallObserver;
  /** A function, because the peers are constructed later. */
  peers: () => PeerBroadcaster;
  configVersion: () => number;
  isStopping: () => boolean;
  /** Whether this daemon watches the store closely and reaches it. */
  isWatching: () => boolean;
  /** Called with the downstream calls observed here when they have changed. */
  onCalls: (calls: CallEdge[]) => void;
};

/**
 * Builds the state of the local upstream and decides when it is sent to peers.
 */
export class StatePublisher {
  readonly #options: StatePublisherOptions;
  #calls: CallEdge[] = [];
  #comparedAtMs = -Infinity;
  #sentIsCold = false;
  #sentIsWatching = false;
  #sentLimitCount = 0;
  #sentRefusedRatio = 0;
  #sentAtMs = -Infinity;
  #sentBusyRatio = 0;
  #busySentAtMs = -Infinity;

  /**
   * @param options Upstream, gate, observer of calls and peers.
   */
  constructor(options: StatePublisherOptions) {
    this.#options = options;
  }

  /** Current state. */
  get state(): UpstreamState {
    const { upstream, gate, configVersion, isStopping, isWatching } =
      this.#options;
    return {
      upstreamId: upstream.report?.upstreamId ?? "",
      isServing: upstream.isServing && !gate.isStopped,
      isStopping: isStopping(),
      limitCount: gate.limitCount,
      isCold: (upstream.report?.coldRemainingMs ?? 0) > 0,
      busyRatio: Math.round(gate.busyRatio * 100) / 100,
      refusedRatio: gate.refusedRatio,
      configVersion: configVersion(),
      isWatching: isWatching(),
      reservesRoom: true,
      calls: this.#calls,
    };
  }

  /** Sends the whole state to all peers. */
  publish(): void {
    const { state } = this;
    this.#sentIsCold = state.isCold;
    this.#sentIsWatching = state.isWatching;
    this.#sentLimitCount = state.limitCount;
    this.#sentRefusedRatio = state.refusedRatio;
    this.#sentBusyRatio = state.busyRatio;
    this.#options.peers().broadcastState(state);
  }

  /**
   * Sends what has changed. Called once per control interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    const { state } = this;
    // The entry admits too much until it knows of the refusals.
    const hasMoreRefusals =
      state.refusedRatio - this.#sentRefusedRatio > REFUSED_STEP_RATIO;
    if (
      this.#compareWhenDue(nowMs) || state.isCold !== this.#sentIsCold ||
      hasMoreRefusals
    ) {
      this.#sentAtMs = nowMs;
      this.publish();
    }
    this.#publishBusy(state.busyRatio, nowMs);
  }

  /** Returns whether a slowly changing part of the state is to be published. */
  #compareWhenDue(nowMs: number): boolean {
    if (nowMs - this.#comparedAtMs < COMPARE_INTERVAL_MS) {
      return false;
    }
    this.#comparedAtMs = nowMs;
    const hasNewCalls = this.#updateCalls();
    const { gate } = this.#options;
    const limitStep = Math.abs(gate.limitCount - this.#sentLimitCount);
    const refusedStep = Math.abs(
      gate.refusedRatio - this.#sentRefusedRatio,
    );
    const isLimitedInVain = this.#sentRefusedRatio >= REFUSED_MIN_RATIO &&
      gate.refusedRatio < REFUSED_MIN_RATIO &&
      nowMs - this.#sentAtMs > REFUSED_REFRESH_MS;
    return hasNewCalls ||
      this.#options.isWatching() !== this.#sentIsWatching ||
      limitStep > LIMIT_STEP_RATIO * this.#sentLimitCount ||
      isLimitedInVain || refusedStep > REFUSED_STEP_RATIO;
  }

  /** Updates the published calls. Returns whether they changed. */
  #updateCalls(): boolean {
    const calls = this.#options.observer.edges();
    if (JSON.stringify(calls) === JSON.stringify(this.#calls)) {
      return false;
    }
    this.#calls = calls;
    this.#options.onCalls(calls);
    return true;
  }

  #publishBusy(busyRatio: number, nowMs: number): void {
    const sentRatio = this.#sentBusyRatio;
    const peers = this.#options.peers();
    const intervalMs = BUSY_INTERVAL_MIN_MS +
      BUSY_INTERVAL_PER_PEER_MS * peers.linksCount;
    const isRelevant = Math.max(sentRatio, busyRatio) > BUSY_SENT_MIN_RATIO;
    if (
      isRelevant && Math.abs(busyRatio - sentRatio) >= BUSY_STEP_RATIO &&
      nowMs - this.#busySentAtMs >= intervalMs
    ) {
      this.#sentBusyRatio = busyRatio;
      this.#busySentAtMs = nowMs;
      peers.broadcastBusyRatio(busyRatio);
    }
  }
}
