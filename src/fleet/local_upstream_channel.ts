/** Channel to the local upstream. */
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import type { UpstreamState } from "../schemas/link_schema.ts";
import type { UpstreamFigures } from "../decisions/sharing/pool_figures.ts";
import type { PoolFiguresSource } from "./pool_figures_source.ts";
import type { UpstreamGate } from "./upstream_gate.ts";
import {
  type ForwardedRequest,
  type RequestHandle,
  type ResultReceiver,
  type UpstreamChannel,
  UpstreamLoad,
} from "../link/upstream_channel.ts";

/** Options of {@link LocalUpstreamChannel}. */
export type LocalUpstreamChannelOptions = {
  member: MemberRecord;
  gate: UpstreamGate;
  /** Returns the current state of the upstream. */
  readState: () => UpstreamState;
  poolFigures: PoolFiguresSource;
};

/**
 * Passes requests directly to the gate, without a link. The load is read from
 * the gate each time.
 */
export class LocalUpstreamChannel implements UpstreamChannel {
  readonly member: MemberRecord;
  /** @inheritdoc */
  readonly isSuspect = false;
  readonly #load = new UpstreamLoad();
  readonly #options: LocalUpstreamChannelOptions;

  /**
   * @param options Member record of this daemon, gate and state of the
   *   upstream.
   */
  constructor(options: LocalUpstreamChannelOptions) {
    this.member = options.member;
    this.#options = options;
  }

  /** @inheritdoc */
  get state(): UpstreamState {
    return this.#options.readState();
  }

  /** @inheritdoc */
  get load(): UpstreamLoad {
    this.#load.update(this.#options.gate.load);
    return this.#load;
  }

  /** @inheritdoc */
  get figures(): UpstreamFigures {
    return this.#options.poolFigures.figures(performance.now());
  }

  /** @inheritdoc */
  reportOffer(offeredPerS: readonly number[]): void {
    const { poolFigures } = this.#options;
    poolFigures.record(this.member.name, offeredPerS, performance.now());
  }

  /** @inheritdoc */
  send(request: ForwardedRequest, receiver: ResultReceiver): RequestHandle {
    return this.#options.gate.serve(request, receiver);
  }
}
