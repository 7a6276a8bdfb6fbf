/** What dialled links use of the daemon. */
import type { RandomSource } from "../core/random.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import type { CurrencyAnswer, UpstreamState } from "../schemas/link_schema.ts";
import type { Logger } from "../telemetry/logger.ts";
import type { ConfigPeer } from "./config_peer.ts";

/** State and callbacks of the daemon that dialled links use. */
export interface LinkHost {
  /** Member record of this daemon. */
  readonly ownRecord: MemberRecord;
  /** State of the local upstream. */
  readonly ownState: UpstreamState;
  /** Version of this daemon's configuration in force. */
  readonly configVersion: number;
  /** Configuration in force, for a peer's query; undefined before the first. */
  readonly config: unknown;
  /** Called with the member record in the peer's hello frame. */
  onHello(record: MemberRecord): void;
  /** Called with the configuration version that a peer has sent. */
  onConfigVersion(version: number, peer: ConfigPeer): void;
  /** Called with the state of a peer's upstream, also when it first arrives. */
  onState(state: UpstreamState, peer: ConfigPeer): void;
  /** Called with the configuration that a peer returns to a query. */
  onConfig(config: unknown): void;
  /** Called with the currency that a peer returns to a query. */
  onCurrency(answer: CurrencyAnswer, peer: ConfigPeer): void;
  /** Called with the records of members that a peer sends. */
  onMembers(records: readonly MemberRecord[], peer: ConfigPeer): void;
  /** Called with the answer of a peer that owns usage caps. */
  onUsageGrant?(frame: readonly unknown[], peer: ConfigPeer): void;
  /** Called when the bytes of incomplete frames change, by how many. */
  onIncomplete?(changeBytes: number): void;
}

/** Options of a dialled link. */
export type PeerLinkOptions = {
  host: LinkHost;
  log: Logger;
  random: RandomSource;
};
