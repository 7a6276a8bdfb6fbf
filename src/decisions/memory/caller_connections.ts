/** Bound on the connections of callers. */
import { type CallerConnection, chooseClosed } from "./connection_order.ts";

/**
 * Part of the connections that is closed at once when there are too many, since
 * each choice looks at all of them.
 */
const CLOSED_RATIO = 1 / 64;

/** A connection that can be closed. */
export interface Closable {
  /** Closes the connection at once. */
  destroy(): unknown;
  /** Calls a function when the connection has closed. */
  once(event: "close", listener: () => void): unknown;
}

/** Body that is received on a connection. */
export type ReceivedBody = {
  /** Bytes that are held or announced. */
  readonly claimBytes: number;
  /** Monotonic time of the last bytes, in ms. */
  readonly progressAtMs: number;
};

/** State of a connection and of its requests. */
export class ConnectionState implements CallerConnection {
  readonly socket: Closable;
  /** Number of the newest request on the connection. */
  newestNumber = 0;
  /** Largest head that is read on the connection. */
  readonly headerMaxBytes: number;
  /** Whether the answer that closes the connection has been sent. */
  isClosing = false;
  /** @inheritdoc */
  forwardedCount = 0;
  /** Body that is being received; undefined without one. */
  reception: ReceivedBody | undefined;
  /** Monotonic time at which the last request ended, in ms. */
  endedAtMs = performance.now();

  /**
   * @param socket Connection.
   * @param headerMaxBytes Largest head that is read on it.
   */
  constructor(socket: Closable, headerMaxBytes: number) {
    this.socket = socket;
    this.headerMaxBytes = headerMaxBytes;
  }

  /** @inheritdoc */
  get receivingBytes(): number | undefined {
    return this.reception?.claimBytes;
  }

  /** @inheritdoc */
  get usedAtMs(): number {
    return this.reception?.progressAtMs ?? this.endedAtMs;
  }
}

/** Called when a connection is closed; with whether it is the new one. */
export type ClosedHandler = (options: { isNew: boolean }) => void;

/** Open connections of callers, at most as many as there are descriptors for. */
export class CallerConnections<S extends Closable = Closable> {
  readonly #maxCount: number;
  readonly #onClosed: ClosedHandler;
  readonly #states = new Map<S, ConnectionState>();

  /**
   * @param maxCount Maximum number of connections.
   * @param onClosed Called for each connection that is closed for another one.
   */
  constructor(maxCount: number, onClosed: ClosedHandler) {
    this.#maxCount = maxCount;
    this.#onClosed = onClosed;
  }

  /** Number of open connections. */
  get count(): number {
    return this.#states.size;
  }

  /** Open connections. */
  get sockets(): Iterable<S> {
    return this.#states.keys();
  }

  /** Open connections without a forwarded request. */
  get unforwardedSockets(): S[] {
    return [...this.#states]
      .filter(([, { forwardedCount }]) => forwardedCount === 0)
      .map(([socket]) => socket);
  }

  /**
   * Adds a new connection. If there are too many, others are closed, or this one
   * if all others have forwarded requests.
   *
   * @param socket Connection that was accepted.
   * @param options Largest head that is read on it.
   */
  add(socket: S, { headerMaxBytes = Infinity } = {}): void {
    if (this.#states.size >= this.#maxCount && !this.#makeRoom()) {
      this.#onClosed({ isNew: true });
      socket.destroy();
      return;
    }
    this.#states.set(socket, new ConnectionState(socket, headerMaxBytes));
    socket.once("close", () => this.#states.delete(socket));
  }

  /**
   * Returns the state of a connection.
   *
   * @param socket Connection.
   * @returns Its state; undefined if it was closed.
   */
  find(socket: S): ConnectionState | undefined {
    return this.#states.get(socket);
  }

  #makeRoom(): boolean {
    const closed = chooseClosed(this.#states.values(), {
      count: Math.max(1, Math.floor(this.#maxCount * CLOSED_RATIO)),
      nowMs: performance.now(),
    });
    for (const { socket } of closed) {
      this.#states.delete(socket as S);
      this.#onClosed({ isNew: false });
      socket.destroy();
    }
    return closed.length > 0;
  }
}
