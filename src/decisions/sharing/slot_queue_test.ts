import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { SlotQueue } from "./slot_queue.ts";

const request = (goalAtMs: number) => ({ goalAtMs });

test("a waiting request with a nearer goal runs first", () => {
  const slots = new SlotQueue<ReturnType<typeof request>>();
  slots.setLimit(1);
  assert.equal(slots.enter(request(900)), true);
  const late = request(500);
  const soon = request(100);
  assert.equal(slots.enter(late), false);
  assert.equal(slots.enter(soon), false);
  assert.equal(slots.takeNext(), undefined);
  slots.release();
  assert.equal(slots.takeNext(), soon);
});

// Guards against refusing a request for the wait behind requests that it would
// overtake.
test("only requests with the same or a nearer goal are counted as ahead", () => {
  const slots = new SlotQueue<ReturnType<typeof request>>();
  slots.setLimit(1);
  [900, 300, 100, 200].forEach((goal) => slots.enter(request(goal)));
  assert.equal(slots.countAhead(50), 0);
  assert.equal(slots.countAhead(200), 2);
  assert.equal(slots.countAhead(1_000), 3);
});

test("no request is lost under random operations and changes of the limit", () => {
  const step = fc.oneof(
    fc.record({ kind: fc.constant("enter"), value: fc.nat(1_000) }),
    fc.record({ kind: fc.constant("leave"), value: fc.constant(0) }),
    fc.record({
      kind: fc.constant("limit"),
      value: fc.integer({ min: 0, max: 6 }),
    }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const slots = new SlotQueue<ReturnType<typeof request>>();
      slots.setLimit(3);
      let open = 0;
      for (const { kind, value } of steps) {
        if (kind === "enter") {
          open++;
          slots.enter(request(value));
        } else if (kind === "leave" && slots.runningCount > 0) {
          open--;
          slots.release();
          slots.takeNext();
        } else if (kind === "limit") {
          slots.setLimit(value);
        }
        assert.equal(slots.runningCount + slots.waitingCount, open);
      }
    }),
    { seed: 7, numRuns: 200 },
  );
});
