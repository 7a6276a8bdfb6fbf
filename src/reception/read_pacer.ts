/** Spreads costly reads of many connections over iterations of the event loop. */
import type { Socket } from "node:net";
import { continueConnection, stopConnection } from "../core/stop_reading.ts";

/**
 * Time that reads may take in one iteration of the event loop before the other
 * connections wait for the next one.
 */
const ITERATION_MAX_MS = 50;
/** Connections that are read in the first iteration after that. */
const INITIAL_BATCH_COUNT = 4;

/**
 * Bounds how long the event loop is held by reads. Node.js reads all connections
 * that are ready in one iteration, and a read of 64 KB may take 20 ms, for
 * example with a body in chunks of one byte. Once the reads of an iteration have
 * taken too long, the other connections are stopped and then continued in
 * batches: larger ones while the reads are cheap, smaller ones while they are not.
 *
 * @example
 * const pacer = new ReadPacer(() => connections.sockets);
 * server.on("connection", (socket) => pacer.accept(socket));
 * server.on("request", () => pacer.recordRead());
 */
export class ReadPacer {
  readonly #sockets: () => Iterable<Socket>;
  readonly #nowMs: () => number;
  readonly #held = new Set<Socket>();
  #batchCount = INITIAL_BATCH_COUNT;
  #readingSinceMs: number | undefined;
  #hasHeld = false;

  /**
   * @param sockets Returns the open connections that may wait.
   * @param options Reads the monotonic clock, in ms.
   */
  constructor(
    sockets: () => Iterable<Socket>,
    { nowMs = () => performance.now() }: { nowMs?: () => number } = {},
  ) {
    this.#sockets = sockets;
    this.#nowMs = nowMs;
  }

  /** Number of connections that wait to be read. */
  get heldCount(): number {
    return this.#held.size;
  }

  /**
   * Lets a new connection wait behind the others, if there are some.
   *
   * @param socket Connection that was accepted.
   */
  accept(socket: Socket): void {
    if (this.#held.size > 0) {
      this.#hold(socket);
    }
  }

  /** Records that a connection is being read; called before its request is. */
  recordRead(): void {
    const nowMs = this.#nowMs();
    if (this.#readingSinceMs === undefined) {
      this.#readingSinceMs = nowMs;
      // Runs after the reads of this iteration.
      setImmediate(() => this.#endIteration());
      return;
    }
    if (!this.#hasHeld && nowMs - this.#readingSinceMs >= ITERATION_MAX_MS) {
      this.#hasHeld = true;
      for (const socket of this.#sockets()) {
        this.#hold(socket);
      }
    }
  }

  #hold(socket: Socket): void {
    // A connection that others have stopped is continued by them.
    if (socket.isPaused() || socket.destroyed) {
      return;
    }
    stopConnection(socket);
    this.#held.add(socket);
  }

  #endIteration(): void {
    this.#readingSinceMs = undefined;
    if (this.#held.size === 0) {
      this.#batchCount = INITIAL_BATCH_COUNT;
      this.#hasHeld = false;
      return;
    }
    this.#continueBatch();
    this.#batchCount = this.#hasHeld
      ? Math.max(1, Math.floor(this.#batchCount / 2))
      : this.#batchCount * 2;
    this.#hasHeld = false;
    this.#readingSinceMs = this.#nowMs();
    setImmediate(() => this.#endIteration());
  }

  #continueBatch(): void {
    const batch = [...this.#held].slice(0, this.#batchCount);
    for (const socket of batch) {
      this.#held.delete(socket);
      continueConnection(socket);
    }
  }
}
