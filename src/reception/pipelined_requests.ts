/** Bounds what the open requests of a connection hold besides their bodies. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { PIPELINED_MAX_COUNT } from "../decisions/memory/connection_order.ts";
import type { CallerMemory } from "../decisions/memory/caller_memory.ts";
import {
  isUsualRequest,
  requestBytesOf,
} from "../decisions/memory/request_memory.ts";
import type { OpenResponses } from "../core/open_responses.ts";
import type { CallerRefusals } from "../telemetry/caller_refusals.ts";
import { stopParsing } from "../core/stoppable_message.ts";
import { hasBody } from "./announced_body.ts";
import type { CallerLimits } from "./caller_limits.ts";
import type { StoppedConnections } from "./stopped_connections.ts";

/**
 * Counts open requests without a body in the account of the process; those with
 * one count while it is received and after that. A connection with many open
 * requests is not read. While the account is full, a request behind others and
 * one that takes more memory than usual are refused.
 */
export class PipelinedRequests {
  readonly #memory: CallerMemory;
  readonly #openResponses: OpenResponses;
  readonly #stopped: StoppedConnections;
  readonly #refusals: CallerRefusals;

  /**
   * @param limits Account of the process, and the record of refusals.
   * @param openResponses Tracks the responses of all connections.
   * @param stopped Connections that are not read.
   */
  constructor(
    { memory, refusals }: Pick<CallerLimits, "memory" | "refusals">,
    openResponses: OpenResponses,
    stopped: StoppedConnections,
  ) {
    this.#memory = memory;
    this.#refusals = refusals;
    this.#openResponses = openResponses;
    this.#stopped = stopped;
  }

  /**
   * Handles the connections of a server whose parsers were stopped because a
   * request was refused. The server must use `StoppableMessage`.
   *
   * @param server HTTP server.
   */
  handleStopped(server: Server): void {
    // Node.js no longer handles the events of these connections.
    server.on("upgrade", (_request, stream) => {
      const socket = stream as Socket;
      socket.on("error", () => socket.destroy());
      socket.on("end", () => socket.destroy());
      socket.on(
        "drain",
        () => this.#openResponses.oldestOf(socket)?.emit("drain"),
      );
      this.#stopped.stop(socket);
    });
  }

  /**
   * Counts a request until its response has closed. The parser of the connection
   * of one that should be refused is stopped.
   *
   * @param message Request.
   * @param response Its response, which is tracked already.
   * @param options Returns whether no later request of the connection is
   *   handled.
   * @returns False when the request should be refused, with an answer that closes
   *   its connection.
   */
  start(
    message: IncomingMessage,
    response: ServerResponse,
    { isClosing }: { isClosing: () => boolean },
  ): boolean {
    const { socket } = message;
    const openCount = this.#openResponses.countOf(socket);
    const requestBytes = requestBytesOf(message);
    const isAdmitted = !this.#memory.isFull ||
      (openCount <= 1 && isUsualRequest(requestBytes));
    const heldBytes = hasBody(message) ? 0 : requestBytes;
    this.#memory.hold(heldBytes);
    if (openCount === PIPELINED_MAX_COUNT) {
      this.#refusals.record("requests_pipelined", {
        heldBytes: this.#memory.heldBytes,
      });
    }
    if (openCount >= PIPELINED_MAX_COUNT) {
      this.#stopped.stop(socket);
    }
    if (!isAdmitted) {
      stopParsing(socket);
    }
    response.once("close", () => {
      this.#memory.release(heldBytes);
      const isBelowBound =
        this.#openResponses.countOf(socket) === PIPELINED_MAX_COUNT - 1;
      if (isBelowBound && !isClosing()) {
        this.#stopped.continue(socket);
      }
    });
    return isAdmitted;
  }
}
