import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../core/random.ts";
import { DownstreamLevels } from "./downstream_levels.ts";

const DOWNSTREAM_LEVEL = 200;

/** Offers 30 requests per interval; a downstream service refuses high ranks. */
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

// Guards against work that an upstream spends on requests which a downstream
// service then refuses.
test("requests that a downstream service would refuse are hardly admitted", () => {
  const levels = new DownstreamLevels();
  runIntervals(levels, { count: 20, refusedFromRank: DOWNSTREAM_LEVEL });
  const { refused, admitted } = runIntervals(levels, {
    count: 200,
    refusedFromRank: DOWNSTREAM_LEVEL,
  });
  assert.ok(refused < 0.1 * admitted, `${refused} of ${admitted}`);
  assert.ok(admitted > 0.9 * 200 * 30 * DOWNSTREAM_LEVEL / 512, `${admitted}`);
  assert.ok(levels.admits("logs", 511));
});

test("all ranks are admitted again within 2 s after the downstream service has recovered", () => {
  const levels = new DownstreamLevels();
  runIntervals(levels, { count: 50, refusedFromRank: DOWNSTREAM_LEVEL });
  runIntervals(levels, { count: 20, refusedFromRank: 512 });
  assert.ok(levels.admits("status", 511));
});
