/**
 * HTTP server of the platform stand-in.
 *
 * - `GET /objects/KIND/NAME`: the value; `ETag` holds the version.
 * - `PUT /objects/KIND/NAME`: conditional write with `If-Match: "VERSION"` or
 *   `If-None-Match: *`; 412 on a conflict, 413 over the value limit, 428 without
 *   a precondition.
 * - `GET /objects/KIND`: `{ "objects": [...] }`.
 * - `GET /watch/KIND`: JSON lines, one object a line; first the current
 *   objects, then each write. An empty line is sent every 5 s.
 * - `POST /control/faults`, `GET /control/counters`: not part of the API and not
 *   subject to the faults and rate limits.
 *
 * A call over a rate limit is answered with 429.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { faultsSchema, FaultSwitches } from "./platform_faults.ts";
import {
  DEFAULT_LIMITS,
  type PlatformCounters,
  type PlatformLimits,
  PlatformRateLimiter,
} from "./platform_limits.ts";
import {
  type ObjectKey,
  type PlatformObject,
  PlatformStore,
  type WriteCondition,
} from "./platform_store.ts";

const WATCH_HEARTBEAT_MS = 5_000;
const RETRY_AFTER_S = "1";

type Exchange = { request: IncomingMessage; response: ServerResponse };

function sendJson(response: ServerResponse, status: number, body: unknown) {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

function readCondition(request: IncomingMessage): WriteCondition | undefined {
  if (request.headers["if-none-match"] === "*") {
    return { expectedVersion: "absent" };
  }
  const match = /^"(\d+)"$/.exec(request.headers["if-match"] ?? "");
  return match === null ? undefined : { expectedVersion: Number(match[1]) };
}

/** Options of {@link PlatformServer}. */
export type PlatformServerOptions = {
  limits?: Partial<PlatformLimits>;
};

/**
 * The platform's object API on one port.
 *
 * @example
 * const platform = new PlatformServer();
 * const port = await platform.listen(0);
 */
export class PlatformServer {
  readonly store = new PlatformStore();
  readonly faults = new FaultSwitches();
  readonly #limiter: PlatformRateLimiter;
  readonly #server: Server;
  readonly #watches = new Set<ServerResponse>();

  /**
   * @param options Limits that differ from the default ones.
   */
  constructor(options: PlatformServerOptions = {}) {
    this.#limiter = new PlatformRateLimiter({
      ...DEFAULT_LIMITS,
      ...options.limits,
    });
    this.#server = createServer((request, response) => {
      this.#serve({ request, response }).catch(() => response.destroy());
    });
  }

  /** Counters since the start. */
  get counters(): PlatformCounters {
    return this.#limiter.counters;
  }

  /**
   * Starts to listen on the loopback address.
   *
   * @param port Port; 0 lets the system choose.
   * @returns The port.
   */
  async listen(port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes the listener and all connections. */
  async close(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  async #serve(exchange: Exchange): Promise<void> {
    const url = new URL(exchange.request.url ?? "/", "http://platform");
    const [area, kind, name] = url.pathname.slice(1).split("/")
      .map(decodeURIComponent);
    if (area === "control") {
      return this.#control(exchange, kind);
    }
    if (this.faults.slowMs > 0) {
      await delay(this.faults.slowMs);
    }
    if (this.faults.down) {
      this.counters.downCount++;
      exchange.request.socket.destroy();
      return;
    }
    return this.#route(exchange, { area, kind, name });
  }

  async #route(
    exchange: Exchange,
    path: { area?: string; kind?: string; name?: string },
  ): Promise<void> {
    const { area, kind, name } = path;
    const { method } = exchange.request;
    if (area === "watch" && kind && method === "GET") {
      return this.#runIfAdmitted(
        exchange,
        "watch",
        () => this.#watch(exchange, kind),
      );
    }
    if (area === "objects" && kind && name === undefined && method === "GET") {
      return this.#runIfAdmitted(
        exchange,
        "list",
        () =>
          sendJson(exchange.response, 200, { objects: this.store.list(kind) }),
      );
    }
    if (area === "objects" && kind && name && method === "GET") {
      return this.#runIfAdmitted(
        exchange,
        "read",
        () => this.#read(exchange, { kind, name }),
      );
    }
    if (area === "objects" && kind && name && method === "PUT") {
      return this.#runIfAdmitted(
        exchange,
        "write",
        () => this.#write(exchange, { kind, name }),
      );
    }
    sendJson(exchange.response, 404, { error: "No such path" });
  }

  async #runIfAdmitted(
    { response }: Exchange,
    kind: "read" | "list" | "write" | "watch",
    run: () => void | Promise<void>,
  ): Promise<void> {
    if (this.#limiter.admit(kind, performance.now())) {
      return run();
    }
    response.setHeader("retry-after", RETRY_AFTER_S);
    sendJson(response, 429, { error: "Rate limit exceeded" });
  }

  #read({ response }: Exchange, key: ObjectKey): void {
    const object = this.store.read(key);
    if (object === undefined) {
      return sendJson(response, 404, { error: "No such object" });
    }
    response.setHeader("etag", `"${object.version}"`);
    sendJson(response, 200, object.value);
  }

  async #write({ request, response }: Exchange, key: ObjectKey): Promise<void> {
    const body = await readBody(request);
    const condition = readCondition(request);
    if (condition === undefined) {
      return sendJson(response, 428, { error: "Precondition is required" });
    }
    if (body.length > this.#limiter.limits.valueMaxBytes) {
      return sendJson(response, 413, { error: "Value is too large" });
    }
    if (this.faults.consumeDroppedWrite()) {
      return void request.socket.destroy();
    }
    const value = JSON.parse(body.toString());
    const written = this.store.write(key, value, condition);
    if (written === undefined) {
      return sendJson(response, 412, { error: "Version conflict" });
    }
    if (this.faults.consumeLostAnswer()) {
      return void request.socket.destroy();
    }
    response.setHeader("etag", `"${written.version}"`);
    sendJson(response, 200, { version: written.version });
  }

  #watch({ response }: Exchange, kind: string): void {
    const send = (object: PlatformObject) =>
      response.write(`${JSON.stringify(object)}\n`);
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    response.flushHeaders();
    this.store.list(kind).forEach(send);
    const stop = this.store.watch(kind, send);
    const heartbeat = setInterval(
      () => response.write("\n"),
      WATCH_HEARTBEAT_MS,
    );
    this.#watches.add(response);
    this.counters.waitingWatchesCount = this.#watches.size;
    response.on("close", () => {
      stop();
      clearInterval(heartbeat);
      this.#watches.delete(response);
      this.counters.waitingWatchesCount = this.#watches.size;
    });
  }

  async #control({ request, response }: Exchange, name?: string) {
    if (name === "counters" && request.method === "GET") {
      return sendJson(response, 200, this.counters);
    }
    if (name !== "faults" || request.method !== "POST") {
      return sendJson(response, 404, { error: "No such path" });
    }
    const text = (await readBody(request)).toString();
    this.setFaults(JSON.parse(text));
    sendJson(response, 200, { ...this.faults });
  }

  /**
   * Sets fault switches and resets all watches when the platform goes down.
   *
   * @param change Value that satisfies the schema of the switches.
   */
  setFaults(change: unknown): void {
    this.faults.apply(faultsSchema.parse(change));
    if (this.faults.down) {
      this.#watches.forEach((response) => response.destroy());
    }
  }
}
