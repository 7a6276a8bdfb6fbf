/** Channel to the local upstream. */
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import type { UpstreamState } from "../schemas/link_schema.ts";
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
  send(request: ForwardedRequest, receiver: ResultReceiver): RequestHandle {
    return this.#options.gate.serve(request, receiver);
  }
}
