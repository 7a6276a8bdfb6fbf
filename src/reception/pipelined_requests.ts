/** Bounds what the open requests of a connection hold besides their bodies. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerMemory } from "../decisions/memory/caller_memory.ts";
import type { OpenResponses } from "../core/open_responses.ts";
import type { CallerRefusals } from "../telemetry/caller_refusals.ts";
import type { CallerLimits } from "../reception/caller_limits.ts";
import type { StoppedConnections } from "./stopped_connections.ts";

/**
 * Open requests of a connection from which on no further one is read, until one
 * of them has been answered.
 */
const OPEN_MAX_COUNT = 16;
/** Memory that a request takes besides its head and its body. */
const REQUEST_BYTES = 4_096;

/** Returns the size of the head of a request, in bytes. */
function headBytesOf({ url, rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce(
    (sumBytes, { length }) => sumBytes + length,
    url?.length ?? 0,
  );
}

/**
 * Counts the heads of open requests in the account of the process. A connection
 * with many open requests is not read, and a request behind others is refused
 * while the account is full.
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
   * Counts a request until its response has closed.
   *
   * @param message Request.
   * @param response Its response, which is tracked already.
   * @param options Returns whether no later request of the connection is
   *   handled.
   * @returns False when the request should be refused.
   */
  start(
    message: IncomingMessage,
    response: ServerResponse,
    { isClosing }: { isClosing: () => boolean },
  ): boolean {
    const { socket } = message;
    const openCount = this.#openResponses.countOf(socket);
    const isAdmitted = openCount <= 1 || !this.#memory.isFull;
    const heldBytes = headBytesOf(message) + REQUEST_BYTES;
    this.#memory.hold(heldBytes);
    if (openCount === OPEN_MAX_COUNT) {
      this.#refusals.record("requests_pipelined", {
        heldBytes: this.#memory.heldBytes,
      });
    }
    if (openCount >= OPEN_MAX_COUNT) {
      this.#stopped.stop(socket);
    }
    response.once("close", () => {
      this.#memory.release(heldBytes);
      const isBelowBound =
        this.#openResponses.countOf(socket) === OPEN_MAX_COUNT - 1;
      if (isBelowBound && !isClosing()) {
        this.#stopped.continue(socket);
      }
    });
    return isAdmitted;
  }
}
