/** TCP relay that produces network failures in tests. */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Direction of a transfer through the relay. */
export type Direction = "toTarget" | "toClient";

/** What the relay does with the bytes of one direction. */
export type DirectionMode =
  /** Bytes are passed on after the delay. */
  | "pass"
  /** Bytes stay in the sockets until the mode changes. */
  | "hold"
  /** Bytes are read and dropped, as a partition in one direction does. */
  | "drop";

type Connection = {
  readonly client: Socket;
  readonly target: Socket;
  /** Whether it passes nothing on any more. */
  isSilent: boolean;
};

const LOOPBACK = "127.0.0.1";

/**
 * Relays TCP connections to one port.
 *
 * @example
 * const relay = new TcpRelay(targetPort);
 * const port = await relay.listen();
 * relay.setMode("toClient", "hold");
 * relay.reset();
 */
export class TcpRelay {
  readonly #connections = new Set<Connection>();
  readonly #modes: Record<Direction, DirectionMode> = {
    toTarget: "pass",
    toClient: "pass",
  };
  readonly #passedBytes: Record<Direction, number> = {
    toTarget: 0,
    toClient: 0,
  };
  readonly #server: Server;
  readonly #targetPort: number;
  #observer: ((direction: Direction, chunk: Buffer) => void) | undefined;
  #delayMs = 0;
  #waiters: (() => void)[] = [];

  /**
   * @param targetPort Port on the loopback interface.
   */
  constructor(targetPort: number) {
    this.#targetPort = targetPort;
    this.#server = createServer((client) => this.#accept(client));
  }

  /**
   * Reports all bytes that are passed on, in place of an earlier observer.
   *
   * @param observer Receives each chunk in order.
   */
  observe(observer: (direction: Direction, chunk: Buffer) => void): void {
    this.#observer = observer;
  }

  /**
   * Starts to listen.
   *
   * @returns Port of the relay.
   */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.#server.listen(
        0,
        LOOPBACK,
        () => resolve((this.#server.address() as AddressInfo).port),
      );
    });
  }

  /** Number of open connections. */
  get connectionsCount(): number {
    return this.#connections.size;
  }

  /**
   * Sets the treatment of the bytes of a direction.
   *
   * @param direction Direction of the bytes.
   * @param mode Whether bytes are passed on, held or dropped.
   */
  setMode(direction: Direction, mode: DirectionMode): void {
    this.#modes[direction] = mode;
    for (const connection of this.#connections) {
      this.#applyMode(connection, direction);
    }
  }

  /**
   * Makes the open connections pass nothing on any more, in either direction,
   * although they stay open. Later connections are not affected.
   */
  silence(): void {
    for (const connection of this.#connections) {
      connection.isSilent = true;
    }
  }

  /**
   * Delays all bytes.
   *
   * @param delayMs Delay in each direction, in ms.
   */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /**
   * Closes all open connections in both directions. The sockets are destroyed,
   * because Node.js 20 spun in native code after `resetAndDestroy`; the
   * operating system sends a reset when unread bytes are left.
   */
  reset(): void {
    for (const { client, target } of this.#connections) {
      client.destroy();
      target.destroy();
    }
    this.#connections.clear();
  }

  /**
   * Waits until the relay has received a number of bytes in a direction. Dropped
   * and held bytes do not count; delayed ones count when they arrive.
   *
   * @param direction Direction of the bytes.
   * @param bytesCount Bytes since the start of the relay.
   */
  async waitForBytes(direction: Direction, bytesCount: number): Promise<void> {
    while (this.#passedBytes[direction] < bytesCount) {
      await new Promise<void>((resolve) => this.#waiters.push(resolve));
    }
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.#server.close();
    this.reset();
  }

  #accept(client: Socket): void {
    client.on("error", () => {});
    const target = connect(this.#targetPort, LOOPBACK);
    target.on("error", () => client.destroy());
    const connection = { client, target, isSilent: false };
    this.#connections.add(connection);
    this.#relayDirection(connection, "toTarget");
    this.#relayDirection(connection, "toClient");
    for (const socket of [client, target]) {
      socket.setNoDelay(true);
      socket.on("close", () => {
        this.#connections.delete(connection);
        client.destroy();
        target.destroy();
      });
    }
  }

  #relayDirection(connection: Connection, direction: Direction): void {
    const { from, to } = endsOf(connection, direction);
    from.on("data", (chunk: Buffer) => {
      if (this.#modes[direction] === "drop" || connection.isSilent) {
        return;
      }
      this.#observer?.(direction, chunk);
      this.#afterDelay(() => this.#forward(connection, direction, { chunk }));
      this.#count(direction, chunk.length);
    });
    from.on("end", () => this.#afterDelay(() => to.end()));
    this.#applyMode(connection, direction);
  }

  /**
   * Writes a chunk, and stops reading while the receiver's buffer is full, so
   * that a slow receiver slows the sender as it would without the relay.
   */
  #forward(
    connection: Connection,
    direction: Direction,
    { chunk }: { chunk: Buffer },
  ): void {
    const { from, to } = endsOf(connection, direction);
    if (to.writable && !to.write(chunk)) {
      from.pause();
      to.once("drain", () => this.#applyMode(connection, direction));
    }
  }

  #applyMode(connection: Connection, direction: Direction): void {
    const { from } = endsOf(connection, direction);
    if (this.#modes[direction] === "hold") {
      from.pause();
      return;
    }
    from.resume();
  }

  #count(direction: Direction, bytesCount: number): void {
    this.#passedBytes[direction] += bytesCount;
    const waiters = this.#waiters;
    this.#waiters = [];
    waiters.forEach((resolve) => resolve());
  }

  #afterDelay(action: () => void): void {
    if (this.#delayMs === 0) {
      action();
      return;
    }
    setTimeout(action, this.#delayMs);
  }
}

function endsOf(
  { client, target }: Connection,
  direction: Direction,
): { from: Socket; to: Socket } {
  return direction === "toTarget"
    ? { from: client, to: target }
    : { from: target, to: client };
}
