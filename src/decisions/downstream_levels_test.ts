import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../core/random.ts";
import { DownstreamLevels } from "./downstream_levels.ts";

const LEVEL_BELOW = 200;

/** Offers 30 requests per interval; a service below refuses from a rank on. */
function runIntervals(
  levels: DownstreamLevels,
  options: { count: number; refusedFromRank: number },
): { refused: number; admitted: number } {
  const random = new SeededRandom(9);
  const counts = { refused: 0, admitted: 0 };
  for (let interval = 0; interval < options.count; interval++) {
    for (let index = 0; index < 30; index++) {
      const rank = random.nextInt(512);
      if (levels.admits("status", rank)) {
        const refused = rank >= options.refusedFromRank;
        counts.admitted++;
        counts.refused += refused ? 1 : 0;
        levels.record("status", { rank, refused });
      }
    }
    levels.endInterval();
  }
  return counts;
}

test("levels per route guard against work on requests that a deeper service refuses", () => {
  const levels = new DownstreamLevels();
  runIntervals(levels, { count: 20, refusedFromRank: LEVEL_BELOW });
  const { refused, admitted } = runIntervals(levels, {
    count: 200,
    refusedFromRank: LEVEL_BELOW,
  });
  assert.ok(refused < 0.1 * admitted, `${refused} of ${admitted}`);
  assert.ok(admitted > 0.9 * 200 * 30 * LEVEL_BELOW / 512, `${admitted}`);
  assert.ok(levels.admits("logs", 511));
});

test("levels per route open again within 2 s after the deeper service has recovered", () => {
  const levels = new DownstreamLevels();
  runIntervals(levels, { count: 50, refusedFromRank: LEVEL_BELOW });
  runIntervals(levels, { count: 20, refusedFromRank: 512 });
  assert.ok(levels.admits("status", 511));
});
