/** Sends the state of the upstream beside this daemon to the other daemons. */
import type { CallEdge, CallObserver } from "../decisions/call_graph.ts";
import type { UpstreamState } from "../schemas/link_schema.ts";
import type { LocalUpstream } from "./local_upstream.ts";
import type { UpstreamGate } from "./upstream_gate.ts";

/** Smallest change of the busy ratio that is sent to peers. */
const BUSY_STEP_RATIO = 0.08;
/** Changes below this ratio are not sent, because no daemon sheds at it. */
const BUSY_SENT_MIN_RATIO = 0.75;
const BUSY_INTERVAL_MS = 200;
/** Interval at which observed calls are compared with the published ones. */
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
  /** Read at each broadcast, because the peers are created later. */
  peers: () => PeerBroadcaster;
  configVersion: () => number;
  isStopping: () => boolean;
  /** Called with the calls observed by this daemon when they have changed. */
  onCalls: (calls: CallEdge[]) => void;
};

/** Builds the state and decides when it is sent to peers. */
export class StatePublisher {
  readonly #options: StatePublisherOptions;
  #calls: CallEdge[] = [];
  #callsComparedMs = -Infinity;
  #sentIsCold = false;
  #sentBusyRatio = 0;
  #busySentMs = -Infinity;

  /**
   * @param options Upstream, gate, observer of calls and peers.
   */
  constructor(options: StatePublisherOptions) {
    this.#options = options;
  }

  /** Present state. */
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
    const hasNewCalls = this.#compareCalls(nowMs);
    const { state } = this;
    if (hasNewCalls || state.isCold !== this.#sentIsCold) {
      this.publish();
    }
    this.#publishBusy(state.busyRatio, nowMs);
  }

  #compareCalls(nowMs: number): boolean {
    if (nowMs - this.#callsComparedMs < CALLS_INTERVAL_MS) {
      return false;
    }
    this.#callsComparedMs = nowMs;
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
      nowMs - this.#busySentMs >= BUSY_INTERVAL_MS
    ) {
      this.#sentBusyRatio = busyRatio;
      this.#busySentMs = nowMs;
      this.#options.peers().broadcastBusyRatio(busyRatio);
    }
  }
}
