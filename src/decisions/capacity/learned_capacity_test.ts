import assert from "node:assert/strict";
import { test } from "node:test";
import { type RandomSource, SeededRandom } from "../../core/random.ts";
import {
  drawExponential,
  drawUniform,
  kneeDilation,
  playLoad,
  type SimulatedRequest,
  SimulatedUpstream,
  type UpstreamBehaviour,
} from "../../testing/upstream_simulation.ts";

const SEED = 7;
const WORK_MS = 15;
const USUAL_COUNT = 37;
const KNEE_COUNT = 27;
/** Requests per second of one running request. */
const RUNS_PER_S = 1_000 / WORK_MS;
const DROP_MS = 4_000;
const RECOVERY_MS = 8_000;

type Play = {
  readonly behaviour?: Partial<UpstreamBehaviour>;
  readonly seed?: number;
  readonly durationMs?: number;
  readonly ratePerS: (nowMs: number) => number;
  readonly createRequest?: (random: RandomSource) => SimulatedRequest;
  readonly onStep?: (nowMs: number, upstream: SimulatedUpstream) => void;
};

function createNoisyRequest(random: RandomSource): SimulatedRequest {
  return { routeName: "r", workMs: drawExponential(random, WORK_MS) };
}

function createRequest(random: RandomSource): SimulatedRequest {
  return { routeName: "r", workMs: drawUniform(random, WORK_MS) };
}

function play(options: Play, isLearning: boolean): SimulatedUpstream {
  const upstream = new SimulatedUpstream(options.behaviour ?? {}, isLearning);
  playLoad(upstream, {
    random: new SeededRandom(options.seed ?? SEED),
    durationMs: options.durationMs ?? 12_000,
    ratePerS: options.ratePerS,
    createRequest: options.createRequest ?? createNoisyRequest,
    onStep: (nowMs) => options.onStep?.(nowMs, upstream),
  });
  return upstream;
}

/** Checks that no limit but the usual one applied, and that all is as before. */
function assertAsBefore(options: Play): void {
  const learned = play(options, true);
  assert.equal(learned.lowestPresentCount, USUAL_COUNT);
  assert.equal(learned.answeredCount, play(options, false).answeredCount);
}

// A deployment whose upstreams show no slowdown must be served as before, also
// by an upstream that is saturated.
for (const loadRatio of [0.5, 0.87, 1, 1.3]) {
  test(`an upstream with noisy run times keeps its usual limit at ${loadRatio} of its capacity`, () => {
    const ratePerS = () => loadRatio * USUAL_COUNT * RUNS_PER_S;
    for (const seed of [1, 2, 3]) {
      assertAsBefore({ ratePerS, seed });
      assertAsBefore({ ratePerS, seed, createRequest });
    }
  });
}

// Runs of a cold upstream take longer whatever their number is, and would set a
// wrong usual time.
test("a slow start is not taken for saturation", () => {
  assertAsBefore({
    ratePerS: () => USUAL_COUNT * RUNS_PER_S,
    behaviour: { isCold: true },
    onStep: (nowMs, { behaviour }) => {
      behaviour.isCold = nowMs < 3_000;
    },
  });
});

// A slow called pool keeps slots occupied, but fewer concurrent requests would
// only lower the throughput.
test("downstream calls that become slow are not taken for saturation", () => {
  let callsMs = 10;
  assertAsBefore({
    ratePerS: () => USUAL_COUNT * 1_000 / (WORK_MS + 10),
    createRequest: (random) => ({
      ...createNoisyRequest(random),
      callsMs: drawExponential(random, callsMs),
    }),
    onStep: (nowMs) => {
      callsMs = nowMs < DROP_MS ? 10 : 100;
    },
  });
});

// An upstream that fails fast would otherwise look like a fast one: expected
// waits would be too short, and callers would send more to it.
test("fast failures neither shorten the expected run time nor change the limit", () => {
  let isFailing = false;
  const options: Play = {
    ratePerS: () => 0.5 * USUAL_COUNT * RUNS_PER_S,
    createRequest: (random) =>
      isFailing && random.nextFloat() < 0.7
        ? { routeName: "r", workMs: 1, result: "failed" }
        : createRequest(random),
    onStep: (nowMs, { capacity }) => {
      isFailing = nowMs >= DROP_MS;
      if (nowMs > DROP_MS) {
        assert.ok(capacity.expectedRunMs(nowMs) > 0.7 * WORK_MS);
      }
    },
  };
  assertAsBefore(options);
});

// A neighbour slows all runs down whatever their number is, and fewer of them
// would only lower the throughput.
test("a neighbour's load that the machine reports is not taken for saturation", () => {
  for (const loadRatio of [0.7, 1]) {
    assertAsBefore({
      durationMs: 24_000,
      behaviour: { isNeighbourReported: true },
      ratePerS: () => loadRatio * USUAL_COUNT * RUNS_PER_S,
      onStep: (nowMs, { behaviour }) => {
        behaviour.neighbourRatio = nowMs % 4_000 < 600 ? 2.5 : 1;
      },
    });
  }
});

// Expected waits and the choice of callers depend on the present speed, and the
// mean of past runs lags behind it.
test("the expected run time follows the reported speed at once", () => {
  const { capacity } = play({
    behaviour: { isNeighbourReported: true },
    ratePerS: () => 0.5 * USUAL_COUNT * RUNS_PER_S,
  }, true);
  const nowMs = 12_000;
  const beforeMs = capacity.expectedRunMs(nowMs);
  capacity.recordSlowdown(2.5, nowMs);
  assert.equal(capacity.expectedRunMs(nowMs), 2.5 * beforeMs);
  assert.equal(capacity.expectedRunMs(nowMs + 1_001), beforeMs);
});

// With the usual limit, an upstream that slows down under load stays saturated
// and slow.
test("an upstream with a knee gets a limit near it and answers far more than with fixed slots", () => {
  const options: Play = {
    durationMs: 15_000,
    behaviour: { dilation: kneeDilation(KNEE_COUNT, 4) },
    ratePerS: (nowMs) => Math.min(1.2, nowMs / 3_000) * KNEE_COUNT * RUNS_PER_S,
  };
  for (const seed of [1, 2, 3]) {
    const learned = play({ ...options, seed }, true);
    const fixed = play({ ...options, seed }, false);
    assert.ok(learned.limitCount >= 0.75 * KNEE_COUNT);
    assert.ok(learned.limitCount <= 1.25 * KNEE_COUNT);
    assert.ok(learned.answeredCount > 1.3 * fixed.answeredCount);
  }
});

// The throughput of an upstream whose slowdown is moderate is highest with all
// of its slots, although each run takes longer.
test("a slowdown that costs no throughput leaves the limit as it is", () => {
  const dilation = (count: number) => 1 + Math.max(0, count / 39 - 0.75);
  const { limitCount } = play({
    behaviour: { dilation },
    ratePerS: () => 1.1 * USUAL_COUNT * RUNS_PER_S,
  }, true);
  assert.equal(limitCount, USUAL_COUNT);
});

// A drop that is followed late fills the queue, and a limit that stays low after
// the recovery wastes the upstream.
for (const loadRatio of [0.7, 1]) {
  test(`a capacity that drops to a fifth is followed within 2 s and its recovery within 5 s, at ${loadRatio} of the load`, () => {
    const options: Play = {
      durationMs: 16_000,
      ratePerS: () => loadRatio * USUAL_COUNT * RUNS_PER_S,
      createRequest,
    };
    for (const seed of [1, 2, 3]) {
      const answered = [0, 0];
      [false, true].forEach((isLearning, index) => {
        play({
          ...options,
          seed,
          onStep: (nowMs, { behaviour, capacity, answeredCount }) => {
            const isLow = nowMs > DROP_MS && nowMs <= RECOVERY_MS;
            behaviour.dilation = isLow ? kneeDilation(8, 2) : () => 1;
            if (nowMs === DROP_MS + 2_000) {
              answered[index] = -answeredCount;
              assert.ok(!isLearning || capacity.limitCount <= 16);
            }
            if (nowMs === RECOVERY_MS) {
              answered[index]! += answeredCount;
            }
            if (nowMs === RECOVERY_MS + 5_000) {
              assert.ok(
                !isLearning || capacity.limitCount >= 0.9 * USUAL_COUNT,
              );
            }
          },
        }, isLearning);
      });
      const [fixedCount, learnedCount] = answered as [number, number];
      assert.ok(learnedCount > 1.2 * fixedCount);
    }
  });
}

// Fewer concurrent requests would not help an upstream whose speed drops, but
// expected waits and the choice of callers must follow.
test("a speed that drops to a fifth is followed by the expected run time and leaves the limit", () => {
  play({
    durationMs: 16_000,
    ratePerS: () => 0.5 * USUAL_COUNT * RUNS_PER_S,
    createRequest,
    onStep: (nowMs, { behaviour, capacity }) => {
      const isLow = nowMs > DROP_MS && nowMs <= RECOVERY_MS;
      behaviour.speed = isLow ? 0.2 : 1;
      if (nowMs === DROP_MS + 2_000) {
        assert.ok(capacity.expectedRunMs(nowMs) > 4 * WORK_MS);
      }
      if (nowMs === RECOVERY_MS + 5_000) {
        assert.ok(capacity.expectedRunMs(nowMs) < 1.25 * WORK_MS);
        assert.equal(capacity.limitCount, USUAL_COUNT);
      }
    },
  }, true);
});

// What is known of one upstream is wrong for the next one at the same address.
test("the limit is discarded when another upstream serves or its slots change", () => {
  for (
    const next of [{ slotsCount: 39, isNew: true }, {
      slotsCount: 20,
      isNew: false,
    }]
  ) {
    const { capacity } = play({
      behaviour: { dilation: kneeDilation(KNEE_COUNT, 4) },
      ratePerS: (nowMs) =>
        Math.min(1.2, nowMs / 3_000) * KNEE_COUNT * RUNS_PER_S,
    }, true);
    assert.ok(capacity.limitCount < USUAL_COUNT);
    capacity.setUpstream(next, 12_000);
    assert.equal(capacity.limitCount, capacity.usualLimitCount);
    assert.equal(capacity.presentLimitCount(12_000), capacity.usualLimitCount);
  }
});

// A limit that nothing has tested for long may be wrong by now.
test("the limit is discarded when the demand has been below it for 30 s", () => {
  const { limitCount } = play({
    durationMs: 45_000,
    behaviour: { dilation: kneeDilation(KNEE_COUNT, 4) },
    ratePerS: (nowMs) =>
      (nowMs < 10_000 ? Math.min(1.2, nowMs / 3_000) : 0.2) * KNEE_COUNT *
      RUNS_PER_S,
  }, true);
  assert.equal(limitCount, USUAL_COUNT);
});
