import assert from "node:assert/strict";
import { test } from "node:test";
import { FRAME, poolFiguresFrameSchema } from "../schemas/link_schema.ts";
import { encodeFrame } from "../link/frame_codec.ts";
import { PoolFiguresSource } from "./pool_figures_source.ts";

const GATE = { capacityPerS: 2_412.3, busyRatio: 1.426 };
const BYTES_MAX_PER_S = 8_000;

function report(source: PoolFiguresSource, count: number) {
  let answer: readonly unknown[] | undefined;
  for (let index = 0; index < count; index++) {
    answer = source.handleOfferFrame(
      [FRAME.offer, 7, [20, 0, 130]],
      `d-${index}`,
    );
  }
  return answer;
}

test("a report of offered runs is answered with the sum of all reports", () => {
  const answer = report(new PoolFiguresSource(GATE), 60);
  assert.deepEqual(poolFiguresFrameSchema.parse(answer), {
    number: 7,
    capacityPerS: 2_412,
    busyRatio: 1.43,
    reportIntervalMs: 250,
    offeredPerS: [1_200, 0, 7_800],
  });
});

// With many callers the answers would take more than a daemon may send.
test("the answers to any number of daemons stay below 8 KB/s", () => {
  for (const count of [3, 65, 200, 300, 2_000]) {
    const answer = report(new PoolFiguresSource(GATE), count);
    if (answer === undefined) {
      assert.ok(count >= 300);
      continue;
    }
    const { reportIntervalMs } = poolFiguresFrameSchema.parse(answer);
    const bytesPerS = count * encodeFrame(answer).length * 1_000 /
      reportIntervalMs;
    assert.ok(bytesPerS < BYTES_MAX_PER_S, `${count}: ${bytesPerS}`);
  }
});
