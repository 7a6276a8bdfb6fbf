/** Tells the other daemons about the upstream beside this one. */
import type { CallEdge, CallObserver } from "../decisions/call_graph.ts";
import type { UpstreamState } from "../schemas/link_schema.ts";
import type { LocalUpstream } from "./local_upstream.ts";
import type { UpstreamGate } from "./upstream_gate.ts";

/** Change of the busy share that peers are told. */
const BUSY_STEP_RATIO = 0.08;
/** Below this share no entry sheds, so that changes are not told. */
const BUSY_SENT_MIN_RATIO = 0.75;
const BUSY_INTERVAL_MS = 200;
/** Interval at which learned calls are compared with what peers know. */
const CALLS_INTERVAL_MS = 300;

/** Sends frames to all peers. */
export interface PeerBroadcaster {
  /** Sends a whole state. */
  broadcastState(state: UpstreamState): void;
  /** Sends a load. */
  broadcastBusyRatio(busyRatio: number): void;
}

/** Options of {@link StatePublisher}. */
export type StatePublisherOptions = {
  upstream: LocalUpstream;
  gate: UpstreamGate;
  observer: CallObserver;
  /** Peers; read when something is sent. */
  peers: () => PeerBroadcaster;
  configVersion: () => number;
  isStopping: () => boolean;
  /** Learns the calls that were observed here. */
  onCalls: (calls: CallEdge[]) => void;
};

/** Builds the state and decides when peers hear of it. */
export class StatePublisher {
  readonly #options: StatePublisherOptions;
  #calls: CallEdge[] = [];
  #callsComparedMs = -Infinity;
  #sentIsCold = false;
  #sentBusyRatio = 0;
  #busySentMs = -Infinity;

  /**
   * @param options Upstream, gate and peers.
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

  /** Tells the whole state. */
  publish(): void {
    const { state } = this;
    this.#sentIsCold = state.isCold;
    this.#options.peers().broadcastState(state);
  }

  /**
   * Tells what has changed; called once per control interval.
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
