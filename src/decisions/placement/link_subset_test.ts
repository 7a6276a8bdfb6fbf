import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  type LinkCandidate,
  OWN_DATA_CENTRE_LINKS_COUNT,
  POOL_LINKS_COUNT,
  selectLinks,
} from "./link_subset.ts";

const DATA_CENTRES = ["a", "b", "c", "d", "e"];

/** Members of a fleet with one large, one middle and one small pool. */
function createFleet(size: number): LinkCandidate[] {
  const poolOf = (index: number) =>
    index % 15 === 0 ? "small" : index % 3 === 0 ? "middle" : "large";
  return Array.from({ length: size }, (_, index) => ({
    name: `m-${index}`,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] as string,
    pool: poolOf(index),
    isDown: false,
  }));
}

function selectFor(own: LinkCandidate, fleet: readonly LinkCandidate[]) {
  return selectLinks(fleet.filter(({ name }) => name !== own.name), {
    ownName: own.name,
    ownDataCentre: own.dataCentre,
  });
}

test("a daemon of a small fleet links to every member", () => {
  const fleet = createFleet(24);
  for (const own of fleet) {
    assert.equal(selectFor(own, fleet).size, 23);
  }
});

test("the number of links does not grow with the fleet", () => {
  for (const size of [195, 300, 1_000]) {
    const fleet = createFleet(size);
    const selected = selectFor(fleet[1] as LinkCandidate, fleet);
    assert.ok(selected.size <= 3 * POOL_LINKS_COUNT);
  }
});

test("each member is selected by about as many daemons as the others of its pool", () => {
  const fleet = createFleet(300);
  const counts = new Map(fleet.map(({ name }) => [name, 0]));
  for (const own of fleet) {
    for (const name of selectFor(own, fleet)) {
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
  }
  for (const pool of ["small", "middle", "large"]) {
    const ofPool = fleet.filter((member) => member.pool === pool)
      .map(({ name }) => counts.get(name) as number);
    const mean = ofPool.reduce((sum, count) => sum + count, 0) / ofPool.length;
    assert.ok(Math.min(...ofPool) > mean / 2, `${pool}: ${ofPool}`);
    assert.ok(Math.max(...ofPool) < mean * 2, `${pool}: ${ofPool}`);
  }
});

test("the own data centre is preferred, and other data centres are always included", () => {
  const fleet = createFleet(300);
  const own = fleet[1] as LinkCandidate;
  const selected = selectFor(own, fleet);
  const large = fleet.filter(({ name, pool }) =>
    pool === "large" && selected.has(name)
  );
  const ownCount = large
    .filter(({ dataCentre }) => dataCentre === own.dataCentre).length;
  assert.equal(ownCount, OWN_DATA_CENTRE_LINKS_COUNT);
  assert.equal(large.length, POOL_LINKS_COUNT);
});

test("a member that joins displaces at most one other of its pool", () => {
  const fleet = createFleet(195);
  const joined: LinkCandidate = {
    name: "joined",
    dataCentre: "b",
    pool: "large",
    isDown: false,
  };
  for (const own of fleet) {
    const before = selectFor(own, fleet);
    const after = selectFor(own, [...fleet, joined]);
    const lost = [...before].filter((name) => !after.has(name));
    assert.ok(lost.length <= 1);
  }
});

test("members that are down are replaced and stay selected, for any losses", () => {
  fc.assert(
    fc.property(
      fc.uniqueArray(fc.nat({ max: 194 }), { maxLength: 150 }),
      fc.nat({ max: 194 }),
      (downIndices, ownIndex) => {
        const down = new Set(downIndices);
        const fleet = createFleet(195);
        const own = fleet[ownIndex] as LinkCandidate;
        const before = selectFor(own, fleet);
        const after = selectFor(
          own,
          fleet.map((member, index) => ({
            ...member,
            isDown: down.has(index),
          })),
        );
        for (const pool of ["small", "middle", "large"]) {
          const others = fleet.filter((member, index) =>
            member.pool === pool && member !== own && !down.has(index)
          );
          const selectedCount = others
            .filter(({ name }) => after.has(name)).length;
          assert.ok(
            selectedCount >= Math.min(others.length, POOL_LINKS_COUNT),
          );
        }
        const isDropped = (name: string) =>
          down.has(Number(name.slice(2))) && !after.has(name);
        // A link to a lost member is kept, so that it comes back.
        const droppedDown = [...before].filter(isDropped);
        assert.deepEqual(droppedDown, []);
      },
    ),
    { seed: 20, numRuns: 60 },
  );
});

test("a notice reaches every remaining daemon in three hops, for any losses and without any one data centre", () => {
  fc.assert(
    fc.property(
      fc.uniqueArray(fc.nat({ max: 299 }), { maxLength: 150 }),
      fc.nat({ max: DATA_CENTRES.length }),
      fc.nat(),
      (downIndices, lostDataCentre, sourceNumber) => {
        const down = new Set(downIndices);
        const fleet = createFleet(300).map((member, index) => ({
          ...member,
          isDown: down.has(index) ||
            member.dataCentre === DATA_CENTRES[lostDataCentre],
        }));
        const remaining = fleet.filter(({ isDown }) => !isDown);
        const linksOf = new Map(
          remaining.map((own) => [own.name, selectFor(own, fleet)]),
        );
        const source = remaining[sourceNumber % remaining.length];
        let notified = new Set([source?.name]);
        for (let hop = 0; hop < 3; hop++) {
          // A daemon sends the notice to those that have a link to it.
          const next = remaining.filter(({ name }) =>
            [...linksOf.get(name) as Set<string>]
              .some((peer) => notified.has(peer))
          );
          notified = new Set([...notified, ...next.map(({ name }) => name)]);
        }
        assert.equal(notified.size, remaining.length);
      },
    ),
    { seed: 30, numRuns: 20 },
  );
});
