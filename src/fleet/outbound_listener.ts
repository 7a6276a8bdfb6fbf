/** HTTP listener for callers and for downstream calls of the local upstream. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  CallerConnections,
  type ConnectionState,
} from "../decisions/memory/caller_connections.ts";
import { UnreadAnswers } from "../decisions/memory/unread_answers.ts";
import { CostlyBodies } from "../decisions/memory/costly_bodies.ts";
import type { CallerMemory } from "../decisions/memory/caller_memory.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import { hasLeft } from "../core/has_left.ts";
import type { InputDelay } from "../core/input_delay.ts";
import { listenOn } from "../core/listen_on.ts";
import { OpenResponses } from "../core/open_responses.ts";
import type { StartQueue } from "../core/start_queue.ts";
import { stopReading } from "../core/stop_reading.ts";
import { StoppableMessage } from "../core/stoppable_message.ts";
import type { Address } from "../schemas/common_schema.ts";
import type { FleetConfig } from "../schemas/fleet_schema.ts";
import type { AnswerSender } from "./routed_request.ts";
import type { CallerRefusals } from "../telemetry/caller_refusals.ts";
import {
  BodyReception,
  type BodyRefusal,
  COSTLY_BODIES_MAX_COUNT,
  PROGRESS_CHECK_MS,
} from "../reception/body_reception.ts";
import { hasBody } from "../reception/announced_body.ts";
import type { CallerLimits } from "../reception/caller_limits.ts";
import { answerParserError, type ParserError } from "./answer_parser_error.ts";
import type { InputParts } from "./create_input_parts.ts";
import { HttpAnswerSender } from "./http_answer_sender.ts";
import { PipelinedRequests } from "../reception/pipelined_requests.ts";
import { ReadPacer } from "../reception/read_pacer.ts";
import { StoppedConnections } from "../reception/stopped_connections.ts";

/** Maximum size of the head of a request before the first configuration. */
const INITIAL_HEADER_MAX_BYTES = 65_536;
/** Maximum size of a body before the first configuration. */
const INITIAL_BODY_MAX_BYTES = 67_108_864;
/**
 * Maximum number of connections that the operating system queues while the
 * event loop is busy.
 */
const LISTEN_BACKLOG = 1_024;

/** A request with its complete body. */
export type ReceivedRequest = {
  readonly message: IncomingMessage;
  readonly body: Uint8Array | null;
  /** Monotonic time at which the head was read, in ms. */
  readonly arrivedAtMs: number;
  /** Longest time for which it may have waited before that, in ms. */
  readonly inputDelayMs: number;
};

/** Handles the requests of the listener. */
export interface OutboundHandler {
  /**
   * Handles a request and sends one answer, unless the caller disconnects.
   * Returns a function that is called if the caller disconnects before the
   * answer is sent.
   */
  handle(request: ReceivedRequest, answerSender: AnswerSender): () => void;
  /** Value of `retry-after` for an error, in ms; undefined to omit it. */
  retryAfterMs(kind: ErrorKind): number | undefined;
}

/**
 * Receives HTTP requests, and sends the answers of its handler in the order of
 * the requests on a connection.
 */
export class OutboundListener {
  readonly #server: Server;
  readonly #handler: OutboundHandler;
  readonly #memory: CallerMemory;
  readonly #inputDelay: Pick<InputDelay, "measureMs">;
  readonly #startQueue: StartQueue;
  readonly #refusals: CallerRefusals;
  readonly #connections: CallerConnections<Socket>;
  readonly #unreadAnswers = new UnreadAnswers<Socket>();
  readonly #costlyBodies = new CostlyBodies(COSTLY_BODIES_MAX_COUNT);
  readonly #receptions = new Set<BodyReception>();
  readonly #openResponses = new OpenResponses();
  readonly #stopped = new StoppedConnections();
  // The close of a caller is still read while its request is forwarded.
  readonly #pacer = new ReadPacer(() => this.#connections.unforwardedSockets);
  readonly #pipelined: PipelinedRequests;
  #bodyMaxBytes = INITIAL_BODY_MAX_BYTES;
  #headerMaxBytes = INITIAL_HEADER_MAX_BYTES;
  #openCount = 0;
  #heldBytes = 0;
  #isStopping = false;
  #progressCheckedAtMs = 0;

  /**
   * @param handler Handles each request.
   * @param limits Bounds on what is held for callers.
   * @param input Delay of the input of this process, and queue that starts the
   *   requests.
   */
  constructor(
    handler: OutboundHandler,
    limits: CallerLimits,
    { inputDelay, startQueue }: Pick<InputParts, "inputDelay" | "startQueue">,
  ) {
    this.#handler = handler;
    this.#inputDelay = inputDelay;
    this.#startQueue = startQueue;
    this.#memory = limits.memory;
    this.#pipelined = new PipelinedRequests(
      limits,
      this.#openResponses,
      this.#stopped,
    );
    this.#refusals = limits.refusals;
    this.#connections = new CallerConnections(
      limits.connectionsMaxCount,
      ({ isNew }) =>
        this.#refusals.record(
          isNew ? "connection_refused" : "connection_closed",
          { connectionsCount: this.connectionsCount },
        ),
    );
    this.#server = createServer({
      IncomingMessage: StoppableMessage,
      maxHeaderSize: INITIAL_HEADER_MAX_BYTES,
      requestTimeout: 0,
      headersTimeout: 0,
      noDelay: true,
    }, (message, response) => this.#receive(message, response));
    this.#pipelined.handleStopped(this.#server);
    this.#server.on("connection", (socket: Socket) => {
      this.#connections.add(socket, { headerMaxBytes: this.#headerMaxBytes });
      this.#pacer.accept(socket);
    });
    this.#server.on(
      "clientError",
      (error: ParserError, socket: Socket) =>
        this.#openResponses.handleParserError(
          socket,
          () => answerParserError(error, socket),
        ),
    );
  }

  /** Bytes of the answers that callers have not read completely. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Number of open connections. */
  get connectionsCount(): number {
    return this.#connections.count;
  }

  /** Number of requests without a complete answer. */
  get openCount(): number {
    return this.#openCount;
  }

  /**
   * Starts to listen.
   *
   * @param address Address to bind.
   * @returns The bound address.
   * @throws When the address cannot be bound.
   */
  listen(address: Address): Promise<Address> {
    return listenOn(this.#server, { ...address, backlog: LISTEN_BACKLOG });
  }

  /**
   * Applies the maximum sizes and the timeouts of a configuration. A larger head is
   * read only on new connections; others close after their next answer.
   *
   * @param limits Limits of the configuration.
   */
  applyLimits(limits: FleetConfig["limits"]): void {
    this.#bodyMaxBytes = limits.bodyMaxBytes;
    this.#headerMaxBytes = limits.headerMaxBytes;
    // Node.js reads this when a connection is accepted.
    Object.assign(this.#server, { maxHeaderSize: limits.headerMaxBytes });
    this.#memory.setLargestBody(limits.bodyMaxBytes);
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /**
   * Ends the bodies that have made no progress for long, and the connections
   * whose callers do not read their answers.
   *
   * @param nowMs Monotonic time, in ms.
   */
  tick(nowMs: number): void {
    if (nowMs - this.#progressCheckedAtMs < PROGRESS_CHECK_MS) {
      return;
    }
    this.#progressCheckedAtMs = nowMs;
    for (const reception of this.#receptions) {
      reception.checkProgress(nowMs);
    }
    const { sockets } = this.#connections;
    for (const socket of this.#unreadAnswers.check(sockets, nowMs)) {
      this.#refusals.record("answer_unread", {
        unsentBytes: socket.writableLength,
      });
      socket.destroy();
    }
  }

  /**
   * From now on, closes each connection after the answer to its newest request.
   */
  stop(): void {
    this.#isStopping = true;
  }

  /**
   * Closes the connections without an open request, which lasts until its answer
   * is written.
   */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #receive(message: IncomingMessage, response: ServerResponse): void {
    this.#pacer.recordRead();
    const arrivedAtMs = performance.now();
    const inputDelayMs = this.#inputDelay.measureMs();
    const state = this.#connections.find(message.socket);
    // The answer that closes the connection has been sent, so this request gets
    // none. An HTTP/1.1 client retries the requests that it pipelined after the
    // answered one.
    if (state === undefined || state.isClosing) {
      this.#stopped.stop(message.socket);
      message.resume();
      return;
    }
    const number = ++state.newestNumber;
    this.#openCount++;
    this.#openResponses.track(response, message.socket);
    const answerSender = new HttpAnswerSender(response, {
      retryAfterMs: (kind) => this.#handler.retryAfterMs(kind),
      closesConnection: () => this.#closesConnection(state, number),
      onBody: (sizeBytes) => this.#holdAnswer(sizeBytes),
    });
    let onDisconnect = () => {};
    let isHandled = false;
    response.once("close", () => {
      this.#openCount--;
      this.#holdAnswer(-answerSender.bodyBytes);
      state.forwardedCount -= isHandled ? 1 : 0;
      state.endedAtMs = performance.now();
      if (!answerSender.isSent) {
        onDisconnect();
      }
    });
    const handle = (body: Uint8Array | null) => {
      isHandled = true;
      state.forwardedCount++;
      const request = { message, body, arrivedAtMs, inputDelayMs };
      onDisconnect = this.#startQueue.add(
        () => this.#handler.handle(request, answerSender),
        // The response closes some iterations of the event loop later.
        { isGone: () => hasLeft(message.socket) },
      );
    };
    const isAdmitted = this.#pipelined.start(message, response, {
      isClosing: () => state.isClosing,
    });
    if (!isAdmitted) {
      this.#refuse("memory_short", message, { state, answerSender });
    } else if (hasBody(message)) {
      this.#receiveBody(message, response, { state, answerSender, handle });
    } else {
      message.resume();
      handle(null);
    }
  }

  /**
   * Returns whether the answer to a request closes its connection, and records
   * it. While stopping, and on a connection that reads smaller heads than are
   * permitted, the answer to the newest request does. Earlier answers precede it,
   * because answers are sent in the order of the requests.
   */
  #closesConnection(state: ConnectionState, number: number): boolean {
    const isOutdated = state.headerMaxBytes < this.#headerMaxBytes;
    if ((this.#isStopping || isOutdated) && number === state.newestNumber) {
      state.isClosing = true;
    }
    return state.isClosing && number === state.newestNumber;
  }

  #holdAnswer(sizeBytes: number): void {
    this.#heldBytes += sizeBytes;
    this.#memory.hold(sizeBytes);
  }

  /** Refuses a request, of which some may not have been read. */
  #refuse(
    kind: BodyRefusal,
    message: IncomingMessage,
    { state, answerSender, bodyBytes = 0 }: {
      state: ConnectionState;
      answerSender: HttpAnswerSender;
      bodyBytes?: number;
    },
  ): void {
    this.#refusals.record(kind, {
      heldBytes: this.#memory.heldBytes,
      bodyBytes,
    });
    // The rest of the body follows, so no other request can be read. While
    // earlier requests run, reading goes on slowly to notice a disconnect.
    state.isClosing = true;
    stopReading(message);
    if (state.forwardedCount > 0) {
      const { socket } = message;
      this.#stopped.stop(socket);
      message.on("data", () => this.#stopped.stop(socket));
    }
    answerSender.fail(kind);
  }

  #receiveBody(
    message: IncomingMessage,
    response: ServerResponse,
    { state, answerSender, handle }: {
      state: ConnectionState;
      answerSender: HttpAnswerSender;
      handle: (body: Uint8Array | null) => void;
    },
  ): void {
    const endReceiving = () => {
      // The body of a later request may be received when this one is answered.
      if (state.reception === reception) {
        state.reception = undefined;
      }
      this.#receptions.delete(reception);
    };
    const reception = new BodyReception(message, {
      memory: this.#memory,
      costlyBodies: this.#costlyBodies,
      bodyMaxBytes: this.#bodyMaxBytes,
      onComplete: (body) => {
        endReceiving();
        handle(body);
      },
      onRefused: (kind) => {
        endReceiving();
        this.#refuse(kind, message, {
          state,
          answerSender,
          bodyBytes: reception.claimBytes,
        });
      },
    });
    state.reception = reception;
    this.#receptions.add(reception);
    response.once("close", () => {
      endReceiving();
      reception.end();
    });
    reception.start();
  }
}
