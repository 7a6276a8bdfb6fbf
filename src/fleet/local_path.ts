/** Path to the upstream beside the daemon. */
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import type { UpstreamState } from "../schemas/link_schema.ts";
import type { UpstreamGate } from "./upstream_gate.ts";
import {
  type ForwardedRequest,
  PathLoad,
  type ResultReceiver,
  type SentRequest,
  type UpstreamPath,
} from "../link/upstream_path.ts";

/** Options of {@link LocalPath}. */
export type LocalPathOptions = {
  member: MemberRecord;
  gate: UpstreamGate;
  /** Reads the present state of the upstream. */
  readState: () => UpstreamState;
};

/** Path without a link. Its load is read from the gate at each use. */
export class LocalPath implements UpstreamPath {
  readonly member: MemberRecord;
  /** @inheritdoc */
  readonly isSuspect = false;
  readonly #load = new PathLoad();
  readonly #options: LocalPathOptions;

  /**
   * @param options Entry of this daemon, gate and state of the upstream.
   */
  constructor(options: LocalPathOptions) {
    this.member = options.member;
    this.#options = options;
  }

  /** @inheritdoc */
  get state(): UpstreamState {
    return this.#options.readState();
  }

  /** @inheritdoc */
  get load(): PathLoad {
    this.#load.update(this.#options.gate.load);
    return this.#load;
  }

  /** @inheritdoc */
  send(request: ForwardedRequest, receiver: ResultReceiver): SentRequest {
    return this.#options.gate.serve(request, receiver);
  }
}
