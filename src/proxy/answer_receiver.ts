/** Interfaces between the stages that relay an answer. */
import type { Readable } from "node:stream";
import type { LoadState } from "../decisions/admission_policy.ts";
import type { ErrorKind, Outcome } from "../errors/error_kinds.ts";
import type { RequestContext } from "./request_context.ts";

/** Load and state that the daemon beside an upstream states on its answers. */
export type ServingState = {
  readonly instanceId: string;
  readonly load: LoadState;
  readonly draining: boolean;
  /** Whether retries below this hop are used up. */
  readonly exhausted: boolean;
  /** Whether the upstream made calls for the request. */
  readonly calledFurther: boolean;
};

/** Head of an answer. */
export type AnswerHead = {
  readonly status: number;
  /** Names and values in turn, without hop-by-hop headers. */
  readonly headers: readonly string[];
  /** State of the serving daemon; absent on the way from the upstream itself. */
  readonly serving?: ServingState;
};

/** A request that got no answer from an upstream. */
export type Failure = {
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
  /** State of the serving daemon, when it refused the request itself. */
  readonly serving?: ServingState;
  /** Status of an earlier answer for the same key that is not recorded. */
  readonly recordedStatus?: number;
};

/** Receives one answer in order: a head, data and an end, or a failure. */
export interface AnswerReceiver {
  /** Receives the head. */
  onHead(head: AnswerHead): void;
  /** Receives a part of the body; false asks the source to pause. */
  onData(chunk: Buffer): boolean;
  /** The body is complete. */
  onEnd(): void;
  /** There is no answer, or its body ended early when the head was received. */
  onFailure(failure: Failure): void;
}

/** Source of an answer, as its receiver controls it. */
export interface AnswerSource {
  /** Gives the request up and frees what it holds. */
  cancel(): void;
  /** Continues after a pause. */
  resume(): void;
}

/** Body of a request: none, small and replayable, or a stream. */
export type RequestBody = Buffer | Readable | null;

/** A request as the stages pass it on. */
export type ForwardRequest = {
  readonly context: RequestContext;
  /** Names and values in turn, without hop-by-hop and internal headers. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
};
