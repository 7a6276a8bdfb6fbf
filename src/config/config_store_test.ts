import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ManualClock } from "../core/clock.ts";
import { SeededRandom } from "../core/random.ts";
import type { ConfigStep } from "../schemas/config_schema.ts";
import type { Tables } from "../schemas/tables_schema.ts";
import { sampleTables } from "../testing/config_harness.ts";
import { decideAccept } from "./accept_decision.ts";
import { ConfigStore, type FullCopy } from "./config_store.ts";
import { compareVersions } from "./generation_rule.ts";
import { applyDelta, computeDelta } from "./table_delta.ts";
import { canonicalJson, digestEntries } from "./table_digest.ts";
import {
  joinEntries,
  splitTables,
  type TableEntries,
} from "./table_entries.ts";
import { checkPair } from "./pair_checker.ts";

const PROPERTY_OPTIONS = { seed: 20_261_204, numRuns: 100 };
const ORIGIN = { source: "peer" } as const;

function entriesOf(routesCount: number, slotsCount = 100): TableEntries {
  const { routes, pools } = sampleTables(routesCount);
  const text = JSON.stringify(pools).replace(
    '"slotsCount":100',
    `"slotsCount":${slotsCount}`,
  );
  const checked = checkPair({ routes: JSON.stringify(routes), pools: text });
  assert.equal(checked.kind, "valid");
  return splitTables((checked as { tables: Tables }).tables);
}

/** Creates a full copy for each of a sequence of generations. */
function makeHistory(sizes: [number, number][]) {
  return sizes.map(([routesCount, slotsCount], index) => {
    const entries = entriesOf(routesCount, slotsCount);
    const head = { generation: index + 1, digest: digestEntries(entries) };
    return { head, entries } satisfies FullCopy;
  });
}

function stepBetween(base: FullCopy, next: FullCopy): ConfigStep {
  const delta = computeDelta(base.entries, next.entries);
  return { base: base.head, next: next.head, acceptedEpochMs: 1, delta };
}

const sizesArbitrary = fc.array(
  fc.tuple(fc.integer({ min: 1, max: 6 }), fc.integer({ min: 1, max: 3 })),
  { minLength: 2, maxLength: 8 },
);

test("a delta applied to its base gives the target, and joined entries split into equal entries", () => {
  fc.assert(
    fc.property(sizesArbitrary, (sizes) => {
      const [base, next] = makeHistory(sizes) as [FullCopy, FullCopy];
      const applied = applyDelta(base.entries, stepBetween(base, next).delta);
      assert.equal(digestEntries(applied), next.head.digest);
      const rejoined = splitTables(joinEntries(next.entries));
      assert.equal(digestEntries(rejoined), next.head.digest);
    }),
    PROPERTY_OPTIONS,
  );
});

test("generations never decrease, and equal generations have equal content", () => {
  fc.assert(
    fc.property(sizesArbitrary, fc.integer(), (sizes, seed) => {
      const history = makeHistory(sizes);
      const random = new SeededRandom(seed);
      const pick = () => history[random.nextInt(history.length)] as FullCopy;
      const stores = [1, 2, 3].map(() => new ConfigStore(new ManualClock()));
      for (let round = 0; round < 60; round++) {
        const store = stores[random.nextInt(stores.length)] as ConfigStore;
        const before = store.head()?.generation ?? 0;
        // Steps and copies arrive in any order, some with damaged content.
        const damaged = random.nextInt(4) === 0;
        const [base, next] = [pick(), pick()];
        const entries = damaged ? pick().entries : next.entries;
        const step = stepBetween(base, { ...next, entries });
        random.nextInt(2) === 0
          ? store.applyStep({ ...step, next: next.head }, ORIGIN)
          : store.applyFull({ head: next.head, entries }, ORIGIN);
        const after = store.head();
        assert.ok((after?.generation ?? 0) >= before);
        const expected = history[(after?.generation ?? 0) - 1];
        assert.equal(after?.digest, expected?.head.digest);
        if (after !== undefined) {
          assert.equal(digestEntries(store.entries()), after.digest);
        }
      }
    }),
    PROPERTY_OPTIONS,
  );
});

test("the digest does not depend on the order of entries or fields", () => {
  const entries = entriesOf(4);
  const reversed = new Map([...entries].reverse());
  assert.equal(digestEntries(entries), digestEntries(reversed));
  assert.equal(
    canonicalJson({ b: 1, a: { d: 1, c: [2, 1] } }),
    '{"a":{"c":[2,1],"d":1},"b":1}',
  );
});

test("the status lists a bounded number of applied generations", () => {
  const clock = new ManualClock(5_000);
  const store = new ConfigStore(clock);
  const sizes = Array.from({ length: 70 }, (_, index) => [index + 1, 1]);
  for (const copy of makeHistory(sizes as [number, number][])) {
    clock.advance(10);
    store.applyFull(copy, ORIGIN);
  }
  const { applied, confirmedAgeMs } = store.status();
  assert.equal(applied.length, 64);
  assert.deepEqual(applied.at(-1)?.generation, 70);
  assert.equal(applied.at(-1)?.appliedEpochMs, 5_700);
  assert.equal(confirmedAgeMs, 0);
});

test("a pair with one older table is stale and not accepted", () => {
  const accepted = { routes: 5, pools: 3 };
  assert.equal(compareVersions(accepted, { routes: 6, pools: 2 }), "stale");
  assert.equal(compareVersions(accepted, { routes: 5, pools: 3 }), "same");
  assert.equal(compareVersions(accepted, { routes: 5, pools: 4 }), "newer");
  const stored = (table: unknown, version: number) => ({
    version,
    value: { editId: "e", recentEditIds: ["e"], text: JSON.stringify(table) },
  });
  const { routes, pools } = sampleTables();
  const pair = { routes: stored(routes, 4), pools: stored(pools, 9) };
  const head = { generation: 8, digest: "0".repeat(64) };
  const decision = decideAccept(pair, {
    head,
    versions: accepted,
    snapshot: { slot: 0, chunksCount: 1 },
    acceptedBy: "a",
    acceptedEpochMs: 1,
  });
  assert.equal(decision.kind, "notNewer");
});
