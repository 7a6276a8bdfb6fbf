import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type QueueEntry, RankQueue } from "./rank_queue.ts";

function entry(ticket: number, rank: number, sinceMs: number): QueueEntry {
  const request = {
    ticket,
    rank,
    tenant: "t",
    tenantWeight: 1,
    depthCount: 0,
    deadlineMs: Infinity,
  };
  return { request, rank, sinceMs };
}

/** Reference implementation of `take` by a linear scan. */
function takeReference(list: QueueEntry[], newestFirst: boolean) {
  const best = Math.min(...list.map((e) => Math.floor(e.rank / 128)));
  const ofClass = list.filter((e) => Math.floor(e.rank / 128) === best);
  const chosen = ofClass.at(newestFirst ? -1 : 0);
  list.splice(list.indexOf(chosen as QueueEntry), 1);
  return chosen;
}

// Guards against entries that the linked lists lose or return twice.
test("the queue agrees with a reference list under random sequences of operations", () => {
  const operation = fc.record({
    kind: fc.constantFrom("push", "oldest", "newest", "worst", "remove", "old"),
    rank: fc.integer({ min: 0, max: 511 }),
    pick: fc.nat(1_000),
  });
  fc.assert(
    fc.property(fc.array(operation, { maxLength: 200 }), (operations) => {
      const queue = new RankQueue();
      const list: QueueEntry[] = [];
      operations.forEach(({ kind, rank, pick }, index) => {
        if (kind === "push") {
          const added = entry(index, rank, index);
          queue.push(added);
          list.push(added);
        } else if (list.length > 0 && kind === "worst") {
          const highest = Math.max(...list.map((e) => e.rank));
          const worst = list.findLast((e) => e.rank === highest);
          assert.equal(
            queue.leastImportant()?.request.ticket,
            worst?.request.ticket,
          );
        } else if (list.length > 0 && kind === "remove") {
          const [removed] = list.splice(pick % list.length, 1) as [QueueEntry];
          assert.ok(queue.remove(removed.request.ticket));
        } else if (list.length > 0 && kind === "old") {
          const old = queue.takeOlderThan(
            new Array(4).fill((list[0] as QueueEntry).sinceMs + 1),
          );
          assert.equal(old?.request.ticket, list.shift()?.request.ticket);
        } else if (list.length > 0) {
          const newestFirst = kind === "newest";
          const order = newestFirst ? "newest-first" : "oldest-first";
          assert.equal(
            queue.take(order)?.request.ticket,
            takeReference(list, newestFirst)?.request.ticket,
          );
        }
        assert.equal(queue.size, list.length);
        assert.equal(queue.oldestSinceMs(), list[0]?.sinceMs);
      });
    }),
    { seed: 7, numRuns: 300 },
  );
});
