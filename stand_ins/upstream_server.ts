/** Upstream stand-in: one HTTP service with slots, and its control listener. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { json } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import { request as sendRequest } from "undici";
import { SeededRandom } from "../src/core/random.ts";
import { LoadReporter } from "./load_reporter.ts";
import {
  type RequestRecord,
  type UpstreamBehaviour,
  upstreamBehaviourSchema,
  type UpstreamSettings,
} from "./upstream_settings.ts";
import {
  type AnswerSpec,
  callNext,
  discardBody,
  NextCallError,
  parseAnswerSpec,
  writeAnswer,
} from "./upstream_work.ts";
import { WorkSlots } from "./work_slots.ts";

/** Ports that an upstream stand-in listens on. */
export type UpstreamPorts = { port: number; controlPort: number };

const DEFAULT_TENANT = "default";
const ANNOUNCE_RETRY_MS = 500;

function listen(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(
      port,
      host,
      () => resolve((server.address() as AddressInfo).port),
    );
  });
}

function refuse(response: ServerResponse): void {
  response.writeHead(503, { "goldcrest-outcome": "not-run" }).end();
}

function readHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === "string" ? value : "";
}

/**
 * Service whose requests take effect as soon as they get a slot. This is the
 * hardest case for a daemon that must state whether a request took effect.
 *
 * @example
 * const upstream = new UpstreamServer(upstreamSettingsSchema.parse({ pool: "plates" }));
 * const { port, controlPort } = await upstream.start();
 */
export class UpstreamServer {
  /** All requests that arrived, in order, except those for the load report. */
  readonly requests: RequestRecord[] = [];
  readonly #settings: UpstreamSettings;
  readonly #slots: WorkSlots;
  readonly #loadReporter = new LoadReporter();
  readonly #random: SeededRandom;
  readonly #stopped = new AbortController();
  readonly #server = createServer((request, response) => {
    void this.#handle(request, response);
  });
  readonly #control = createServer((request, response) => {
    this.#handleControl(request, response).catch((error: unknown) => {
      response.writeHead(400).end(String(error));
    });
  });
  #behaviour: UpstreamBehaviour;
  #startedMs = 0;

  /**
   * @param settings Checked settings.
   */
  constructor(settings: UpstreamSettings) {
    this.#settings = settings;
    this.#behaviour = settings.behaviour;
    this.#slots = new WorkSlots(settings.behaviour.slotsCount);
    this.#random = new SeededRandom(settings.seed);
  }

  /**
   * Binds both listeners and announces the service to its daemon until the
   * daemon accepts it.
   *
   * @returns The bound ports.
   */
  async start(): Promise<UpstreamPorts> {
    const { host, port, controlPort, announceUrl } = this.#settings;
    this.#startedMs = performance.now();
    const ports = {
      port: await listen(this.#server, host, port),
      controlPort: await listen(this.#control, host, controlPort),
    };
    if (announceUrl !== undefined) {
      void this.#announce(announceUrl, ports.port);
    }
    return ports;
  }

  /**
   * Stops announcing and closes both listeners and all connections, without
   * waiting for running requests.
   */
  stop(): void {
    this.#stopped.abort();
    for (const server of [this.#server, this.#control]) {
      server.close();
      server.closeAllConnections();
    }
  }

  /**
   * Changes the behaviour.
   *
   * @param change Fields to change.
   */
  changeBehaviour(change: Partial<UpstreamBehaviour>): void {
    this.#behaviour = { ...this.#behaviour, ...change };
    this.#slots.resize(this.#behaviour.slotsCount);
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === "/load") {
      this.#answerLoad(response);
      return;
    }
    const spec = parseAnswerSpec(request.url ?? "/");
    const record = this.#record(request, spec);
    if (this.#mustShed()) {
      record.state = "shed";
      request.resume();
      refuse(response);
      return;
    }
    const abort = new AbortController();
    response.once(
      "close",
      () => abort.abort(new Error("The caller closed the connection")),
    );
    const deadline = this.#startDeadline(request, response, abort);
    try {
      await discardBody(request);
      await this.#run(record, { response, spec, signal: abort.signal });
    } catch (error) {
      this.#answerFailure(record, response, error);
    } finally {
      clearTimeout(deadline);
    }
  }

  async #run(
    record: RequestRecord,
    options: {
      response: ServerResponse;
      spec: AnswerSpec;
      signal: AbortSignal;
    },
  ): Promise<void> {
    const { response, spec, signal } = options;
    const { tenant } = record;
    const taken = this.#slots.acquire(signal);
    this.#recordLoad();
    await taken;
    const sinceMs = performance.now();
    record.effect = true;
    record.state = "running";
    try {
      await sleep(this.#serviceMs(), undefined, { signal });
      await callNext(this.#behaviour, record, { signal });
      if (this.#behaviour.refusesAfterNext) {
        refuse(response);
        return;
      }
      await writeAnswer(response, { tenant, spec }, { signal });
      record.state = "done";
    } finally {
      record.workMs = performance.now() - sinceMs;
      this.#slots.release();
      this.#recordLoad();
    }
  }

  #answerFailure(
    record: RequestRecord,
    response: ServerResponse,
    error: unknown,
  ): void {
    if (error instanceof NextCallError) {
      record.state = "failed";
      response.writeHead(error.status >= 500 ? 503 : 500).end();
      return;
    }
    record.state = response.destroyed ? "cancelled" : "failed";
    if (response.headersSent) {
      response.destroy();
      return;
    }
    response.writeHead(500).end();
  }

  #startDeadline(
    request: IncomingMessage,
    response: ServerResponse,
    abort: AbortController,
  ): NodeJS.Timeout | undefined {
    const text = readHeader(request, "goldcrest-deadline-ms");
    if (text === "") {
      return undefined;
    }
    return setTimeout(() => {
      // The deadline covers only the time until the head of the answer.
      if (!response.headersSent) {
        abort.abort(new Error("The deadline passed"));
      }
    }, Number(text));
  }

  #record(request: IncomingMessage, spec: AnswerSpec): RequestRecord {
    const record: RequestRecord = {
      requestId: readHeader(request, "goldcrest-request-id"),
      tenant: readHeader(request, "goldcrest-tenant") || DEFAULT_TENANT,
      key: readHeader(request, "idempotency-key"),
      token: spec.token,
      path: request.url ?? "",
      state: "waiting",
      effect: false,
      workMs: 0,
    };
    this.requests.push(record);
    return record;
  }

  #mustShed(): boolean {
    const { shedding, draining, queueMaxCount } = this.#behaviour;
    return shedding || draining ||
      this.#slots.waitingCount > queueMaxCount;
  }

  #serviceMs(): number {
    const { serviceMs, spreadRatio, coldStartMs, coldStartFactor } =
      this.#behaviour;
    const spread = 1 + spreadRatio * (2 * this.#random.nextFloat() - 1);
    const ageMs = performance.now() - this.#startedMs;
    const cold = coldStartMs === 0 ? 0 : Math.max(0, 1 - ageMs / coldStartMs);
    return serviceMs * spread * (1 + (coldStartFactor - 1) * cold);
  }

  #recordLoad(): void {
    const { runningCount, waitingCount } = this.#slots;
    this.#loadReporter.record(runningCount + waitingCount, performance.now());
  }

  #answerLoad(response: ServerResponse): void {
    const { loadReport, slotsCount } = this.#behaviour;
    const inFlightCount = this.#loadReporter.report(
      loadReport,
      performance.now(),
    );
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({ inFlightCount, slotsCount }));
  }

  /**
   * `POST /behaviour` changes fields. Any other request, by convention
   * `GET /effects`, lists the recorded requests.
   */
  async #handleControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === "POST" && request.url === "/behaviour") {
      const change = upstreamBehaviourSchema.partial()
        .parse({ ...this.#behaviour, ...(await json(request) as object) });
      this.changeBehaviour(change);
      response.end("{}");
      return;
    }
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify(this.requests));
  }

  async #announce(announceUrl: string, port: number): Promise<void> {
    const { pool, host, connectionsMaxCount } = this.#settings;
    const { signal } = this.#stopped;
    const body = JSON.stringify({
      pool,
      host,
      port,
      slotsCount: this.#behaviour.slotsCount,
      connectionsMaxCount,
    });
    while (!signal.aborted) {
      const status = await sendRequest(`${announceUrl}/announce`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body,
        signal,
      }).then(async (answer) => {
        await answer.body.dump();
        return answer.statusCode;
      }).catch(() => 0);
      if (status >= 200 && status < 300) {
        return;
      }
      await sleep(ANNOUNCE_RETRY_MS, undefined, { signal }).catch(() => {});
    }
  }
}
