/** HTTP server with the limits that all listeners share. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { listenOn } from "../core/listen_on.ts";
import type { CallerConnections } from "../decisions/memory/caller_connections.ts";
import { OpenResponses } from "../core/open_responses.ts";
import { StoppableMessage } from "../core/stoppable_message.ts";
import type { CallerMemory } from "../decisions/memory/caller_memory.ts";
import { PipelinedRequests } from "../reception/pipelined_requests.ts";
import { ReadPacer } from "../reception/read_pacer.ts";
import { StoppedConnections } from "../reception/stopped_connections.ts";
import type { Address } from "../schemas/common_schema.ts";
import type { CallerRefusals } from "../telemetry/caller_refusals.ts";
import { RejectionDecorator } from "./rejection_decorator.ts";
import { ResponseReceiver } from "./response_receiver.ts";

const HEADER_MAX_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Handles one request. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Bounds of a listener. */
export type ListenerLimits = {
  /** Bound on the connections. */
  connections: CallerConnections<Socket>;
  /** Account of what is held for callers. */
  memory: CallerMemory;
  /** Records callers that are refused or closed. */
  refusals: CallerRefusals;
};

type ParserError = Error & { code?: string };

function answerParserError(error: ParserError, socket: Socket): void {
  if (!socket.writable) {
    return;
  }
  const [status, kind] = error.code === "HPE_HEADER_OVERFLOW"
    ? ["431 Request Header Fields Too Large", "header_too_large"]
    : ["400 Bad Request", "bad_request"];
  socket.end(
    `HTTP/1.1 ${status}\r\nGoldcrest-Outcome: not-run\r\n` +
      `Goldcrest-Error: ${kind}\r\nContent-Length: 0\r\n` +
      `Connection: close\r\n\r\n`,
  );
}

/**
 * Refuses a request that is behind others on its connection, because too much is
 * held for callers.
 */
function refuseForMemory(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  new ResponseReceiver(response, new RejectionDecorator())
    .onFailure({ kind: "memory_short", outcome: "not-run" });
}

/** HTTP server that listens on one address. */
export class Listener {
  readonly #server: Server;
  readonly #openResponses = new OpenResponses();

  /**
   * @param handler Handles each request.
   * @param limits Bounds on the connections and on what is held for callers.
   */
  constructor(handler: RequestHandler, limits: ListenerLimits) {
    const { connections, memory, refusals } = limits;
    const pipelined = new PipelinedRequests(
      limits,
      this.#openResponses,
      new StoppedConnections(),
    );
    // The close of a caller is still read while its request is forwarded.
    const pacer = new ReadPacer(() => connections.unforwardedSockets);
    this.#server = createServer({
      IncomingMessage: StoppableMessage,
      maxHeaderSize: HEADER_MAX_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      noDelay: true,
    }, (request, response) => {
      pacer.recordRead();
      const state = connections.find(request.socket);
      // The answer that closes the connection has been sent, so this request
      // gets none and must not run.
      if (state === undefined || state.isClosing) {
        request.resume();
        return;
      }
      this.#openResponses.track(response, request.socket);
      state.forwardedCount++;
      response.once("close", () => {
        state.forwardedCount--;
        state.endedAtMs = performance.now();
      });
      const isAdmitted = pipelined.start(request, response, {
        isClosing: () => state.isClosing,
      });
      if (isAdmitted) {
        handler(request, response);
        return;
      }
      state.isClosing = true;
      refusals.record("memory_short", { heldBytes: memory.heldBytes });
      refuseForMemory(response);
    });
    pipelined.handleStopped(this.#server);
    this.#server.on("connection", (socket: Socket) => {
      connections.add(socket);
      pacer.accept(socket);
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

  /**
   * Starts to listen.
   *
   * @param address Address to bind; port 0 lets the system choose.
   * @returns The bound address.
   * @throws When the address cannot be bound.
   */
  listen(address: Address): Promise<Address> {
    return listenOn(this.#server, address);
  }

  /** Stops listening and closes all connections, busy ones included. */
  destroy(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
