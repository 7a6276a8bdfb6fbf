import assert from "node:assert/strict";
import { test } from "node:test";
import { CoordinatedRatio } from "./coordinated_ratio.ts";
import { findCompetingPools } from "./competing_pools.ts";
import {
  combineFigures,
  type FiguredUpstream,
  type UpstreamFigures,
} from "./pool_figures.ts";
import { PoolOffers } from "./pool_offers.ts";

const NOW_MS = 5_000;

function upstream(changes: Partial<UpstreamFigures> = {}): FiguredUpstream {
  return {
    limitCount: 40,
    figures: {
      capacityPerS: 2_000,
      busyRatio: 1,
      offeredPerS: [1_000, 0, 7_000],
      reportIntervalMs: 250,
      atMs: NOW_MS - 100,
      ...changes,
    },
  };
}

// The sums of all upstreams are those of the same daemons, and must not be added
// up again; the capacity must.
test("figures of the upstreams give the capacity and the offers of the pool", () => {
  const figures = combineFigures(
    [upstream(), upstream({ busyRatio: 3 })],
    NOW_MS,
  );
  assert.deepEqual(figures, {
    capacityPerS: 4_000,
    offeredPerS: [1_000, 0, 7_000],
    usedRatio: 1,
    waitMs: 20,
  });
});

// A paused daemon cannot run its part, and its figures are those before the pause.
test("an upstream whose figures are older than 1 s has no part of the capacity", () => {
  const old = upstream({ atMs: NOW_MS - 1_001, offeredPerS: [9, 9, 9] });
  assert.equal(combineFigures([upstream(), old], NOW_MS)?.capacityPerS, 2_000);
  assert.equal(combineFigures([old], NOW_MS), undefined);
});

// A part of the capacity would be missing, and the pool half idle.
test("with a daemon of an earlier version the busy ratio controls the admission", () => {
  const earlier = { limitCount: 40, figures: undefined };
  assert.equal(combineFigures([upstream(), earlier], NOW_MS), undefined);
});

// Requests of a daemon that has ended would count as offered for ever.
test("reports of daemons are summed until they are 1 s old", () => {
  const offers = new PoolOffers();
  offers.record("one", [1, 2], 0);
  offers.record("two", [10, 20, 30], 900);
  assert.deepEqual(offers.sum(1_000), [11, 22, 30]);
  assert.deepEqual(offers.sum(1_001), [10, 20, 30]);
  assert.equal(offers.reportersCount, 1);
});

// Deployments without competing flows must be served as before.
test("only pools that two flows of one class use are coordinated", () => {
  const route = {
    priority: 2,
    latencyGoalMs: 500,
    hasTenants: false,
    pools: ["jobs", "ledger"],
  };
  const find = (...routes: Parameters<typeof findCompetingPools>[0][]) =>
    Object.fromEntries(findCompetingPools(routes.flatMap((all) => [...all])));
  assert.deepEqual(find([route], [{ ...route, priority: 1 }]), {});
  assert.deepEqual(
    find([route], [{ ...route, latencyGoalMs: 202, pools: ["ledger"] }]),
    { ledger: { shortestGoalMs: 202 } },
  );
  assert.deepEqual(find([{ ...route, hasTenants: true }]), {
    jobs: { shortestGoalMs: 500 },
    ledger: { shortestGoalMs: 500 },
  });
});

/**
 * Plays a pool whose upstreams run fewer runs than they report, with runs that
 * arrive some time after they were admitted.
 */
function play(realRatio: number, delaySteps: number) {
  const ratio = new CoordinatedRatio();
  const capacityPerS = 8_000;
  const offered = 12_000;
  const admitted: number[] = [];
  let waiting = 0;
  const waits: number[] = [];
  const used: number[] = [];
  for (let step = 0; step < 300; step++) {
    const arriving = (admitted[step - delaySteps] ?? 0) / 10;
    const canRun = capacityPerS * realRatio / 10;
    const usedRatio = Math.min(1, (waiting + arriving) / canRun);
    waiting = Math.max(0, waiting + arriving - canRun);
    const waitMs = waiting * 1_000 / capacityPerS;
    admitted.push(
      offered * ratio.step({
        capacityPerS,
        offeredPerS: [offered],
        usedRatio,
        waitMs,
      }, 202),
    );
    waits.push(waitMs);
    used.push(usedRatio);
  }
  const meanOf = (values: number[]) =>
    values.slice(100).reduce((sum, value) => sum + value, 0) / 200;
  return { waitMs: Math.max(...waits.slice(100)), used: meanOf(used) };
}

// A wrong capacity would fill the queues past the shortest goal, or leave the
// pool idle, as long as the overload lasts.
for (const realRatio of [0.75, 1, 1.25]) {
  test(`a capacity that is ${realRatio} of the reported one is used with a short queue`, () => {
    const { waitMs, used } = play(realRatio, 5);
    assert.ok(used > 0.9, `used ${used}`);
    assert.ok(waitMs < 202, `wait ${waitMs}`);
  });
}

const REPORTERS_COUNT = 3_000;

// A sum over all reports for each report took more than a third of a core with
// 1,000 daemons.
test("the work for a report does not grow with the number of daemons", () => {
  const offers = new PoolOffers();
  let readsCount = 0;
  const perS = new Proxy([1, 2], {
    get(values, key) {
      readsCount += key === "0" ? 1 : 0;
      return Reflect.get(values, key);
    },
  });
  for (let index = 0; index < REPORTERS_COUNT; index++) {
    offers.record(`d-${index}`, perS, index / REPORTERS_COUNT);
    offers.sum(index / REPORTERS_COUNT);
  }
  assert.deepEqual(offers.sum(1), [REPORTERS_COUNT, 2 * REPORTERS_COUNT]);
  assert.ok(readsCount <= 2 * REPORTERS_COUNT, `${readsCount}`);
});

test("the sum of offers is that of the last report of each daemon", () => {
  const offers = new PoolOffers();
  offers.record("a", [1], 0);
  offers.record("b", [5, 6, 7], 100);
  offers.record("a", [2, 3], 900);
  assert.deepEqual(offers.sum(1_050), [7, 9, 7]);
  assert.deepEqual(offers.sum(1_150), [2, 3, 0]);
  assert.equal(offers.reportersCount, 1);
  assert.deepEqual(offers.sum(1_950), []);
});
