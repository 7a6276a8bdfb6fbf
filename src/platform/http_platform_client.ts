/** Client of the platform's object API over HTTP with JSON. */
import type { Readable } from "node:stream";
import { setTimeout as delay } from "node:timers/promises";
import { type Stream, Stream as MostStream } from "most";
import { Agent, type Dispatcher, request } from "undici";
import type { Clock } from "../core/clock.ts";
import {
  type PlatformClient,
  PlatformError,
  type PutCondition,
  type PutResult,
  type StoredObject,
} from "../core/platform_client.ts";
import type { RandomSource } from "../core/random.ts";
import { storedListSchema } from "../schemas/platform_schema.ts";
import { CallRateLimiter } from "./call_rate_limiter.ts";
import {
  checkGetStatus,
  createExchangeError,
  createStatusError,
  encodeCondition,
  isOutageStatus,
  readPutAnswer,
  readVersion,
} from "./platform_calls.ts";
import { WatchSession } from "./watch_session.ts";

/** Options of {@link HttpPlatformClient}. */
export type HttpPlatformClientOptions = {
  /** Base URL of the object API. */
  url: string;
  /** Longest wait for an answer, in ms. */
  timeoutMs: number;
  /** Calls per second of this process on average; a burst may have twice as many. */
  callsPerSMax: number;
  clock: Clock;
  /** Source of the jitter. */
  random: RandomSource;
  /** Upper bound of any pause after failures, in ms. */
  backoffMaxMs?: number;
};

// The platform sends an empty line every 5 s on an idle watch.
const WATCH_SILENCE_MAX_MS = 15_000;
// Each open watch occupies one connection. A daemon that is the acceptor and a
// reader occupies two; the others are for calls.
const CONNECTIONS_MAX = 8;
const OK = 200;

/** Reads an answer; discards an unread body, which would block its connection. */
async function readOrDiscard<T>(
  answer: Dispatcher.ResponseData,
  read: (answer: Dispatcher.ResponseData) => Promise<T>,
): Promise<T> {
  try {
    return await read(answer);
  } catch (error) {
    if (!answer.body.bodyUsed) {
      await answer.body.dump();
    }
    throw error;
  }
}

type WatchSink = { event(timeMs: number, object: StoredObject): void };

/**
 * `PlatformClient` with timeouts, a rate limit and jittered back-off. A call
 * that the rate limit or the back-off would delay for longer than the timeout
 * fails at once with the outcome `not-applied`.
 *
 * @example
 * const client = new HttpPlatformClient({ ...settings.platform, clock, random });
 * await client.get("config", "accepted");
 * await client.close();
 */
export class HttpPlatformClient implements PlatformClient {
  readonly #options: HttpPlatformClientOptions;
  readonly #rateLimiter: CallRateLimiter;
  readonly #dispatcher: Agent;
  readonly #sessions = new Set<WatchSession>();

  /**
   * @param options Address, limits, clock and random numbers.
   */
  constructor(options: HttpPlatformClientOptions) {
    this.#options = options;
    this.#rateLimiter = new CallRateLimiter({
      callsPerSMax: options.callsPerSMax,
      random: options.random,
      ...(options.backoffMaxMs && { backoffMaxMs: options.backoffMaxMs }),
    });
    this.#dispatcher = new Agent({
      connections: CONNECTIONS_MAX,
      connect: { timeout: options.timeoutMs },
    });
  }

  /** @inheritdoc */
  async get(kind: string, name: string): Promise<StoredObject | undefined> {
    const path = `/objects/${kind}/${name}`;
    return await this.#call(path, { method: "GET" }, async (answer) => {
      if (!checkGetStatus(answer.statusCode)) {
        await answer.body.dump();
        return undefined;
      }
      const version = readVersion(answer.headers);
      return { kind, name, version, value: await answer.body.json() };
    });
  }

  /** @inheritdoc */
  async list(kind: string): Promise<StoredObject[]> {
    const path = `/objects/${kind}`;
    return await this.#call(path, { method: "GET" }, async (answer) => {
      checkGetStatus(answer.statusCode);
      const body = storedListSchema.parse(await answer.body.json());
      return body.objects.map((object) => ({ ...object, value: object.value }));
    });
  }

  /** @inheritdoc */
  async put(
    object: Omit<StoredObject, "version">,
    condition: PutCondition,
  ): Promise<PutResult> {
    const init = {
      method: "PUT" as const,
      headers: {
        "content-type": "application/json",
        ...encodeCondition(condition),
      },
      body: JSON.stringify(object.value),
    };
    const path = `/objects/${object.kind}/${object.name}`;
    return await this.#call(path, init, async (answer) => {
      await answer.body.dump();
      return readPutAnswer(answer);
    });
  }

  /** @inheritdoc */
  watch(kind: string): Stream<StoredObject> {
    const open = (sink: WatchSink) => this.#openSession(kind, sink);
    return new MostStream<StoredObject>({
      run(sink: WatchSink) {
        const dispose = open(sink);
        return { dispose: async () => dispose() };
      },
      // deno-lint-ignore no-explicit-any -- most's typings omit the source's shape
    } as any);
  }

  /** Ends all watches and closes all connections. */
  async close(): Promise<void> {
    this.#sessions.forEach((session) => session.stop());
    this.#sessions.clear();
    await this.#dispatcher.destroy();
  }

  async #call<T>(
    path: string,
    init: { method: "GET" | "PUT"; headers?: object; body?: string },
    read: (answer: Dispatcher.ResponseData) => Promise<T>,
  ): Promise<T> {
    const isWrite = init.method === "PUT";
    await this.#waitForRateLimit();
    try {
      const answer = await request(`${this.#options.url}${path}`, {
        ...init,
        headers: init.headers as Record<string, string>,
        dispatcher: this.#dispatcher,
        signal: AbortSignal.timeout(this.#options.timeoutMs),
      });
      this.#recordStatus(answer.statusCode);
      return await readOrDiscard(answer, read);
    } catch (error) {
      if (error instanceof PlatformError) {
        throw error;
      }
      this.#rateLimiter.recordFailure(this.#options.clock.monotonicMs());
      throw createExchangeError(error, isWrite);
    }
  }

  /** Waits for the rate limit and the back-off; fails if that exceeds the timeout. */
  async #waitForRateLimit(): Promise<void> {
    const { clock, timeoutMs } = this.#options;
    const nowMs = clock.monotonicMs();
    if (this.#rateLimiter.waitMs(nowMs) > timeoutMs) {
      throw new PlatformError(
        "not-applied",
        "Platform call was not sent: call budget or back-off after failures",
      );
    }
    const waitMs = this.#rateLimiter.reserve(nowMs);
    if (waitMs > 0) {
      await delay(waitMs);
    }
  }

  #recordStatus(status: number): void {
    if (isOutageStatus(status)) {
      this.#rateLimiter.recordFailure(this.#options.clock.monotonicMs());
      return;
    }
    this.#rateLimiter.recordSuccess();
  }

  #openSession(kind: string, sink: WatchSink): () => void {
    const session = new WatchSession({
      open: (signal) => this.#openWatch(kind, signal),
      emit: (object) => sink.event(performance.now(), object),
      pauseMs: () =>
        this.#rateLimiter.reserve(this.#options.clock.monotonicMs()),
      onDisconnect: () =>
        this.#rateLimiter.recordFailure(this.#options.clock.monotonicMs()),
    });
    this.#sessions.add(session);
    session.start();
    return () => {
      session.stop();
      this.#sessions.delete(session);
    };
  }

  async #openWatch(kind: string, signal: AbortSignal): Promise<Readable> {
    const answer = await request(`${this.#options.url}/watch/${kind}`, {
      dispatcher: this.#dispatcher,
      headersTimeout: this.#options.timeoutMs,
      bodyTimeout: WATCH_SILENCE_MAX_MS,
      signal,
    });
    this.#recordStatus(answer.statusCode);
    if (answer.statusCode !== OK) {
      await answer.body.dump();
      throw createStatusError(answer.statusCode, false);
    }
    return answer.body;
  }
}
