/** A request and its answer as the stages of the data path pass them on. */
import type { Readable } from "node:stream";
import type { LoadState } from "../decisions/admission/admission_policy.ts";
import type { ErrorKind, Outcome } from "../errors/error_kinds.ts";
import type { RequestContext } from "./request_context.ts";

/** State that the daemon beside an upstream reports with its answers. */
export type ServingState = {
  readonly instanceId: string;
  readonly load: LoadState;
  readonly draining: boolean;
  /** Whether a downstream call of the request failed, after any retries. */
  readonly exhausted: boolean;
  /** Whether the upstream made a downstream call for this request. */
  readonly calledFurther: boolean;
};

/** Status and headers of an answer, with the state of the serving daemon. */
export type AnswerHead = {
  readonly status: number;
  /** Alternating names and values, without hop-by-hop and internal headers. */
  readonly headers: readonly string[];
  /** State of the serving daemon; absent until that daemon adds it. */
  readonly serving?: ServingState;
};

/** Failure of a request that got no answer, or only a part of one. */
export type Failure = {
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
  /**
   * State of the serving daemon; absent when that daemon did not answer, and
   * when the body ended early.
   */
  readonly serving?: ServingState;
  /** Status of an earlier answer to the same key whose body is not recorded. */
  readonly recordedStatus?: number;
};

/** Receives one answer in order: a head, data and an end, or a failure. */
export interface AnswerReceiver {
  /** Receives the status and the headers. */
  onHead(head: AnswerHead): void;
  /** Receives a part of the body; returns false to pause the source. */
  onData(chunk: Buffer): boolean;
  /** Called when the body is complete. */
  onEnd(): void;
  /** Called when there is no answer, or when its body ends early. */
  onFailure(failure: Failure): void;
}

/** Handle with which a receiver cancels its answer or resumes the body. */
export interface AnswerSource {
  /** Cancels the request and frees its resources. */
  cancel(): void;
  /** Resumes the body after `onData` returned false. */
  resume(): void;
}

/** Request body: null, a buffer that can be sent again, or a stream. */
export type RequestBody = Buffer | Readable | null;

/** A request as it is passed from stage to stage. */
export type ForwardRequest = {
  readonly context: RequestContext;
  /** Alternating names and values, without hop-by-hop and internal headers. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
};
