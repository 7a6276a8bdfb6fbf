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

// Two daemons with the same members must name the same readers.
test("ranks that follow changes equal ranks that are computed anew", () => {
  const steps = fc.array(
    fc.record({ index: fc.nat(19), isJoin: fc.boolean() }),
    { maxLength: 80 },
  );
  fc.assert(
    fc.property(steps, (changes) => {
      const registry = new MemberRegistry("dc-0");
      const followed = new ReaderRanks(registry);
      const live = new Map<number, MemberUpdate>();
      changes.forEach(({ index, isJoin }, sequence) => {
        const update = createUpdate(index, sequence);
        if (isJoin) live.set(index, update);
        else live.delete(index);
        const state = isJoin ? "alive" : "gone";
        registry.apply({ ...update, state }, { nowMs: sequence });
        followed.applyChanges(registry.takeChanges());
        const fresh = new MemberRegistry("dc-0");
        const computed = new ReaderRanks(fresh);
        for (const one of live.values()) fresh.apply(one, { nowMs: 0 });
        computed.applyChanges(fresh.takeChanges());
        for (const dataCentre of ["dc-0", "dc-1"]) {
          assert.deepEqual(
            followed.listCandidates(dataCentre),
            computed.listCandidates(dataCentre),
          );
        }
      });
    }),
    { seed: 21, numRuns: 100 },
  );
});
