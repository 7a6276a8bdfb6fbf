import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { coarseTimeout } from "./coarse_timeout.ts";

test("a coarse timeout never fires early and fires at most 20 ms late", (t) => {
  mock.timers.enable({ apis: ["setTimeout"] });
  t.after(() => mock.timers.reset());
  for (const durationMs of [0, 1, 19.5, 20, 799.2]) {
    let isFired = false;
    coarseTimeout(() => isFired = true, durationMs);
    mock.timers.tick(Math.floor(durationMs));
    assert.equal(isFired, durationMs === 20);
    mock.timers.tick(20);
    assert.equal(isFired, true);
  }
});
