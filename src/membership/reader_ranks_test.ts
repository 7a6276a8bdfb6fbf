import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { MemberUpdate } from "../schemas/member_schema.ts";
import { MemberRegistry } from "./member_registry.ts";
import { ReaderRanks } from "./reader_ranks.ts";

function createUpdate(index: number, sequence: number): MemberUpdate {
  return {
    instanceId: `instance-${index}`,
    dataCentre: `dc-${index % 2}`,
    incarnationEpochMs: 1,
    sequence,
    state: "alive",
    peerHost: "10.0.0.1",
    peerPort: 7_000,
    hopHost: "10.0.0.1",
    hopPort: 7_001,
    pool: "plates",
    slotsCount: 16,
    connectionsMaxCount: 200,
  };
}

// Two daemons with the same members must choose the same readers.
test("incrementally updated ranks equal recomputed ranks", () => {
  const steps = fc.array(
    fc.record({ index: fc.nat(19), isJoin: fc.boolean() }),
    { maxLength: 80 },
  );
  fc.assert(
    fc.property(steps, (changes) => {
      const registry = new MemberRegistry("dc-0");
      const updated = new ReaderRanks(registry);
      const live = new Map<number, MemberUpdate>();
      changes.forEach(({ index, isJoin }, sequence) => {
        const update = createUpdate(index, sequence);
        if (isJoin) live.set(index, update);
        else live.delete(index);
        const state = isJoin ? "alive" : "gone";
        registry.apply({ ...update, state }, { nowMs: sequence });
        updated.applyChanges(registry.takeChanges());
        const freshRegistry = new MemberRegistry("dc-0");
        const recomputed = new ReaderRanks(freshRegistry);
        for (const one of live.values()) freshRegistry.apply(one, { nowMs: 0 });
        recomputed.applyChanges(freshRegistry.takeChanges());
        for (const dataCentre of ["dc-0", "dc-1"]) {
          assert.deepEqual(
            updated.listCandidates(dataCentre),
            recomputed.listCandidates(dataCentre),
          );
        }
      });
    }),
    { seed: 21, numRuns: 100 },
  );
});
