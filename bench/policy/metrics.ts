/** Counts of one run of the policy bench. */
import type { ImportanceClass } from "../../src/schemas/common_schema.ts";

/** Length of the intervals of arrivals and goodput, in ms. */
export const BUCKET_MS = 250;

type Outcomes = { offered: number; succeeded: number };

/** One try of a client, with the time that upstreams spent on it. */
export class ClientTry {
  readonly onAbort = new Set<() => void>();
  readonly metrics: Metrics;
  readonly deadlineMs: number;
  ended = false;
  readonly #slotMs = new Map<string, number>();
  readonly #workMs = new Map<string, number>();

  /**
   * @param metrics Counts of the run.
   * @param deadlineMs Virtual time by which the client gives up, in ms.
   */
  constructor(metrics: Metrics, deadlineMs: number) {
    this.metrics = metrics;
    this.deadlineMs = deadlineMs;
  }

  /**
   * Adds time that a slot of a pool was in use. It counts as wasted when the try
   * has already ended, because the client no longer waits for the result.
   */
  addSlotTime(pool: string, durationMs: number): void {
    this.#slotMs.set(pool, (this.#slotMs.get(pool) ?? 0) + durationMs);
    if (this.ended) {
      this.metrics.addSlotTime(durationMs, false);
    }
  }

  /** Adds slot time that a request needs, without waits. */
  addWork(pool: string, durationMs: number): void {
    this.#workMs.set(pool, (this.#workMs.get(pool) ?? 0) + durationMs);
  }

  /** Ends the try and records its times. */
  end(succeeded: boolean, nowMs: number): void {
    this.ended = true;
    for (const durationMs of this.#slotMs.values()) {
      this.metrics.addSlotTime(durationMs, succeeded);
    }
    for (const [pool, durationMs] of succeeded ? this.#workMs : []) {
      this.metrics.addUseful(pool, durationMs, nowMs);
    }
  }
}

/** Counts by time, pool, route and class. */
export class Metrics {
  readonly arrivals: Outcomes[] = [];
  readonly routesUnderPressure = new Map<string, Outcomes>();
  readonly succeededByClass = new Map<ImportanceClass, number[]>();
  readonly errors = new Map<string, number>();
  readonly usefulMs = new Map<string, number>();
  readonly attempts = new Map<string, number[]>();
  readonly originals = new Map<string, number[]>();
  spentMs = 0;
  wastedMs = 0;
  readonly #pressure: { fromMs: number; untilMs: number };

  /**
   * @param pressure Start and end of the pressure, in ms of virtual time.
   */
  constructor(pressure: { fromMs: number; untilMs: number }) {
    this.#pressure = pressure;
  }

  /** Counts the end of an original request by its time of arrival. */
  countRequest(
    request: { route: string; class: ImportanceClass; arrivedMs: number },
    end: { succeeded: boolean; nowMs: number },
  ): void {
    const bucket = Math.floor(request.arrivedMs / BUCKET_MS);
    const outcomes = this.arrivals[bucket] ??= { offered: 0, succeeded: 0 };
    this.#count(outcomes, end.succeeded);
    if (this.#isPressure(request.arrivedMs)) {
      const ofRoute = this.routesUnderPressure.get(request.route) ??
        { offered: 0, succeeded: 0 };
      this.#count(ofRoute, end.succeeded);
      this.routesUnderPressure.set(request.route, ofRoute);
    }
    if (end.succeeded) {
      const list = this.succeededByClass.get(request.class) ?? [];
      this.succeededByClass.set(request.class, list);
      addAt(list, Math.floor(end.nowMs / BUCKET_MS));
    }
  }

  /** Counts an attempt that reached an upstream. */
  countAttempt(pool: string, nowMs: number): void {
    addAt(listOf(this.attempts, pool), Math.floor(nowMs / 1_000));
  }

  /** Counts an original request that needs a pool. */
  countOriginal(pool: string, nowMs: number): void {
    addAt(listOf(this.originals, pool), Math.floor(nowMs / 1_000));
  }

  /** Counts a failed try by its route, pool and error. */
  countError(name: string): void {
    this.errors.set(name, (this.errors.get(name) ?? 0) + 1);
  }

  /** Adds slot time, as useful or wasted. */
  addSlotTime(durationMs: number, useful: boolean): void {
    this.spentMs += durationMs;
    this.wastedMs += useful ? 0 : durationMs;
  }

  /** Adds the work of a complete request if it ended under pressure. */
  addUseful(pool: string, durationMs: number, nowMs: number): void {
    if (this.#isPressure(nowMs)) {
      this.usefulMs.set(pool, (this.usefulMs.get(pool) ?? 0) + durationMs);
    }
  }

  #isPressure(atMs: number): boolean {
    return atMs >= this.#pressure.fromMs && atMs < this.#pressure.untilMs;
  }

  #count(outcomes: Outcomes, succeeded: boolean): void {
    outcomes.offered++;
    outcomes.succeeded += succeeded ? 1 : 0;
  }
}

function listOf(lists: Map<string, number[]>, key: string): number[] {
  const list = lists.get(key) ?? [];
  lists.set(key, list);
  return list;
}

function addAt(list: number[], index: number): void {
  list[index] = (list[index] ?? 0) + 1;
}
