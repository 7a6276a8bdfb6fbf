/** Link between two simulated daemons. */
import {
  type ForwardedRequest,
  type RequestHandle,
  type ResultReceiver,
  type UpstreamChannel,
  UpstreamLoad,
} from "../../src/link/upstream_channel.ts";
import type { MemberRecord } from "../../src/schemas/fleet_schema.ts";
import type {
  LoadReport,
  UpstreamState,
} from "../../src/schemas/link_schema.ts";
import type { UpstreamFigures } from "../../src/decisions/sharing/pool_figures.ts";
import type { PoolFiguresSource } from "../../src/fleet/pool_figures_source.ts";
import type { UpstreamGate } from "../../src/fleet/upstream_gate.ts";
import type { EventQueue } from "../policy/event_queue.ts";

/** One-way time of a frame. */
const LATENCY_MS = 0.8;

/** Daemon that a link leads to. */
export type LinkedDaemon = {
  readonly record: MemberRecord;
  readonly gate: UpstreamGate;
  readonly poolFigures: PoolFiguresSource;
  readonly isStopped: boolean;
  readonly isEarlierVersion: boolean;
};

/** Options of {@link SimulatedLink}. */
export type SimulatedLinkOptions = {
  ownName: string;
  peer: LinkedDaemon;
  /** State of the peer's upstream in its hello frame. */
  state: UpstreamState;
  /** Called with each later state, and with the first. */
  onState: (state: UpstreamState) => void;
};

/** Channel to the upstream of another daemon, with a delay in each direction. */
export class SimulatedLink implements UpstreamChannel {
  readonly isSuspect = false;
  readonly load = new UpstreamLoad();
  readonly #events: EventQueue;
  readonly #options: SimulatedLinkOptions;
  #state: UpstreamState;
  #figures: UpstreamFigures | undefined;

  /**
   * @param events Virtual time.
   * @param options Peer and its first state.
   */
  constructor(events: EventQueue, options: SimulatedLinkOptions) {
    this.#events = events;
    this.#options = options;
    this.#state = options.state;
    options.onState(options.state);
  }

  /** @inheritdoc */
  get member(): MemberRecord {
    return this.#options.peer.record;
  }

  /** @inheritdoc */
  get state(): UpstreamState | undefined {
    return this.#options.peer.isStopped ? undefined : this.#state;
  }

  /** @inheritdoc */
  get figures(): UpstreamFigures | undefined {
    return this.#options.peer.isStopped ? undefined : this.#figures;
  }

  /** @inheritdoc */
  reportOffer(offeredPerS: readonly number[]): void {
    const { peer, ownName } = this.#options;
    const atMs = this.#events.nowMs;
    this.#events.after(LATENCY_MS, () => {
      if (peer.isStopped || peer.isEarlierVersion) {
        return;
      }
      const { nowMs } = this.#events;
      peer.poolFigures.record(ownName, offeredPerS, nowMs);
      const figures = peer.poolFigures.figures(nowMs);
      this.#events.after(LATENCY_MS, () => {
        this.#figures = { ...figures, atMs };
      });
    });
  }

  /** Receives a state frame. */
  receiveState(state: UpstreamState): void {
    this.#events.after(LATENCY_MS, () => {
      this.#state = state;
      this.#options.onState(state);
    });
  }

  /** Receives a frame with only the busy ratio. */
  receiveBusyRatio(busyRatio: number): void {
    this.#events.after(LATENCY_MS, () => {
      this.#state = { ...this.#state, busyRatio };
    });
  }

  /** @inheritdoc */
  send(request: ForwardedRequest, receiver: ResultReceiver): RequestHandle {
    const { peer } = this.#options;
    let isDone = false;
    let handle: RequestHandle | undefined;
    this.load.pendingCount++;
    this.load.sentSinceReportCount++;
    const finish = (load: LoadReport, report: () => void) =>
      this.#events.after(LATENCY_MS, () => {
        if (isDone) {
          return;
        }
        isDone = true;
        this.load.pendingCount--;
        this.load.update(load);
        report();
      });
    this.#events.after(LATENCY_MS, () => {
      if (isDone || peer.isStopped) {
        return;
      }
      handle = peer.gate.serve(request, {
        onAnswer: (answer) =>
          finish(peer.gate.load, () => receiver.onAnswer(answer)),
        onFailure: (failure) =>
          finish(peer.gate.load, () => receiver.onFailure(failure)),
      });
    });
    return {
      cancel: () => {
        if (isDone) {
          return;
        }
        isDone = true;
        this.load.pendingCount--;
        this.#events.after(LATENCY_MS, () => handle?.cancel());
      },
    };
  }
}
