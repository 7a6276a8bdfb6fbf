/** Finds callers that do not read their answers. */

/** Time in which a caller takes an answer of any size, in ms. */
const UNREAD_MAX_MS = 60_000;
/** Slowest rate at which a caller takes a large answer. */
const RATE_MIN_BYTES_PER_MS = 1;
/**
 * Longest time between two checks that counts. A process that was paused could
 * not write, so the rest of the time is no fault of the caller.
 */
const CHECK_MAX_MS = 2_000;

/** Connection to a caller. */
export interface AnsweredConnection {
  /** Bytes that are written and that the operating system has not taken. */
  readonly writableLength: number;
}

/** Unsent bytes of a connection, and for how long they have not changed. */
type Unsent = { bytes: number; forMs: number };

/**
 * Finds the connections whose callers take no bytes of their answers. The time
 * without a change is longer for more unsent bytes, because an answer is written
 * as a whole, and a slow caller that takes a part of it changes nothing.
 *
 * @example
 * const answers = new UnreadAnswers();
 * // At an interval:
 * for (const socket of answers.check(sockets, nowMs)) socket.destroy();
 */
export class UnreadAnswers<C extends AnsweredConnection> {
  #unsent = new Map<C, Unsent>();
  #checkedAtMs = 0;

  /**
   * Looks at all connections.
   *
   * @param connections Open connections.
   * @param nowMs Monotonic time, in ms.
   * @returns Connections to close.
   */
  check(connections: Iterable<C>, nowMs: number): C[] {
    const elapsedMs = Math.min(nowMs - this.#checkedAtMs, CHECK_MAX_MS);
    this.#checkedAtMs = nowMs;
    const unsent = new Map<C, Unsent>();
    for (const connection of connections) {
      const bytes = connection.writableLength;
      if (bytes === 0) {
        continue;
      }
      const earlier = this.#unsent.get(connection);
      const forMs = earlier?.bytes === bytes ? earlier.forMs + elapsedMs : 0;
      unsent.set(connection, { bytes, forMs });
    }
    this.#unsent = unsent;
    return [...unsent]
      .filter(([, { bytes, forMs }]) =>
        forMs > UNREAD_MAX_MS + bytes / RATE_MIN_BYTES_PER_MS
      )
      .map(([connection]) => connection);
  }
}
