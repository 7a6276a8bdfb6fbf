/** Handles requests of other daemons for the local upstream. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { hasLeft } from "../core/has_left.ts";
import type { InputDelay } from "../core/input_delay.ts";
import { MessageDelay } from "../core/message_delay.ts";
import type { Cancel, StartQueue } from "../core/start_queue.ts";
import type {
  AnswerHead,
  Failure,
  ForwardRequest,
  ServingState,
} from "./answer_receiver.ts";
import { RelayError } from "../errors/relay_error.ts";
import type { BodyReader } from "./body_reader.ts";
import { filterHeaders } from "./header_filter.ts";
import {
  decodeHopRequest,
  encodeHopAnswer,
  HOP_ANSWER_HEADER,
  HOP_REQUEST_HEADER,
  type HopAnswerResult,
  type HopRequestFields,
} from "./hop_header.ts";
import type { HopTokens } from "./hop_token.ts";
import type { InboundService } from "./inbound_service.ts";
import { RejectionDecorator } from "./rejection_decorator.ts";
import type { RequestContext } from "./request_context.ts";
import { type AnswerDecorator, ResponseReceiver } from "./response_receiver.ts";

/** Options of {@link HopHandler}. */
export type HopHandlerOptions = {
  /** Reads the bodies of the requests. */
  bodies: BodyReader;
  startQueue: StartQueue;
  inputDelay: Pick<InputDelay, "isBehind" | "measureStallMs">;
  /**
   * Identity of this daemon. The incarnation is read at each use, because it
   * may be raised at run time.
   */
  identity: {
    readonly instanceId: string;
    readonly incarnationEpochMs: number;
  };
  /** Reads the monotonic clock, in ms. */
  nowMs: () => number;
};

// The entry daemon has already enforced the route's limit on the body.
const HOP_BODY_MAX_BYTES = Number.MAX_SAFE_INTEGER;

function failureOf(error: unknown): Failure {
  return error instanceof RelayError
    ? { kind: error.kind, outcome: error.outcome }
    // An unexpected error may occur after the request was forwarded.
    : { kind: "internal", outcome: "unknown" };
}

/** Adds the header of a hop answer, which the calling daemon checks. */
class HopAnswerDecorator implements AnswerDecorator {
  readonly #requestId: string;
  readonly #token: string;
  readonly #servingState: () => ServingState;

  constructor(
    requestId: string,
    token: string,
    servingState: () => ServingState,
  ) {
    this.#requestId = requestId;
    this.#token = token;
    this.#servingState = servingState;
  }

  headHeaders(head: AnswerHead): string[] {
    const result = {
      kind: "",
      outcome: "complete",
      recordedStatus: 0,
    } as const;
    return this.#encode(result, head.serving);
  }

  failureHeaders(failure: Failure): string[] {
    const { kind, outcome, recordedStatus = 0 } = failure;
    return this.#encode({ kind, outcome, recordedStatus }, failure.serving);
  }

  #encode(
    result: Omit<HopAnswerResult, "requestId">,
    serving: ServingState | undefined,
  ): string[] {
    const value = encodeHopAnswer(
      { requestId: this.#requestId, ...result },
      serving ?? this.#servingState(),
      this.#token,
    );
    return [HOP_ANSWER_HEADER, value];
  }
}

/** Authenticates hop requests and serves them on the local upstream. */
export class HopHandler {
  readonly #inbound: InboundService;
  readonly #tokens: HopTokens;
  readonly #options: HopHandlerOptions;
  /** Delays on the connections, whose peers have clocks of their own. */
  readonly #delays = new WeakMap<Socket, MessageDelay>();

  /**
   * @param inbound Service of the local upstream.
   * @param tokens Tokens that authenticate requests and answers.
   * @param options Reader of bodies, queue that starts the requests, delay of the
   *   input, identity and clock.
   */
  constructor(
    inbound: InboundService,
    tokens: HopTokens,
    options: HopHandlerOptions,
  ) {
    this.#inbound = inbound;
    this.#tokens = tokens;
    this.#options = options;
  }

  /**
   * Handles one request of another daemon.
   *
   * @param request Request with a hop header.
   * @param response Response to the request.
   */
  handle(request: IncomingMessage, response: ServerResponse): void {
    const fields = this.#authenticate(request);
    if (fields === undefined) {
      this.#reject(response);
      return;
    }
    void this.#serve(request, response, fields);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
    fields: HopRequestFields,
  ): Promise<void> {
    const receiver = new ResponseReceiver(
      response,
      this.#createDecorator(fields.requestId, fields.fromInstanceId),
    );
    if (!this.#isForThisIncarnation(fields)) {
      receiver.onFailure({ kind: "no_upstream", outcome: "not-run" });
      return;
    }
    try {
      const context = this.#createContext(request, fields);
      const body = await this.#options.bodies.read(request, response, {
        bodyMaxBytes: HOP_BODY_MAX_BYTES,
        deadlineMs: context.deadlineMs,
      });
      const headers = filterHeaders(
        request.rawHeaders,
        request.headers.connection,
      );
      this.#options.startQueue.add(
        () => this.#start({ context, headers, body }, receiver),
        { isGone: () => hasLeft(request.socket) },
      );
    } catch (error) {
      receiver.onFailure(failureOf(error));
    }
  }

  /** Serves a request. Its response cancels it when it closes. */
  #start(request: ForwardRequest, receiver: ResponseReceiver): Cancel {
    try {
      const source = this.#inbound.serve(request, receiver);
      receiver.connect(source);
    } catch (error) {
      receiver.onFailure(failureOf(error));
    }
    return () => {};
  }

  #authenticate(request: IncomingMessage): HopRequestFields | undefined {
    const value = request.headers[HOP_REQUEST_HEADER];
    const decoded = typeof value === "string"
      ? decodeHopRequest(value)
      : undefined;
    if (decoded === undefined) {
      return undefined;
    }
    const { fields, token } = decoded;
    const authentic = this.#tokens.check(token, {
      direction: "request",
      fromInstanceId: fields.fromInstanceId,
      toInstanceId: this.#options.identity.instanceId,
    });
    return authentic ? fields : undefined;
  }

  #isForThisIncarnation(fields: HopRequestFields): boolean {
    return fields.toInstanceId === this.#options.identity.instanceId &&
      fields.toIncarnationEpochMs === this.#options.identity.incarnationEpochMs;
  }

  #createContext(
    request: IncomingMessage,
    fields: HopRequestFields,
  ): RequestContext {
    const key = request.headers["idempotency-key"];
    return {
      requestId: fields.requestId,
      tenant: fields.tenant,
      method: request.method as string,
      path: request.url as string,
      routeName: fields.routeName,
      pool: fields.pool,
      importanceClass: fields.importanceClass,
      admissionKey: fields.admissionKey,
      idempotent: fields.idempotent,
      repeated: fields.repeated,
      depthCount: fields.depthCount,
      attemptsLeftCount: fields.attemptsLeftCount,
      deadlineMs: this.#options.nowMs() + fields.remainingMs -
        this.#measureDelay(request.socket, fields),
      idleTimeoutMs: fields.idleTimeoutMs,
      idempotencyKey: fields.keyed && typeof key === "string" ? key : undefined,
    };
  }

  /** Time for which a request has waited since it was sent, in ms. */
  #measureDelay(socket: Socket, { sentAtMs }: HopRequestFields): number {
    const { inputDelay, nowMs } = this.#options;
    if (sentAtMs === undefined) {
      return inputDelay.measureStallMs();
    }
    const delay = this.#delays.get(socket) ?? new MessageDelay();
    this.#delays.set(socket, delay);
    return delay.measure(sentAtMs, {
      nowMs: nowMs(),
      isBehind: inputDelay.isBehind,
    }) ?? inputDelay.measureStallMs();
  }

  #createDecorator(
    requestId: string,
    toInstanceId: string,
  ): HopAnswerDecorator {
    const token = this.#tokens.make({
      direction: "answer",
      fromInstanceId: this.#options.identity.instanceId,
      toInstanceId,
    });
    return new HopAnswerDecorator(
      requestId,
      token,
      () => this.#inbound.servingState(),
    );
  }

  #reject(response: ServerResponse): void {
    new ResponseReceiver(response, new RejectionDecorator()).onFailure({
      kind: "hop_rejected",
      outcome: "not-run",
    });
  }
}
