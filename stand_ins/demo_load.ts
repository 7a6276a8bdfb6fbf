/** Load of the demo: open-loop streams of enrolments and log reads. */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { v7 as createKey } from "uuid";
import { SeededRandom } from "../src/core/random.ts";

/** A stream of calls of one kind. */
export type DemoStream = {
  readonly title: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly keyed: boolean;
  /** Tries of one call, the first one included. */
  readonly triesMax: number;
};

/** Results of the calls that started within one second. */
export type DemoCounts = {
  offeredCount: number;
  completeCount: number;
  /** Calls whose last try was refused as not-run. */
  shedCount: number;
  /** Calls whose last try failed in another way. */
  failedCount: number;
};

/** A period of the demo with constant rates. */
export type DemoPhase = {
  readonly title: string;
  readonly durationMs: number;
  /** Calls per second of each stream. */
  readonly ratesPerS: readonly number[];
};

const TICK_INTERVAL_MS = 5;
const MS_PER_S = 1_000;
const RETRY_PAUSE_MS = 100;
const CALL_TIMEOUT_MS = 6_000;

/** Offers the streams and counts results by second. */
export class DemoLoad {
  readonly #streams: readonly DemoStream[];
  readonly #callersUrls: readonly string[];
  readonly #random = new SeededRandom(1);
  readonly #agent = new Agent({ connections: 200, pipelining: 1 });
  readonly #seconds: DemoCounts[][] = [];
  readonly #running = new Set<Promise<void>>();
  readonly #startMs = performance.now();
  /** Keys of the calls whose answer was complete. */
  readonly completeKeys: string[] = [];

  /**
   * @param streams Streams to offer.
   * @param callersUrls URLs of the listeners that the calls are spread over.
   */
  constructor(streams: readonly DemoStream[], callersUrls: readonly string[]) {
    this.#streams = streams;
    this.#callersUrls = callersUrls;
  }

  /** Whole seconds since the start. */
  get secondsCount(): number {
    return Math.floor((performance.now() - this.#startMs) / MS_PER_S);
  }

  /**
   * Returns the counts of one second.
   *
   * @param second Second since the start.
   * @returns Counts by stream.
   */
  counts(second: number): readonly DemoCounts[] {
    return this.#seconds[second] ??= this.#streams.map(() => ({
      offeredCount: 0,
      completeCount: 0,
      shedCount: 0,
      failedCount: 0,
    }));
  }

  /**
   * Starts calls at the rates of a phase until its end.
   *
   * @param phase Duration and rates.
   */
  async run(phase: DemoPhase): Promise<void> {
    const sinceMs = performance.now();
    const startedCounts = phase.ratesPerS.map(() => 0);
    while (performance.now() - sinceMs < phase.durationMs) {
      const elapsedS = (performance.now() - sinceMs) / MS_PER_S;
      phase.ratesPerS.forEach((ratePerS, index) => {
        while ((startedCounts[index] ?? 0) < elapsedS * ratePerS) {
          startedCounts[index] = (startedCounts[index] ?? 0) + 1;
          this.#start(index);
        }
      });
      await sleep(TICK_INTERVAL_MS);
    }
  }

  /** Waits for all running calls and closes all connections. */
  async finish(): Promise<void> {
    await Promise.all(this.#running);
    await this.#agent.destroy();
  }

  #start(index: number): void {
    const counts = this.counts(this.secondsCount)[index] as DemoCounts;
    counts.offeredCount++;
    const call = this.#call(this.#streams[index] as DemoStream)
      .then((result) => {
        counts[result]++;
      })
      .finally(() => this.#running.delete(call));
    this.#running.add(call);
  }

  async #call(
    stream: DemoStream,
  ): Promise<"completeCount" | "shedCount" | "failedCount"> {
    const key = stream.keyed ? createKey() : undefined;
    for (let triesCount = 1;; triesCount++) {
      const result = await this.#try(stream, key);
      if (result === "completeCount") {
        this.completeKeys.push(...(key === undefined ? [] : [key]));
        return result;
      }
      if (triesCount >= stream.triesMax) {
        return result;
      }
      await sleep(RETRY_PAUSE_MS);
    }
  }

  async #try(stream: DemoStream, key: string | undefined) {
    const url =
      this.#callersUrls[this.#random.nextInt(this.#callersUrls.length)];
    const answer = await request(`${url}${stream.path}`, {
      method: stream.method,
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      headers: key === undefined ? {} : { "idempotency-key": key },
    }).then(async (head) => {
      await head.body.dump();
      return head;
    }).catch(() => undefined);
    if (answer?.statusCode === 200) {
      return "completeCount";
    }
    return answer?.headers["goldcrest-outcome"] === "not-run"
      ? "shedCount"
      : "failedCount";
  }
}
