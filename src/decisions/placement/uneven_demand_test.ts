import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  type PlacementOptions,
  placeUpstreams,
  simulatePlacement,
} from "../../testing/placement_simulation.ts";

const FIRST_REQUEST_MAX_MS = 4_000;

function play(
  context: TestContext,
  options: Omit<PlacementOptions, "seed">,
) {
  const result = simulatePlacement({ seed: 1, ...options });
  context.diagnostic(JSON.stringify(result));
  return result;
}

// Before: 47% of the requests left their data centre, 35% while it had room.
test("waves of different phase: few requests leave a data centre with room", (context) => {
  const result = play(context, {
    upstreams: placeUpstreams(4),
    loadRatio: 0.7,
    wave: { swingRatio: 0.55, periodMs: 13_000 },
    measuredFromMs: 9_000,
    durationMs: 22_000,
  });
  assert.ok(result.remoteWithRoomRatio < 0.05);
  assert.ok(result.withinGoalRatio > 0.99);
});

// Before: 63% of the requests left their data centre.
test("a nearly idle pool of uneven upstreams is used in the own data centre", (context) => {
  const result = play(context, {
    upstreams: placeUpstreams(6, { isUneven: true }),
    loadRatio: 0.05,
    workMs: 130,
    measuredFromMs: 2_000,
    durationMs: 10_000,
  });
  assert.ok(result.remoteRatio < 0.01);
});

// Before: 11% left a data centre that had room, away from slow runs of the cold
// upstreams, at a load of 0.6.
test("upstreams that join cold get requests within 4 s and others keep to their data centre", (context) => {
  for (const [count, loadRatio] of [[4, 0.1], [6, 0.6]] as const) {
    const joining = placeUpstreams(2)
      .map((upstream) => ({ ...upstream, joinsAtMs: 6_000, coldMs: 3_000 }));
    const result = play(context, {
      upstreams: [...placeUpstreams(count), ...joining],
      loadRatio,
      measuredFromMs: 5_000,
      durationMs: 12_000,
    });
    assert.ok(Math.max(...result.firstRequestMs) < FIRST_REQUEST_MAX_MS);
    assert.ok(result.remoteWithRoomRatio < 0.05);
    assert.ok(result.withinGoalRatio > 0.99);
  }
});

// The callers of the lost data centre go to the others, which are then uneven.
test("after the loss of a data centre, the others take its requests", (context) => {
  const result = play(context, {
    upstreams: placeUpstreams(4),
    loadRatio: 0.45,
    lost: { dataCentre: "a", atMs: 5_000 },
    measuredFromMs: 4_000,
    durationMs: 12_000,
  });
  assert.ok(result.withinGoalRatio > 0.98);
});

// Before: it got no request in the 3 s after that, instead of a quarter of them.
test("an upstream that was slow is used again within 4 s", (context) => {
  const [first, ...others] = placeUpstreams(4);
  const slow = { fromMs: 4_000, untilMs: 10_000, speed: 0.2 };
  const result = play(context, {
    upstreams: [{ ...first!, slow }, ...others],
    loadRatio: 0.45,
    measuredFromMs: 14_000,
    durationMs: 17_000,
  });
  assert.ok(result.shares[0]! > 0.125);
});
