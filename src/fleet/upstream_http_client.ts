/** HTTP client for the local upstream, with persistent connections. */
import { buildConnector, Client } from "undici";
import type { Address } from "../schemas/common_schema.ts";
import type {
  ForwardedRequest,
  RequestHandle,
  ResultReceiver,
} from "../link/upstream_channel.ts";
import { AnswerMemory } from "./answer_memory.ts";
import { CloseDetector } from "./close_detector.ts";
import { findHeader, type HeaderNames } from "./header_names.ts";
import { readInSlices } from "./read_in_slices.ts";
import {
  readUpstreamSignals,
  type SignalsHandler,
} from "./upstream_signals.ts";
import { UpstreamConnections } from "./upstream_connections.ts";
import {
  type MisdirectedHandler,
  UpstreamExchange,
} from "./upstream_exchange.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const HEALTH_TIMEOUT_MS = 1_000;
/**
 * Maximum size of all answers that are being received. When it is exceeded, the
 * largest one is aborted, so a server that sends without end does not exhaust
 * the memory. An answer is copied on its way, and a process may have 250 MB.
 */
const ANSWERS_MAX_BYTES = 33_554_432;
/** Result of a successful health check. */
export type HealthResult = {
  readonly upstreamId: string;
  readonly slotsCount: number;
};

/** HTTP client for one upstream. */
export class UpstreamHttpClient {
  readonly #connections: UpstreamConnections;
  readonly #healthClient: Client;
  readonly #isIdempotent: (routeName: string) => boolean;
  readonly #closeDetector = new CloseDetector();
  readonly #memory = new AnswerMemory(ANSWERS_MAX_BYTES);
  readonly #names: HeaderNames;
  readonly #onMisdirected: MisdirectedHandler;
  readonly #onSignals: SignalsHandler;

  /**
   * @param address Address of the upstream.
   * @param names Header names.
   * @param options Maximum number of connections, whether the requests of a
   *   route are idempotent, and the handlers for answers of another upstream and
   *   for what the upstream says of itself.
   */
  constructor(
    address: Address,
    names: HeaderNames,
    options: {
      connectionsMaxCount: number;
      isIdempotent: (routeName: string) => boolean;
      onMisdirected: MisdirectedHandler;
      onSignals: SignalsHandler;
    },
  ) {
    this.#names = names;
    this.#onMisdirected = options.onMisdirected;
    this.#onSignals = options.onSignals;
    this.#isIdempotent = options.isIdempotent;
    const origin = `http://${address.host}:${address.port}`;
    const clientOptions: Client.Options = {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: this.#closeDetector.wrapConnector(
        readInSlices(buildConnector({ timeout: CONNECT_TIMEOUT_MS })),
      ),
    };
    this.#connections = new UpstreamConnections(origin, {
      maxCount: options.connectionsMaxCount,
      client: clientOptions,
    });
    this.#healthClient = new Client(origin, clientOptions);
  }

  /**
   * Sends a request.
   *
   * @param request Request, with its current remaining time.
   * @param receiver Receives the result.
   * @returns Handle to cancel it.
   */
  send(request: ForwardedRequest, receiver: ResultReceiver): RequestHandle {
    const names = this.#names;
    const exchange = new UpstreamExchange(receiver, {
      names,
      requestId: findHeader(request.headers, names.requestId),
      method: request.method,
      upstreamId: request.upstreamId,
      onMisdirected: this.#onMisdirected,
      onSignals: this.#onSignals,
      closeDetector: this.#closeDetector,
      memory: this.#memory,
    });
    this.#connections.dispatch(
      {
        method: request.method as "GET",
        path: request.path,
        headers: [
          ...request.headers,
          names.deadlineMs,
          String(Math.max(1, Math.floor(request.remainingMs))),
          names.targetUpstream,
          request.upstreamId,
          names.callerPool,
          request.callerPool,
        ],
        body: request.body as Buffer | null,
      },
      exchange,
      this.#isIdempotent(request.routeName) ? "repeatable" : "once",
    );
    return exchange;
  }

  /**
   * Checks the health of the upstream.
   *
   * @param healthPath Path of the health check.
   * @returns Id and number of slots; undefined when the upstream is not healthy,
   *   leaves, does not answer, or does not report its id and slots.
   */
  async checkHealth(healthPath: string): Promise<HealthResult | undefined> {
    try {
      const answer = await this.#healthClient.request({
        method: "GET",
        path: healthPath,
        signal: AbortSignal.timeout(HEALTH_TIMEOUT_MS),
      });
      await answer.body.dump();
      const names = this.#names;
      const upstreamId = answer.headers[names.upstreamId];
      const slots = String(answer.headers[names.load]).split(",")[2];
      const slotsCount = Number(slots);
      if (
        answer.statusCode !== 200 || typeof upstreamId !== "string" ||
        !(slotsCount > 0)
      ) {
        return undefined;
      }
      const signals = readUpstreamSignals(answer.headers, {
        upstreamId,
        names,
      });
      return signals.isLeaving ? undefined : { upstreamId, slotsCount };
    } catch {
      // An upstream that does not answer counts as unhealthy until its next
      // heartbeat.
      return undefined;
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([
      this.#connections.destroy(),
      this.#healthClient.destroy(),
    ]);
  }
}
