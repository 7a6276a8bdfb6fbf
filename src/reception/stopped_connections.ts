/** Connections that are not read, except to notice that their caller has left. */
import type { Socket } from "node:net";
import { continueConnection, stopConnection } from "../core/stop_reading.ts";

/** Time from the end of a read of a stopped connection to its next one, in ms. */
const READ_INTERVAL_MS = 250;
/** Least time between reads of any two stopped connections, in ms. */
const TURN_MS = 50;

/**
 * Stops connections whose callers send more than is handled. Since a disconnect
 * is only noticed by a read, each one is read once per interval, one connection
 * at a time.
 *
 * @example
 * stopped.stop(socket);
 * // With each part that is read, because several reads may follow each other:
 * message.on("data", () => stopped.stop(socket));
 */
export class StoppedConnections {
  /** Monotonic time of the last stop of each connection, in ms, oldest first. */
  readonly #stoppedAtMs = new Map<Socket, number>();
  readonly #onClose: (this: Socket) => void;
  #timer: NodeJS.Timeout | undefined;

  constructor() {
    const stoppedAtMs = this.#stoppedAtMs;
    this.#onClose = function () {
      stoppedAtMs.delete(this);
    };
  }

  /**
   * Stops a connection until it closes or is continued.
   *
   * @param socket Connection; nothing happens if it is stopped or closed.
   */
  stop(socket: Socket): void {
    if (socket.destroyed) {
      return;
    }
    if (!this.#stoppedAtMs.has(socket)) {
      this.#stoppedAtMs.set(socket, performance.now());
      socket.once("close", this.#onClose);
      this.#timer ??= setTimeout(() => this.#readNext(), READ_INTERVAL_MS);
    }
    stopConnection(socket);
  }

  /**
   * Continues a connection.
   *
   * @param socket Connection; nothing happens if it is not stopped.
   */
  continue(socket: Socket): void {
    if (this.#stoppedAtMs.delete(socket)) {
      socket.off("close", this.#onClose);
      continueConnection(socket);
    }
  }

  #readNext(): void {
    this.#timer = undefined;
    const [next] = this.#stoppedAtMs;
    if (next === undefined) {
      return;
    }
    this.#timer = setTimeout(() => this.#readNext(), TURN_MS);
    const [socket, stoppedAtMs] = next;
    const nowMs = performance.now();
    if (nowMs - stoppedAtMs < READ_INTERVAL_MS) {
      return;
    }
    this.#stoppedAtMs.delete(socket);
    this.#stoppedAtMs.set(socket, nowMs);
    continueConnection(socket);
    // Runs after the reads of this iteration.
    setImmediate(() => {
      if (this.#stoppedAtMs.has(socket)) {
        stopConnection(socket);
      }
    });
  }
}
