/** Sends the state of the local upstream to the other daemons. */
import type { CallEdge, CallObserver } from "../decisions/call_graph.ts";
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
 * Interval at which the observed calls are compared with the published ones.
 */
const CALLS_INTERVAL_MS = 300;

/** Sends frames to all peers. */
export interface PeerBroadcaster {
  /** Sends the whole state. */
  broadcastState(state: UpstreamState): void;
  /** Sends only the busy ratio. */
  broadcastBusyRatio(busyRatio: number): void;
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
  /** Called with the downstream calls observed here when they have changed. */
  onCalls: (calls: CallEdge[]) => void;
};

/**
 * Builds the state of the local upstream and decides when it is sent to peers.
 */
export class StatePublisher {
  readonly #options: StatePublisherOptions;
  #calls: CallEdge[] = [];
  #callsComparedAtMs = -Infinity;
  #sentIsCold = false;
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
    const { upstream, gate, configVersion, isStopping } = this.#options;
    return {
      upstreamId: upstream.report?.upstreamId ?? "",
      isServing: upstream.isServing && !gate.isStopped,
      isStopping: isStopping(),
      limitCount: gate.limitCount,
      isCold: (upstream.report?.coldRemainingMs ?? 0) > 0,
      busyRatio: Math.round(gate.busyRatio * 100) / 100,
      configVersion: configVersion(),
      calls: this.#calls,
    };
  }

  /** Sends the whole state to all peers. */
  publish(): void {
    const { state } = this;
    this.#sentIsCold = state.isCold;
    this.#options.peers().broadcastState(state);
  }

  /**
   * Sends what has changed. Called once per control interval.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    const hasNewCalls = this.#updateCalls(nowMs);
    const { state } = this;
    if (hasNewCalls || state.isCold !== this.#sentIsCold) {
      this.publish();
    }
    this.#publishBusy(state.busyRatio, nowMs);
  }

  /** Updates the published calls when due. Returns whether they changed. */
  #updateCalls(nowMs: number): boolean {
    if (nowMs - this.#callsComparedAtMs < CALLS_INTERVAL_MS) {
      return false;
    }
    this.#callsComparedAtMs = nowMs;
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
    const isRelevant = Math.max(sentRatio, busyRatio) > BUSY_SENT_MIN_RATIO;
    if (
      isRelevant && Math.abs(busyRatio - sentRatio) >= BUSY_STEP_RATIO &&
      nowMs - this.#busySentAtMs >= BUSY_INTERVAL_MIN_MS
    ) {
      this.#sentBusyRatio = busyRatio;
      this.#busySentAtMs = nowMs;
      this.#options.peers().broadcastBusyRatio(busyRatio);
    }
  }
}
