/** Reads request bodies within the bounds of the process. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  CallerConnections,
  ConnectionState,
} from "../decisions/memory/caller_connections.ts";
import { mayForward } from "../decisions/memory/forwarded_bodies.ts";
import { RelayError } from "../errors/relay_error.ts";
import { announcedBytesOf, hasBody } from "../reception/announced_body.ts";
import {
  BodyReception,
  type BodyRefusal,
} from "../reception/body_reception.ts";
import type { RequestBody } from "./answer_receiver.ts";
import type { CallerBounds, ListenerName } from "./caller_bounds.ts";
import { StreamedBody } from "./streamed_body.ts";

/**
 * Bodies up to this are received before their requests are forwarded, so that
 * an unfinished one takes no slot. It is the default limit of a route, and the
 * same on all daemons, because the digest of a keyed request has the length of
 * a body only if it is known before the body is forwarded.
 */
export const COLLECTED_BODY_MAX_BYTES = 1_048_576;

/** Options of {@link BodyReader.read}. */
export type ReadBodyOptions = {
  /** Largest body, in bytes. */
  bodyMaxBytes: number;
  /** Monotonic time by which a collected body must be complete, in ms. */
  deadlineMs: number;
};

/** A request whose body is read. */
type ReadRequest = {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** State of its connection. */
  readonly state: ConnectionState;
  readonly bodyMaxBytes: number;
};

/**
 * Reads the bodies of the requests of one listener: collects those of usual size
 * and passes larger ones on as streams.
 *
 * @example
 * const reader = new BodyReader("callers", { bounds, nowMs });
 * const body = await reader.read(request, response, options);
 */
export class BodyReader {
  readonly #bounds: CallerBounds;
  readonly #connections: CallerConnections;
  readonly #listener: ListenerName;
  readonly #nowMs: () => number;

  /**
   * @param listener Listener of the requests.
   * @param options Bounds of the daemon, and its monotonic clock in ms.
   */
  constructor(
    listener: ListenerName,
    { bounds, nowMs }: { bounds: CallerBounds; nowMs: () => number },
  ) {
    this.#listener = listener;
    this.#bounds = bounds;
    this.#connections = bounds.connections[listener];
    this.#nowMs = nowMs;
  }

  /**
   * Reads the body of a request. A body whose length is not known is collected
   * until it is too large for that.
   *
   * @param message Request whose head has been received.
   * @param response Response to the request.
   * @param options Largest body and deadline.
   * @returns The body to forward; null for none.
   * @throws {RelayError} When the body is refused. Its request has not run, and
   *   its connection is closed after the answer.
   * @throws When the caller disconnects first.
   */
  async read(
    message: IncomingMessage,
    response: ServerResponse,
    { bodyMaxBytes, deadlineMs }: ReadBodyOptions,
  ): Promise<RequestBody> {
    if (!hasBody(message)) {
      return null;
    }
    const state = this.#connections.find(message.socket);
    if (state === undefined) {
      throw new Error("The caller disconnected");
    }
    const request = { message, response, state, bodyMaxBytes };
    const announcedBytes = announcedBytesOf(message);
    return announcedBytes > COLLECTED_BODY_MAX_BYTES &&
        announcedBytes <= bodyMaxBytes
      ? this.#stream(request, [])
      : await this.#collect(request, deadlineMs);
  }

  #collect(request: ReadRequest, deadlineMs: number): Promise<RequestBody> {
    const { message, response, state, bodyMaxBytes } = request;
    const { memory, costlyBodies, progressChecks, collection } = this.#bounds;
    return new Promise((resolve, reject) => {
      const endReceiving = () => {
        clearTimeout(deadlineTimer);
        progressChecks.delete(reception);
        // The body of a later request may be received when this one has ended.
        if (state.reception === reception) {
          state.reception = undefined;
          state.forwardedCount++;
        }
      };
      const reception = new BodyReception(message, {
        memory,
        costlyBodies,
        bodyMaxBytes,
        collectedMaxBytes: COLLECTED_BODY_MAX_BYTES,
        onComplete: (body) => {
          endReceiving();
          if (mayForward(memory, body?.length ?? 0)) {
            resolve(body as Buffer | null);
            return;
          }
          reception.end();
          reject(this.#refuse(request, "memory_short"));
        },
        onLarge: (parts) => {
          endReceiving();
          try {
            resolve(this.#stream(request, parts));
          } catch (error) {
            reject(error);
          }
        },
        onRefused: (kind) => {
          endReceiving();
          reject(this.#refuse(request, kind));
        },
      });
      // A request whose body is being received has not been forwarded.
      state.reception = reception;
      state.forwardedCount--;
      progressChecks.add(reception);
      const deadlineTimer = setTimeout(
        () => reception.expire(),
        Math.max(0, deadlineMs - this.#nowMs()),
      );
      response.once("close", () => {
        endReceiving();
        reception.end();
        collection.endBody(reception.receivedBytes, performance.now());
        reject(new Error("The caller disconnected"));
      });
      reception.start();
    });
  }

  /**
   * Passes a body on while it is received. Its request may run before it is
   * complete.
   */
  #stream(request: ReadRequest, parts: readonly Buffer[]): RequestBody {
    const { message, response, bodyMaxBytes } = request;
    const { streamedBodies, costlyBodies, progressChecks } = this.#bounds;
    if (!streamedBodies.admit()) {
      throw this.#refuse(request, "memory_short");
    }
    const body = new StreamedBody(message, {
      bodyMaxBytes,
      costlyBodies,
      onBroken: (kind) => this.#record(kind, body.receivedBytes),
    });
    progressChecks.add(body);
    response.once("close", () => {
      progressChecks.delete(body);
      streamedBodies.end();
      body.end();
    });
    // The rest of an incomplete body follows, so the connection cannot be reused.
    response.once("finish", () => {
      if (!message.complete) {
        message.socket.destroySoon();
      }
    });
    body.start(parts);
    return body;
  }

  #refuse(
    { message, response, state }: ReadRequest,
    kind: BodyRefusal,
  ): RelayError {
    this.#record(kind, announcedBytesOf(message));
    // The rest of the body follows, so no other request can be read.
    state.isClosing = true;
    response.shouldKeepAlive = false;
    // What is still read is discarded: chunks of one byte in the queues of
    // paused requests took a process to 387 MB, where it ended.
    message.resume();
    // Node.js would close the connection an iteration of the event loop later,
    // after one more read.
    response.once("finish", () => message.socket.destroy());
    return new RelayError(kind, `Body refused: ${kind}`);
  }

  #record(kind: BodyRefusal, bodyBytes: number): void {
    this.#bounds.refusals.record(kind, {
      listener: this.#listener,
      heldBytes: this.#bounds.memory.heldBytes,
      bodyBytes,
    });
  }
}
