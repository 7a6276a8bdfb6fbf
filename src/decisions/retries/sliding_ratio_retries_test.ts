import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "../../core/clock.ts";
import { SeededRandom } from "../../core/random.ts";
import { PerHopRetries } from "./per_hop_retries.ts";
import type { FailedAttempt, RetryPolicy } from "./retry_policy.ts";
import { SlidingRatioRetries } from "./sliding_ratio_retries.ts";

const DEPTH_COUNT = 24;
const WINDOW_MS = 10_000;

const FAILED: FailedAttempt = {
  pool: "certify",
  attemptsLeftCount: 2,
  outcome: "not-run",
  idempotent: true,
  exhausted: false,
  overloaded: false,
  remainingMs: 1_000,
};

type Failures = { refuseRatio: number; failRatio: number };
type Answer = {
  ok: boolean;
  isOwnFailure: boolean;
  outcome: "not-run" | "unknown";
};

/** Call chain in which all services fail, each with the same probability. */
class Chain {
  readonly reachedMs: number[] = [];
  readonly #clock: ManualClock;
  readonly #random = new SeededRandom(11);
  readonly #policies: RetryPolicy[];
  readonly #failures: Failures;

  constructor(
    clock: ManualClock,
    options: Failures & { create: () => RetryPolicy },
  ) {
    this.#clock = clock;
    this.#failures = options;
    this.#policies = Array.from({ length: DEPTH_COUNT }, options.create);
  }

  /** Calls the service at a depth; `repeated` when a hop before it retried. */
  call(depth: number, attemptsLeftCount: number, repeated: boolean): Answer {
    const nowMs = this.#clock.monotonicMs();
    const policy = this.#policies[depth] as RetryPolicy;
    if (repeated) {
      policy.recordRepeated(FAILED.pool, nowMs);
    } else {
      policy.recordOriginal(FAILED.pool, nowMs);
    }
    for (let left = attemptsLeftCount - 1;; left--) {
      const again = repeated || left < attemptsLeftCount - 1;
      const answer = this.#serve(depth, left, again);
      if (answer.ok || !this.#retries(policy, answer, left)) {
        return answer;
      }
    }
  }

  #retries(policy: RetryPolicy, answer: Answer, left: number): boolean {
    const baseline = policy instanceof PerHopRetries;
    return policy.mayRetry({
      ...FAILED,
      attemptsLeftCount: left,
      outcome: answer.outcome,
      exhausted: !baseline && !answer.isOwnFailure,
    }, this.#clock.monotonicMs());
  }

  #serve(depth: number, left: number, repeated: boolean): Answer {
    const baseline = this.#policies[depth] instanceof PerHopRetries;
    const refused = this.#random.nextFloat() < this.#failures.refuseRatio;
    if (refused) {
      return { ok: false, isOwnFailure: true, outcome: "not-run" };
    }
    if (depth === DEPTH_COUNT - 1) {
      this.reachedMs.push(this.#clock.monotonicMs());
    } else {
      const passedOn = baseline ? 3 : left + 1;
      const below = this.call(depth + 1, passedOn, repeated);
      if (!below.ok) {
        return { ok: false, isOwnFailure: false, outcome: "unknown" };
      }
    }
    const failed = this.#random.nextFloat() < this.#failures.failRatio;
    return { ok: !failed, isOwnFailure: true, outcome: "unknown" };
  }
}

function largestAmplification(
  create: () => RetryPolicy,
  failures: Failures,
): number {
  const clock = new ManualClock();
  const chain = new Chain(clock, { create, ...failures });
  const originalsMs: number[] = [];
  for (let index = 0; index < 1_500; index++) {
    clock.advance(20);
    originalsMs.push(clock.monotonicMs());
    chain.call(0, 3, false);
  }
  const countFrom = (times: number[], startMs: number) =>
    times.filter((t) => t > startMs && t <= startMs + WINDOW_MS).length;
  let largest = 0;
  for (let startMs = 0; startMs <= 20_000; startMs += 100) {
    const ratio = countFrom(chain.reachedMs, startMs) /
      countFrom(originalsMs, startMs);
    largest = Math.max(largest, ratio);
  }
  return largest;
}

test("the budget prevents retry storms: at most 1.1 attempts per original request at depth 24 when every hop fails at once", () => {
  const failures = [[0, 0.01], [0, 0.1], [0, 0.9], [0.01, 0.03], [0.2, 0.2]];
  for (const [refuseRatio, failRatio] of failures as [number, number][]) {
    const largest = largestAmplification(
      () => new SlidingRatioRetries({ retryRatio: 0.1 }),
      { refuseRatio, failRatio },
    );
    assert.ok(largest <= 1.1, `${refuseRatio}, ${failRatio}: ${largest}`);
  }
});

test("the baseline of three attempts per hop multiplies attempts along the chain", () => {
  const largest = largestAmplification(
    () => new PerHopRetries(),
    { refuseRatio: 0, failRatio: 0.05 },
  );
  assert.ok(largest > 2, `${largest}`);
});

test("retries are refused beyond the ratio, when exhausted, without attempts or time left, if unsafe, and after the window", () => {
  const retries = new SlidingRatioRetries({ retryRatio: 0.1 });
  for (let index = 0; index < 39; index++) {
    retries.recordOriginal("certify", 0);
  }
  assert.equal(retries.mayRetry({ ...FAILED, exhausted: true }, 0), false);
  assert.equal(retries.mayRetry({ ...FAILED, attemptsLeftCount: 0 }, 0), false);
  assert.equal(retries.mayRetry({ ...FAILED, remainingMs: 0 }, 0), false);
  const unsafe = { ...FAILED, outcome: "unknown", idempotent: false } as const;
  assert.equal(retries.mayRetry(unsafe, 0), false);
  const allowed = [1, 2, 3, 4].map(() => retries.mayRetry(FAILED, 0));
  assert.deepEqual(allowed, [true, true, true, false]);
  assert.equal(retries.mayRetry(FAILED, 10_200), false);
});

test("a jump of the wall clock does not refill the budget", () => {
  const clock = new ManualClock(1_000_000);
  const retries = new SlidingRatioRetries({ retryRatio: 0.1 });
  for (let index = 0; index < 10; index++) {
    retries.recordOriginal("certify", clock.monotonicMs());
  }
  assert.equal(retries.mayRetry(FAILED, clock.monotonicMs()), true);
  clock.jumpWall(3_600_000);
  assert.equal(retries.mayRetry(FAILED, clock.monotonicMs()), false);
});
