import assert from "node:assert/strict";
import { test } from "node:test";
import {
  isElected,
  rankCandidates,
  type WatcherCandidate,
  watchersCount,
} from "./watcher_election.ts";

const WATCHING: WatcherCandidate = { isUp: true, isWatching: true };
const CUT_OFF: WatcherCandidate = { isUp: true, isWatching: false };
const LOST: WatcherCandidate = { isUp: false, isWatching: false };

const WANTED_COUNT = 2;
const NAMES = Array.from({ length: 39 }, (_, index) => `m-${index}`);

/**
 * Lets the candidates decide again until nothing changes, with each candidate's
 * own connection to the store given.
 */
function settle(reachesStore: readonly boolean[]): boolean[] {
  let isWatching = reachesStore.map(() => false);
  for (let round = 0; round < reachesStore.length + 1; round++) {
    isWatching = reachesStore.map((reaches, index) =>
      reaches &&
      isElected({
        isCandidate: true,
        wantedCount: WANTED_COUNT,
        preferred: isWatching.slice(0, index)
          .map((watching) => ({ isUp: true, isWatching: watching })),
      })
    );
  }
  return isWatching;
}

test("all members rank the candidates alike, whatever order they learned the names in", () => {
  assert.deepEqual(rankCandidates(NAMES), rankCandidates(NAMES.toReversed()));
});

test("each data centre has a watcher, and the fleet has at least three", () => {
  for (let count = 1; count <= 30; count++) {
    assert.ok(watchersCount(count) >= 1);
    assert.ok(watchersCount(count) * count >= 3);
  }
  assert.equal(watchersCount(30), 1);
});

test("a daemon that is no candidate watches only while it is connected to none", () => {
  const view = (preferred: WatcherCandidate[]) =>
    isElected({ isCandidate: false, preferred, wantedCount: WANTED_COUNT });
  assert.equal(view([CUT_OFF, LOST]), false);
  assert.equal(view([LOST, LOST]), true);
  assert.equal(view([]), true);
});

test("a candidate takes over from a preferred one that is lost or does not reach the store", () => {
  const view = (preferred: WatcherCandidate[]) =>
    isElected({ isCandidate: true, preferred, wantedCount: WANTED_COUNT });
  assert.equal(view([WATCHING, WATCHING]), false);
  assert.equal(view([WATCHING, LOST]), true);
  assert.equal(view([WATCHING, CUT_OFF]), true);
});

test("as many candidates watch as can, up to the number wanted, for any part that reaches the store", () => {
  for (let mask = 0; mask < 16; mask++) {
    const reachesStore = [1, 2, 4, 8].map((bit) => (mask & bit) !== 0);
    const reachableCount = reachesStore.filter(Boolean).length;
    assert.equal(
      settle(reachesStore).filter(Boolean).length,
      Math.min(WANTED_COUNT, reachableCount),
    );
  }
});
