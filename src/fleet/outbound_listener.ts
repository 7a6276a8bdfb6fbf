/** HTTP listener for callers and for the upstream's own calls. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { errorAnswer, type ErrorKind } from "../errors/error_kinds.ts";
import { listenOn } from "../core/listen_on.ts";
import type { Address } from "../schemas/common_schema.ts";
import type { FleetConfig } from "../schemas/fleet_schema.ts";
import type { ReplySink } from "./forwarded_exchange.ts";
import type { UpstreamAnswer } from "../link/upstream_path.ts";

/** Limits before the first configuration; that of headers stays after it. */
const INITIAL_HEADER_MAX_BYTES = 65_536;
const INITIAL_BODY_MAX_BYTES = 67_108_864;
/** Connections that the system queues while the event loop is busy. */
const ACCEPT_QUEUE_LENGTH = 1_024;

/** A request with its complete body. */
export type ReceivedRequest = {
  readonly message: IncomingMessage;
  readonly body: Uint8Array | null;
  /** Monotonic time at which the head was received, in ms. */
  readonly arrivedMs: number;
};

/** Handles the requests of the listener. */
export interface OutboundHandler {
  /**
   * Handles a request and calls `reply` once, unless the caller disconnects.
   * Returns a function that is called if the caller disconnects before that.
   */
  handle(request: ReceivedRequest, reply: ReplySink): () => void;
  /** Value of `retry-after` for an error, in ms; undefined to omit it. */
  retryAfterMs(kind: ErrorKind): number | undefined;
}

type SocketState = {
  /** Number of the newest request on the connection. */
  newestNumber: number;
  /** Whether the answer that ends the connection has been written. */
  isClosing: boolean;
};

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    (headers["content-length"] ?? "0") !== "0";
}

/** Receives HTTP requests and sends the answers of their handler. */
export class OutboundListener {
  readonly #server: Server;
  readonly #handler: OutboundHandler;
  readonly #sockets = new WeakMap<Socket, SocketState>();
  #bodyMaxBytes = INITIAL_BODY_MAX_BYTES;
  #openCount = 0;
  #isStopping = false;

  /**
   * @param handler Handles each request.
   */
  constructor(handler: OutboundHandler) {
    this.#handler = handler;
    this.#server = createServer({
      maxHeaderSize: INITIAL_HEADER_MAX_BYTES,
      requestTimeout: 0,
      headersTimeout: 0,
      noDelay: true,
    }, (message, response) => this.#receive(message, response));
    this.#server.on("connection", (socket: Socket) => {
      this.#sockets.set(socket, { newestNumber: 0, isClosing: false });
    });
    this.#server.on("clientError", answerParserError);
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
    return listenOn(this.#server, { ...address, backlog: ACCEPT_QUEUE_LENGTH });
  }

  /**
   * Applies the limits of a configuration to bodies, headers and connections.
   *
   * @param limits Limits of the configuration.
   */
  applyLimits(limits: FleetConfig["limits"]): void {
    this.#bodyMaxBytes = limits.bodyMaxBytes;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Closes each connection with the answer to its newest request. */
  stop(): void {
    this.#isStopping = true;
  }

  /** Closes the connections without an open request. */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #receive(message: IncomingMessage, response: ServerResponse): void {
    const arrivedMs = performance.now();
    const state = this.#sockets.get(message.socket);
    // The answer that closes the connection was sent. The caller repeats
    // requests that it pipelined after that one.
    if (state === undefined || state.isClosing) {
      message.resume();
      return;
    }
    const number = ++state.newestNumber;
    this.#openCount++;
    const reply = new HttpReply(
      response,
      this.#handler,
      () => this.#endsConnection(state, number),
    );
    let onDisconnect = () => {};
    response.once("close", () => {
      this.#openCount--;
      if (!reply.isSent) {
        onDisconnect();
      }
    });
    const handle = (body: Uint8Array | null) => {
      onDisconnect = this.#handler.handle({ message, body, arrivedMs }, reply);
    };
    if (hasBody(message)) {
      this.#readBody(message, reply, handle);
    } else {
      message.resume();
      handle(null);
    }
  }

  /**
   * While stopping, the answer to the newest request closes the connection.
   * Earlier answers precede it, because answers are sent in request order.
   */
  #endsConnection(state: SocketState, number: number): boolean {
    if (this.#isStopping && number === state.newestNumber) {
      state.isClosing = true;
    }
    return state.isClosing && number === state.newestNumber;
  }

  #readBody(
    message: IncomingMessage,
    reply: HttpReply,
    handle: (body: Uint8Array | null) => void,
  ): void {
    const chunks: Buffer[] = [];
    let size = 0;
    message.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= this.#bodyMaxBytes) {
        chunks.push(chunk);
      } else if (!reply.isSent) {
        reply.fail("body_too_large");
      }
    });
    message.on("end", () => {
      if (!reply.isSent) {
        handle(size === 0 ? null : Buffer.concat(chunks, size));
      }
    });
  }
}

/** Writes the answer to one request. */
class HttpReply implements ReplySink {
  readonly #response: ServerResponse;
  readonly #handler: OutboundHandler;
  readonly #endsConnection: () => boolean;
  isSent = false;

  constructor(
    response: ServerResponse,
    handler: OutboundHandler,
    endsConnection: () => boolean,
  ) {
    this.#response = response;
    this.#handler = handler;
    this.#endsConnection = endsConnection;
  }

  /** @inheritdoc */
  answer({ status, headers, body }: UpstreamAnswer): void {
    this.isSent = true;
    const response = this.#response;
    if (this.#endsConnection()) {
      response.shouldKeepAlive = false;
    }
    response.sendDate = false;
    const length = String(body?.length ?? 0);
    const isBodyless = status === 204 || status === 304;
    response.writeHead(
      status,
      isBodyless ? [...headers] : [...headers, "content-length", length],
    );
    response.end(body ?? undefined);
  }

  /** @inheritdoc */
  fail(kind: ErrorKind): void {
    this.isSent = true;
    const { status, message } = errorAnswer(kind);
    const response = this.#response;
    if (this.#endsConnection() || kind === "body_too_large") {
      response.shouldKeepAlive = false;
    }
    const retryAfterMs = this.#handler.retryAfterMs(kind);
    const headers = ["content-length", String(message.length)];
    if (retryAfterMs !== undefined) {
      headers.push("retry-after", (retryAfterMs / 1_000).toFixed(3));
    }
    response.writeHead(status, headers);
    response.end(message);
  }
}

function answerParserError(
  error: Error & { code?: string },
  socket: Socket,
): void {
  if (!socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const kind = error.code === "HPE_HEADER_OVERFLOW"
    ? "header_too_large"
    : error.code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? "header_timeout"
    : "bad_request";
  const { status, message } = errorAnswer(kind);
  socket.end(
    `HTTP/1.1 ${status} ${message}\r\ncontent-length: 0\r\n` +
      `connection: close\r\n\r\n`,
  );
}
