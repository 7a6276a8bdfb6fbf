/** Events that the membership handles and messages that it sends. */
import type { PeerFailure } from "../core/peer_transport.ts";
import type { Address } from "../schemas/common_schema.ts";
import type {
  MemberAttributes,
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
  /**
   * Reason for the probe: the member is `observed` by this daemon, it is `lost`
   * and may have restarted, or it is in another data centre (`remote`). Only
   * `observed` probes are evidence of failures.
   */
  readonly purpose: "observed" | "lost" | "remote";
  readonly instanceId: string;
  readonly address: Address;
  readonly request: ProbeRequest;
};

/** Message with updates of a flood or of a repair; its answer is not used. */
export type PushAction = {
  readonly kind: "push";
  readonly address: Address;
  readonly request: PushRequest;
};

/** Request for the records in which two views differ. */
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
  /** The local upstream was announced, changed or withdrawn. */
  | { readonly kind: "placed"; readonly place: Partial<MemberAttributes> }
  /** An earlier incarnation of this instance is known to the platform. */
  | { readonly kind: "incarnationKnown"; readonly incarnationEpochMs: number }
  /** This instance accepts no new work. */
  | { readonly kind: "leave" }
  /** This instance accepts work again. */
  | { readonly kind: "cancelLeave" }
  /** This daemon ends. */
  | { readonly kind: "left" };

/** Answer to the request of a peer, and messages for the caller to send. */
export type AnswerWithActions<A> = {
  readonly answer: A;
  readonly actions: readonly MembershipAction[];
};

/**
 * Returns the address of a member's peer listener.
 *
 * @param member Host and port of the member's peer listener.
 * @returns Address for requests.
 */
export function peerAddressOf(
  member: Pick<MemberUpdate, "peerHost" | "peerPort">,
): Address {
  return { host: member.peerHost, port: member.peerPort };
}
