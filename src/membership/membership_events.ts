/** Events that the membership handles and messages that it sends. */
import type { PeerFailure } from "../core/peer_transport.ts";
import type { Address } from "../schemas/common_schema.ts";
import type {
  MemberPlace,
  MemberUpdate,
  ProbeAnswer,
  ProbeRequest,
  PushRequest,
  SyncAnswer,
  SyncRequest,
} from "../schemas/member_schema.ts";

/** Probe to send. */
export type ProbeAction = {
  readonly kind: "probe";
  /** Reason for the probe; only `observed` probes are evidence of failures. */
  readonly purpose: "observed" | "lost" | "remote";
  readonly instanceId: string;
  readonly address: Address;
  readonly request: ProbeRequest;
};

/** Message that floods or repairs; its result is ignored. */
export type PushAction = {
  readonly kind: "push";
  readonly address: Address;
  readonly request: PushRequest;
};

/** Request for the records that differ. */
export type SyncAction = {
  readonly kind: "sync";
  readonly address: Address;
  readonly request: SyncRequest;
};

/** Message for the caller to send. */
export type MembershipAction = ProbeAction | PushAction | SyncAction;

/** Event for `MembershipCore.handle`. */
export type MembershipEvent =
  | { readonly kind: "tick" }
  | {
    readonly kind: "probeAnswered";
    readonly probe: ProbeAction;
    readonly answer: ProbeAnswer;
  }
  | {
    readonly kind: "probeFailed";
    readonly probe: ProbeAction;
    readonly failure: PeerFailure;
    /** Monotonic time at which the probe was sent, in ms. */
    readonly sentMs: number;
  }
  | {
    readonly kind: "syncAnswered";
    readonly address: Address;
    readonly answer: SyncAnswer;
  }
  | { readonly kind: "syncFailed"; readonly address: Address }
  | {
    readonly kind: "pushed";
    readonly request: PushRequest;
    readonly fromId: string;
  }
  | { readonly kind: "contactsFound"; readonly addresses: readonly Address[] }
  /** The upstream beside this daemon was announced or withdrawn. */
  | { readonly kind: "placed"; readonly place: Partial<MemberPlace> }
  /** An earlier incarnation of this instance is known to the platform. */
  | { readonly kind: "incarnationKnown"; readonly incarnationEpochMs: number }
  | { readonly kind: "leave" }
  | { readonly kind: "stay" }
  | { readonly kind: "left" };

/** Answer to the request of a peer, and messages for the caller to send. */
export type AnswerWithActions<A> = {
  readonly answer: A;
  readonly actions: readonly MembershipAction[];
};

/**
 * Returns the address of a member's peer listener.
 *
 * @param place Place of a member.
 * @returns Address for requests.
 */
export function peerAddressOf(
  place: Pick<MemberUpdate, "peerHost" | "peerPort">,
): Address {
  return { host: place.peerHost, port: place.peerPort };
}
