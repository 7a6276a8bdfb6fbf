/**
 * Load process of the hop benchmark. It reads one command per line, sends
 * requests with Poisson arrivals in an open loop and writes one line of results
 * per command.
 */
import process from "node:process";
import { createInterface } from "node:readline";
import { build, encodeIntoCompressedBase64 } from "hdr-histogram-js";
import { type Dispatcher, Pool } from "undici";
import { SeededRandom } from "../../src/core/random.ts";
import {
  type LoadCommand,
  loadCommandSchema,
  type LoadResult,
  UNITS_PER_MS,
} from "./load_messages.ts";

const TICK_INTERVAL_MS = 1;
const CONNECTIONS_MAX_COUNT = 256;
const LATENCY_MAX_MS = 60_000;
const DRAIN_LIMIT_MS = 5_000;
const ANSWER_BYTES = 1_024;
const POST_EVERY_COUNT = 4;
const BODY = Buffer.alloc(512, "y");

const pools = new Map<string, Pool>();

function findPool(origin: string): Pool {
  const pool = pools.get(origin) ?? new Pool(origin, {
    connections: CONNECTIONS_MAX_COUNT,
    pipelining: 1,
  });
  pools.set(origin, pool);
  return pool;
}

function createHistogram() {
  return build({
    highestTrackableValue: LATENCY_MAX_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });
}

/** Executes one command. */
class LoadRun {
  readonly #command: LoadCommand;
  readonly #pool: Pool;
  readonly #random: SeededRandom;
  readonly #latency = createHistogram();
  readonly #serviceLatency = createHistogram();
  readonly #startMs = performance.now();
  #nextMs = 0;
  #sentCount = 0;
  #completeCount = 0;
  #failedCount = 0;

  constructor(command: LoadCommand) {
    this.#command = command;
    this.#pool = findPool(command.origin);
    this.#random = new SeededRandom(command.seed);
    this.#advance();
  }

  run(): Promise<LoadResult> {
    return new Promise((resolve) => {
      const timer = setInterval(() => {
        const nowMs = performance.now() - this.#startMs;
        this.#sendDue(nowMs);
        const endedCount = this.#completeCount + this.#failedCount;
        const idle = this.#nextMs === Infinity &&
          endedCount === this.#sentCount;
        if (idle || nowMs > this.#command.durationMs + DRAIN_LIMIT_MS) {
          clearInterval(timer);
          resolve(this.#result());
        }
      }, TICK_INTERVAL_MS);
    });
  }

  #advance(): void {
    const gapMs = -Math.log(1 - this.#random.nextFloat()) * 1_000 /
      this.#command.ratePerS;
    const nextMs = this.#nextMs + gapMs;
    this.#nextMs = nextMs < this.#command.durationMs ? nextMs : Infinity;
  }

  #sendDue(nowMs: number): void {
    while (this.#nextMs <= nowMs) {
      this.#send(this.#startMs + this.#nextMs);
      this.#advance();
    }
  }

  #send(intendedMs: number): void {
    const isPost = this.#sentCount++ % POST_EVERY_COUNT === 0;
    this.#pool.dispatch({
      path: "/logs/1",
      method: isPost ? "POST" : "GET",
      body: isPost ? BODY : null,
    }, this.#handler(intendedMs));
  }

  #handler(intendedMs: number): Dispatcher.DispatchHandler {
    const sentMs = performance.now();
    let status = 0;
    let sizeBytes = 0;
    return {
      onRequestStart: () => {},
      onResponseStart: (_controller, statusCode) => {
        status = statusCode;
      },
      onResponseData: (_controller, chunk) => {
        sizeBytes += chunk.length;
      },
      onResponseEnd: () => {
        if (status !== 200 || sizeBytes !== ANSWER_BYTES) {
          this.#failedCount++;
          return;
        }
        this.#recordComplete(intendedMs, sentMs);
      },
      onResponseError: () => {
        this.#failedCount++;
      },
    };
  }

  #recordComplete(intendedMs: number, sentMs: number): void {
    const nowMs = performance.now();
    this.#completeCount++;
    this.#latency.recordValue(Math.round((nowMs - intendedMs) * UNITS_PER_MS));
    this.#serviceLatency.recordValue(
      Math.round((nowMs - sentMs) * UNITS_PER_MS),
    );
  }

  #result(): LoadResult {
    return {
      sentCount: this.#sentCount,
      completeCount: this.#completeCount,
      failedCount: this.#sentCount - this.#completeCount,
      latency: encodeIntoCompressedBase64(this.#latency),
      serviceLatency: encodeIntoCompressedBase64(this.#serviceLatency),
    };
  }
}

process.stdout.write("{}\n");
for await (const line of createInterface({ input: process.stdin })) {
  const result = await new LoadRun(loadCommandSchema.parse(JSON.parse(line)))
    .run();
  process.stdout.write(`${JSON.stringify(result)}\n`);
}
await Promise.all([...pools.values()].map((pool) => pool.destroy()));
