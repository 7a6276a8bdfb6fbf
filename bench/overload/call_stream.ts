/** Offers one stream of calls in an open loop and sums up the results. */
import { setTimeout as sleep } from "node:timers/promises";
import { build, type Histogram } from "hdr-histogram-js";
import { Agent } from "undici";
import { v7 as timeOrderedUuid } from "uuid";
import type { RandomSource } from "../../src/core/random.ts";
import { sendCall } from "../../stand_ins/send_call.ts";
import type {
  LoadBucket,
  LoadPlan,
  LoadStream,
  StreamResult,
} from "./load_plan.ts";

const CONNECTIONS_MAX_COUNT = 2_000;
const LATENCY_MAX_MS = 600_000;

type PendingCall = {
  readonly token: string;
  readonly intendedMs: number;
  readonly key: string | undefined;
  triesCount: number;
};

/** One stream of calls with its own connections. */
export class CallStream {
  readonly #stream: LoadStream;
  readonly #plan: LoadPlan;
  readonly #random: RandomSource;
  readonly #agent = new Agent({
    connections: CONNECTIONS_MAX_COUNT,
    pipelining: 1,
  });
  readonly #buckets: LoadBucket[] = [];
  readonly #failures: Record<string, number> = {};
  readonly #latencies: Histogram = build({
    highestTrackableValue: LATENCY_MAX_MS,
    numberOfSignificantValueDigits: 3,
  });
  readonly #body: Buffer | undefined;
  readonly #succeededTokens: string[] = [];
  #nextMs = 0;
  #startedCount = 0;
  #wrongAnswersCount = 0;
  #activeCount = 0;

  /**
   * @param stream Stream to offer.
   * @param plan Plan that the stream belongs to.
   * @param random Source of random numbers.
   */
  constructor(
    stream: LoadStream,
    plan: LoadPlan,
    random: RandomSource,
  ) {
    this.#stream = stream;
    this.#plan = plan;
    this.#random = random;
    this.#body = stream.bodyBytes > 0
      ? Buffer.alloc(stream.bodyBytes, "x")
      : undefined;
    this.#nextMs = this.#drawNextMs(0);
  }

  /** Number of calls in progress. */
  get activeCount(): number {
    return this.#activeCount;
  }

  /**
   * Starts all calls that are due.
   *
   * @param nowMs Time since the start of the run, in ms.
   */
  startDue(nowMs: number): void {
    while (this.#nextMs <= nowMs) {
      void this.#run({
        token: `${this.#stream.name}-${this.#plan.seed}-${this
          .#startedCount++}`,
        intendedMs: this.#nextMs,
        key: this.#stream.keyed ? timeOrderedUuid() : undefined,
        triesCount: 0,
      });
      this.#nextMs = this.#drawNextMs(this.#nextMs);
    }
  }

  /** Sums up the results and closes the connections. */
  async finish(): Promise<StreamResult> {
    await this.#agent.destroy();
    return {
      name: this.#stream.name,
      importanceClass: this.#stream.importanceClass,
      buckets: this.#buckets,
      latencyMs: {
        p50: this.#latencies.getValueAtPercentile(50),
        p99: this.#latencies.getValueAtPercentile(99),
        max: this.#latencies.maxValue,
      },
      wrongAnswersCount: this.#wrongAnswersCount,
      failures: this.#failures,
      succeededTokens: this.#succeededTokens,
    };
  }

  /** Draws the time of the next call; the Poisson rate depends on the phase. */
  #drawNextMs(fromMs: number): number {
    let timeMs = fromMs;
    for (const phase of this.#stream.phases) {
      if (timeMs >= phase.untilMs) {
        continue;
      }
      if (phase.ratePerS > 0) {
        const gapMs = -Math.log(1 - this.#random.nextFloat()) * 1_000 /
          phase.ratePerS;
        if (timeMs + gapMs < phase.untilMs) {
          return timeMs + gapMs;
        }
      }
      timeMs = phase.untilMs;
    }
    return Infinity;
  }

  async #run(call: PendingCall): Promise<void> {
    this.#activeCount++;
    const bucket = this.#bucket(call.intendedMs);
    bucket.offeredCount++;
    const deadlineMs = call.intendedMs + this.#stream.deadlineMs;
    while (
      call.triesCount < this.#stream.triesMax && this.#nowMs() < deadlineMs
    ) {
      call.triesCount++;
      bucket.triesCount++;
      if (await this.#try(call, deadlineMs)) {
        this.#succeed(call, bucket);
        break;
      }
      await sleep(this.#stream.retryDelayMs);
    }
    this.#activeCount--;
  }

  async #try(call: PendingCall, deadlineMs: number): Promise<boolean> {
    const { method, path, answerBytes } = this.#stream;
    const remainingMs = Math.max(1, Math.round(deadlineMs - this.#nowMs()));
    const { entries } = this.#plan;
    const record = await sendCall({
      url: entries[this.#random.nextInt(entries.length)] as string,
      method,
      path,
      token: call.token,
      key: call.key,
      answerBytesCount: answerBytes,
      body: this.#body,
      headers: { "goldcrest-deadline-ms": String(remainingMs) },
    }, {
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(remainingMs),
    });
    if (record.status !== 200) {
      this.#countFailure(record.errorKind || String(record.status));
      return false;
    }
    if (!record.bodyMatches) {
      this.#wrongAnswersCount++;
    }
    if (!record.whole || !record.bodyMatches) {
      this.#countFailure("broken");
      return false;
    }
    return true;
  }

  #succeed(call: PendingCall, bucket: LoadBucket): void {
    const endMs = this.#nowMs();
    bucket.succeededCount++;
    this.#bucket(endMs).goodputCount++;
    this.#succeededTokens.push(call.token);
    this.#latencies.recordValue(Math.max(0, endMs - call.intendedMs));
  }

  #countFailure(name: string): void {
    this.#failures[name] = (this.#failures[name] ?? 0) + 1;
  }

  #bucket(timeMs: number): LoadBucket {
    const { bucketMs } = this.#plan;
    const index = Math.floor(timeMs / bucketMs);
    while (this.#buckets.length <= index) {
      this.#buckets.push({
        fromMs: this.#buckets.length * bucketMs,
        offeredCount: 0,
        succeededCount: 0,
        triesCount: 0,
        goodputCount: 0,
      });
    }
    return this.#buckets[index] as LoadBucket;
  }

  #nowMs(): number {
    return Date.now() - this.#plan.startWallMs;
  }
}
