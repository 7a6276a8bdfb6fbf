/** TCP relay that produces network failures in tests. */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Direction of bytes. */
export type Direction = "toTarget" | "toClient";

/** What happens to the bytes of one direction. */
export type DirectionMode =
  /** Bytes are passed on after the delay. */
  | "pass"
  /** Bytes stay in the sockets until the mode changes. */
  | "hold"
  /** Bytes are read and dropped, as a partition in one direction does. */
  | "drop";

type Link = { client: Socket; target: Socket };

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
  readonly #links = new Set<Link>();
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
   * Shows all bytes that are passed on.
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

  /** Connections that are open. */
  get linksCount(): number {
    return this.#links.size;
  }

  /**
   * Sets what happens to the bytes of a direction.
   *
   * @param direction Direction of the bytes.
   * @param mode Treatment of the bytes.
   */
  setMode(direction: Direction, mode: DirectionMode): void {
    this.#modes[direction] = mode;
    for (const link of this.#links) {
      this.#applyMode(link, direction);
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
   * Closes all open connections in both directions. Node.js 20 spun in native
   * code after `resetAndDestroy`, so that the sockets are destroyed instead;
   * the system sends a reset when bytes are unread.
   */
  reset(): void {
    for (const { client, target } of this.#links) {
      client.destroy();
      target.destroy();
    }
    this.#links.clear();
  }

  /**
   * Waits until a number of bytes has arrived in a direction, dropped and held
   * ones not included.
   *
   * @param direction Direction of the bytes.
   * @param bytesCount Bytes since the start of the relay.
   */
  async waitForBytes(direction: Direction, bytesCount: number): Promise<void> {
    while (this.#passedBytes[direction] < bytesCount) {
      await new Promise<void>((resolve) => this.#waiters.push(resolve));
    }
  }

  /** Closes everything. */
  close(): void {
    this.#server.close();
    this.reset();
  }

  #accept(client: Socket): void {
    client.on("error", () => {});
    const target = connect(this.#targetPort, LOOPBACK);
    target.on("error", () => client.destroy());
    const link = { client, target };
    this.#links.add(link);
    this.#connect(link, "toTarget");
    this.#connect(link, "toClient");
    for (const socket of [client, target]) {
      socket.setNoDelay(true);
      socket.on("close", () => {
        this.#links.delete(link);
        client.destroy();
        target.destroy();
      });
    }
  }

  #connect(link: Link, direction: Direction): void {
    const { from, to } = endsOf(link, direction);
    from.on("data", (chunk: Buffer) => {
      if (this.#modes[direction] === "drop") {
        return;
      }
      this.#observer?.(direction, chunk);
      this.#later(() => this.#pass(link, direction, { chunk }));
      this.#count(direction, chunk.length);
    });
    from.on("end", () => this.#later(() => to.end()));
    this.#applyMode(link, direction);
  }

  /** A slow reader holds the writer back, as it would without the relay. */
  #pass(
    link: Link,
    direction: Direction,
    { chunk }: { chunk: Buffer },
  ): void {
    const { from, to } = endsOf(link, direction);
    if (to.writable && !to.write(chunk)) {
      from.pause();
      to.once("drain", () => this.#applyMode(link, direction));
    }
  }

  #applyMode(link: Link, direction: Direction): void {
    const { from } = endsOf(link, direction);
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

  #later(action: () => void): void {
    if (this.#delayMs === 0) {
      action();
      return;
    }
    setTimeout(action, this.#delayMs);
  }
}

function endsOf(
  { client, target }: Link,
  direction: Direction,
): { from: Socket; to: Socket } {
  return direction === "toTarget"
    ? { from: client, to: target }
    : { from: target, to: client };
}
