/** Interfaces for the exchange of control messages between daemons. */
import type { z } from "zod";
import type { Address } from "../schemas/common_schema.ts";

/** Authenticated identity of a daemon. */
export type PeerIdentity = {
  readonly instanceId: string;
  /**
   * Start of the daemon, in ms since the epoch; grows with each restart. Raised
   * at run time above a later incarnation that a peer or the platform's object
   * API reports for this instance, and when an update says that this daemon has
   * left.
   */
  readonly incarnationEpochMs: number;
  readonly dataCentre: string;
};

/** A peer and the address of its peer listener. */
export type Peer = {
  readonly identity: PeerIdentity;
  readonly address: Address;
};

/** Method with the schemas of its request and its answer. */
export type PeerMethod<Q extends z.ZodType, A extends z.ZodType> = {
  /** Name on the wire, unique among all methods. */
  readonly name: string;
  readonly request: Q;
  readonly answer: A;
};

/** Reason for the failure of a request to a peer. */
export type PeerFailure =
  /** No process listens at the address. */
  | "refused"
  /** No answer within the timeout; the request may have arrived. */
  | "timeout"
  /**
   * The peer rejected the request, or this daemon rejected the answer, because
   * its MAC, version, time, target or schema is invalid or its method is unknown.
   */
  | "rejected"
  /** Any other failure, of the connection or of the peer's handler. */
  | "broken";

/** A request to a peer that failed. */
export class PeerError extends Error {
  readonly failure: PeerFailure;

  /**
   * @param failure Kind of failure.
   * @param message Message for logs, without a final period.
   */
  constructor(failure: PeerFailure, message: string) {
    super(message);
    this.name = "PeerError";
    this.failure = failure;
  }
}

/** Options of one request to a peer. */
export type PeerRequestOptions = {
  /** Longest time to wait for the answer, in ms. */
  timeoutMs: number;
};

/** Handles the requests of a method and returns the answer. */
export type PeerHandler<Q extends z.ZodType, A extends z.ZodType> = (
  request: z.infer<Q>,
  from: PeerIdentity,
) => z.infer<A> | Promise<z.infer<A>>;

/** Sends requests to peers and serves requests of peers. */
export interface PeerTransport {
  /**
   * Sends a request and waits for the answer.
   *
   * @throws {PeerError} When no valid answer arrives.
   */
  request<Q extends z.ZodType, A extends z.ZodType>(
    address: Address,
    call: { method: PeerMethod<Q, A>; body: z.infer<Q> },
    options: PeerRequestOptions,
  ): Promise<z.infer<A>>;
  /**
   * Registers the handler of a method.
   *
   * @throws When the method already has a handler.
   */
  serve<Q extends z.ZodType, A extends z.ZodType>(
    method: PeerMethod<Q, A>,
    handler: PeerHandler<Q, A>,
  ): void;
}

/**
 * Lists the peers with which this daemon exchanges member and configuration
 * updates.
 */
export interface NeighbourSource {
  /** Live neighbours in this daemon's data centre. */
  neighbours(): readonly Peer[];
  /**
   * Live readers of other data centres; empty unless this daemon is a reader.
   * Readers are the members that synchronise with other data centres.
   */
  remoteReaders(): readonly Peer[];
}
