/** Persistent connections to the upstream, and the choice of one per request. */
import { Client, type Dispatcher, errors } from "undici";
import {
  chooseConnection,
  type ConnectionUse,
  insertIdle,
} from "../decisions/placement/choose_connection.ts";

/** undici handler that tells when its exchange no longer needs the connection. */
export interface ConnectionHandler extends Dispatcher.DispatchHandler {
  /**
   * Set before the exchange starts; called once at its end, before anything
   * else, with whether a complete answer has arrived.
   */
  onConnectionFree: ((isAnswered: boolean) => void) | undefined;
  /**
   * Set while the request waits for a connection; removes it from the queue
   * without a result.
   */
  stopWaiting?: (() => void) | undefined;
}

type Connection = {
  readonly client: Client;
  isBusy: boolean;
  /** Monotonic time of the last complete answer, in ms. */
  answeredAtMs: number;
  readonly onFree: (isAnswered: boolean) => void;
};

type WaitingRequest = {
  options: Dispatcher.DispatchOptions;
  handler: ConnectionHandler;
  use: ConnectionUse;
};

/** Options of {@link UpstreamConnections}. */
export type UpstreamConnectionsOptions = {
  /** Maximum number of connections; further requests wait for one. */
  maxCount: number;
  /** Options of undici for each connection. */
  client: Client.Options;
};

/**
 * Dispatches requests over connections with one request at a time. All requests
 * share the connections, so that those that may be repeated keep them fresh for
 * those that may run once only.
 */
export class UpstreamConnections {
  readonly #origin: string;
  readonly #options: UpstreamConnectionsOptions;
  readonly #all = new Set<Connection>();
  /** Open connections without a request, with the newest answer last. */
  readonly #idle: Connection[] = [];
  readonly #waiting: WaitingRequest[] = [];
  #isDestroyed = false;

  /**
   * @param origin Origin of the upstream.
   * @param options Maximum number of connections, and options of undici.
   */
  constructor(origin: string, options: UpstreamConnectionsOptions) {
    this.#origin = origin;
    this.#options = options;
  }

  /**
   * Sends a request over an open connection or over a new one.
   *
   * @param options Request.
   * @param handler Receives the answer.
   * @param use Whether the request may run once only.
   */
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: ConnectionHandler,
    use: ConnectionUse,
  ): void {
    if (this.#isDestroyed) {
      queueMicrotask(() => failUnsent(handler));
      return;
    }
    const connection = this.#take(use);
    if (connection === undefined) {
      this.#wait({ options, handler, use });
      return;
    }
    send(connection, { options, handler });
  }

  /** Closes all connections. Requests that wait or follow fail. */
  async destroy(): Promise<void> {
    this.#isDestroyed = true;
    for (const { handler } of this.#waiting.splice(0)) {
      failUnsent(handler);
    }
    const connections = [...this.#all];
    this.#all.clear();
    this.#idle.length = 0;
    await Promise.all(connections.map(({ client }) => client.destroy()));
  }

  /** Takes a connection; undefined when the request has to wait. */
  #take(use: ConnectionUse): Connection | undefined {
    const index = chooseConnection(this.#idle, use, performance.now());
    if (index >= 0) {
      return this.#idle.splice(index, 1)[0];
    }
    if (this.#all.size >= this.#options.maxCount) {
      const [stale] = this.#idle;
      if (stale === undefined) {
        return undefined;
      }
      this.#remove(stale);
    }
    return this.#create();
  }

  #create(): Connection {
    const client = new Client(this.#origin, this.#options.client);
    const connection: Connection = {
      client,
      isBusy: false,
      answeredAtMs: -Infinity,
      onFree: (isAnswered) => this.#release(connection, isAnswered),
    };
    client.on("disconnect", () => {
      // undici opens a new connection for a request that has not been written.
      if (!connection.isBusy) {
        this.#remove(connection);
        this.#startWaiting();
      }
    });
    this.#all.add(connection);
    return connection;
  }

  #release(connection: Connection, isAnswered: boolean): void {
    connection.isBusy = false;
    if (isAnswered) {
      connection.answeredAtMs = performance.now();
      this.#idle.push(connection);
      this.#startWaiting();
      return;
    }
    // undici reports the failure of an exchange before it closes the connection.
    queueMicrotask(() => this.#releaseFailed(connection));
  }

  /** Keeps a connection if its request has failed before it was written. */
  #releaseFailed(connection: Connection): void {
    if (connection.client.stats.connected && this.#all.has(connection)) {
      insertIdle(this.#idle, connection);
    } else {
      this.#remove(connection);
    }
    this.#startWaiting();
  }

  #remove(connection: Connection): void {
    const index = this.#idle.indexOf(connection);
    if (index >= 0) {
      this.#idle.splice(index, 1);
    }
    if (this.#all.delete(connection)) {
      connection.client.destroy().catch(() => {});
    }
  }

  #wait(request: WaitingRequest): void {
    this.#waiting.push(request);
    request.handler.stopWaiting = () => {
      const index = this.#waiting.indexOf(request);
      if (index >= 0) {
        this.#waiting.splice(index, 1);
      }
    };
  }

  /** Sends the request that has waited longest if there is a connection. */
  #startWaiting(): void {
    const [next] = this.#waiting;
    const connection = next && this.#take(next.use);
    if (next !== undefined && connection !== undefined) {
      this.#waiting.shift();
      next.handler.stopWaiting = undefined;
      send(connection, next);
    }
  }
}

/** Sends a request over a connection that is not busy. */
function send(
  connection: Connection,
  { options, handler }: Omit<WaitingRequest, "use">,
): void {
  connection.isBusy = true;
  handler.onConnectionFree = connection.onFree;
  connection.client.dispatch(options, handler);
}

/** Reports that a request has failed before it was given a connection. */
function failUnsent(handler: ConnectionHandler): void {
  // There is no controller without a connection, nor does undici pass one then.
  handler.onResponseError?.(
    undefined as unknown as Dispatcher.DispatchController,
    new errors.ClientDestroyedError(),
  );
}
