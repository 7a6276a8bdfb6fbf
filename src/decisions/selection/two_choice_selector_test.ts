import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../core/random.ts";
import { poolSchema } from "../../schemas/tables_schema.ts";
import { rendezvousSubset, subsetSize } from "./rendezvous_subset.ts";
import { TwoChoiceSelector } from "./two_choice_selector.ts";
import type { Endpoint } from "./upstream_directory.ts";
import type { AttemptResult, PoolView } from "./upstream_selector.ts";

const REQUEST = { rank: 300, excludedIds: [] };
const WARM_MS = 60_000;

function poolOf(count: number, change: Partial<Endpoint> = {}): PoolView {
  const endpoints = Array.from({ length: count }, (_, index): Endpoint => ({
    instanceId: `certify-${index}`,
    incarnationEpochMs: 1,
    dataCentre: "dakar-plateau",
    pool: "certify",
    hopHost: "127.0.0.1",
    hopPort: 1,
    slotsCount: 100,
    connectionsMaxCount: 700,
    state: "alive",
    joinedMs: 0,
    ...change,
  }));
  const rules = poolSchema.parse({
    dataCentres: ["dakar-plateau"],
    slotsCount: 100,
    connectionsMaxCount: 700,
    endpointsCount: count,
    callersMaxCount: 10,
  });
  return { name: "certify", rules, endpoints };
}

function create(): TwoChoiceSelector {
  return new TwoChoiceSelector(new SeededRandom(5), {
    callerId: "entry-1",
    dataCentre: "dakar-plateau",
  });
}

function choose(selector: TwoChoiceSelector, pool: PoolView, nowMs: number) {
  const selection = selector.choose(pool, REQUEST, nowMs);
  return selection.kind === "chosen"
    ? selection.endpoint.instanceId
    : selection.error;
}

function answer(
  selector: TwoChoiceSelector,
  instanceId: string,
  change: Partial<AttemptResult> & { nowMs: number },
): void {
  const result = { instanceId, result: "succeeded", latencyMs: 1 } as const;
  selector.finished({ ...result, ...change }, change.nowMs);
}

function loadWithLevel(levelRank: number) {
  return { levelRank, inFlightCount: 0, limitCount: 100, queuedCount: 0 };
}

test("an upstream that is ten times slower gets less than 0.4 times as many calls as another", () => {
  const selector = create();
  const pool = poolOf(4);
  const counts = new Map<string, number>();
  const running: { id: string; endMs: number }[] = [];
  for (let nowMs = WARM_MS; nowMs < WARM_MS + 5_000; nowMs++) {
    while ((running[0]?.endMs ?? Infinity) <= nowMs) {
      answer(selector, running.shift()?.id ?? "", { nowMs });
    }
    const id = choose(selector, pool, nowMs);
    counts.set(id, (counts.get(id) ?? 0) + 1);
    selector.started(id, nowMs);
    running.push({ id, endMs: nowMs + (id === "certify-0" ? 500 : 50) });
    running.sort((a, b) => a.endMs - b.endMs);
  }
  const slow = counts.get("certify-0") ?? 0;
  assert.ok(slow < 0.4 * (counts.get("certify-1") ?? 0), `${slow}`);
});

test("at most a third of a pool is ejected when half of its endpoints fail", () => {
  const selector = create();
  const pool = poolOf(6);
  for (let nowMs = WARM_MS; nowMs < WARM_MS + 500; nowMs++) {
    const id = choose(selector, pool, nowMs);
    selector.started(id, nowMs);
    const result = Number(id.at(-1)) < 3 ? "failed" : "succeeded";
    answer(selector, id, { result, nowMs });
  }
  const nowMs = WARM_MS + 500;
  const ids = Array.from({ length: 300 }, () => choose(selector, pool, nowMs));
  const failing = ids.filter((id) => Number(id.at(-1)) < 3).length;
  const healthyIds = ["certify-3", "certify-4", "certify-5"];
  const failingSelection = selector.choose(
    pool,
    { rank: 0, excludedIds: healthyIds },
    nowMs,
  );
  assert.equal(failingSelection.kind, "chosen");
  assert.ok(failing < 30, `${failing}`);
});

test("an ejected upstream that recovers is used again", () => {
  const selector = create();
  const pool = poolOf(3);
  const failTimes = (count: number, nowMs: number) => {
    choose(selector, pool, nowMs);
    for (let index = 0; index < count; index++) {
      answer(selector, "certify-0", { result: "failed", nowMs });
    }
  };
  failTimes(5, WARM_MS);
  const seenAt = (nowMs: number) =>
    new Set(Array.from({ length: 200 }, () => choose(selector, pool, nowMs)));
  assert.ok(!seenAt(WARM_MS + 4_900).has("certify-0"));
  assert.ok(seenAt(WARM_MS + 60_000).has("certify-0"));
});

test("upstreams get calls when all upstreams of a pool are cold", () => {
  const selector = create();
  const pool = poolOf(3);
  for (let index = 0; index < 200; index++) {
    const id = choose(selector, pool, 0);
    assert.match(id, /^certify-/);
    selector.started(id, 0);
  }
});

test("draining upstreams get no calls, and the own data centre is preferred until saturated", () => {
  const selector = create();
  const base = poolOf(4);
  const endpoints = base.endpoints.map((endpoint, index): Endpoint => ({
    ...endpoint,
    dataCentre: index < 2 ? "dakar-plateau" : "thies-nord",
    state: index === 0 ? "draining" : "alive",
  }));
  const pool = { ...base, endpoints };
  const ids = Array.from({ length: 250 }, () => {
    const id = choose(selector, pool, WARM_MS);
    selector.started(id, WARM_MS);
    return id;
  });
  assert.ok(ids.slice(0, 100).every((id) => id === "certify-1"));
  assert.ok(ids.slice(100).every((id) => id !== "certify-0"));
  assert.ok(ids.includes("certify-2") && ids.includes("certify-3"));
});

test("requests that the whole pool would refuse are refused by the calling daemon, except 1 in 100, until the levels expire", () => {
  const selector = create();
  const pool = poolOf(2);
  const refusedOf = (nowMs: number) =>
    Array.from({ length: 5_000 }, () => choose(selector, pool, nowMs))
      .filter((id) => id === "shed").length;
  refusedOf(WARM_MS);
  answer(selector, "certify-0", { load: loadWithLevel(200), nowMs: WARM_MS });
  assert.equal(refusedOf(WARM_MS), 0);
  answer(selector, "certify-1", { load: loadWithLevel(300), nowMs: WARM_MS });
  const refused = refusedOf(WARM_MS);
  assert.ok(refused > 4_900 && refused < 4_990, `${refused}`);
  assert.equal(refusedOf(WARM_MS + 1_001), 0);
});

test("subsets keep connections within 1.1 times the limit of an endpoint", () => {
  const rules = { connectionsMaxCount: 400, callersMaxCount: 1_000 };
  const { endpoints } = poolOf(50);
  assert.equal(subsetSize(50, rules), 4);
  const callers = new Map<string, number>();
  for (let caller = 0; caller < 1_000; caller++) {
    for (
      const endpoint of rendezvousSubset(endpoints, {
        callerId: `caller-${caller}`,
        rules,
      })
    ) {
      const count = callers.get(endpoint.instanceId) ?? 0;
      callers.set(endpoint.instanceId, count + 1);
    }
  }
  const most = Math.max(...callers.values());
  assert.ok(most * 4 <= 1.1 * 400, `${most}`);
});
