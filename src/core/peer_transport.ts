/** Interfaces of the exchange of control messages between daemons. */
import type { z } from "zod";
import type { Address } from "../schemas/common_schema.ts";

/** Authenticated identity of a daemon. */
export type PeerIdentity = {
  readonly instanceId: string;
  /** Start of the daemon, in ms since the epoch; grows with each restart. */
  readonly incarnationEpochMs: number;
  readonly dataCentre: string;
};

/** A peer and the address of its peer listener. */
export type Peer = {
  readonly identity: PeerIdentity;
  readonly address: Address;
};

/** One kind of request with the schemas of both messages. */
export type PeerMethod<Q extends z.ZodType, A extends z.ZodType> = {
  /** Name on the wire, unique among all methods. */
  readonly name: string;
  readonly request: Q;
  readonly answer: A;
};

/** Why a request to a peer has no answer. */
export type PeerFailure =
  /** No process listens at the address. */
  | "refused"
  /** No answer within the timeout; the request may have arrived. */
  | "timeout"
  /** The peer rejected the key, the identity or the schema. */
  | "rejected"
  /** Any other failure of the connection. */
  | "broken";

/** A request to a peer that failed. */
export class PeerError extends Error {
  readonly failure: PeerFailure;

  /**
   * @param failure Kind of failure.
   * @param message Sentence for logs, without a final period.
   */
  constructor(failure: PeerFailure, message: string) {
    super(message);
    this.name = "PeerError";
    this.failure = failure;
  }
}

/** Options of one request to a peer. */
export type PeerRequestOptions = {
  /** Longest wait for the answer, in ms. */
  timeoutMs: number;
};

/** Answers one kind of request. */
export type PeerHandler<Q extends z.ZodType, A extends z.ZodType> = (
  request: z.infer<Q>,
  from: PeerIdentity,
) => z.infer<A> | Promise<z.infer<A>>;

/** Sends requests to peers and serves theirs. */
export interface PeerTransport {
  /**
   * Sends a request.
   *
   * @throws {PeerError} When there is no valid answer.
   */
  request<Q extends z.ZodType, A extends z.ZodType>(
    address: Address,
    call: { method: PeerMethod<Q, A>; body: z.infer<Q> },
    options: PeerRequestOptions,
  ): Promise<z.infer<A>>;
  /** Registers the handler of a method; one handler for each method. */
  serve<Q extends z.ZodType, A extends z.ZodType>(
    method: PeerMethod<Q, A>,
    handler: PeerHandler<Q, A>,
  ): void;
}

/** Peers that this daemon exchanges updates with. */
export interface NeighbourSource {
  /** Live neighbours in the own data centre. */
  neighbours(): readonly Peer[];
  /** Live readers of other data centres; empty unless this daemon is a reader. */
  remoteReaders(): readonly Peer[];
}
