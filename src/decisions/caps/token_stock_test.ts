import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../core/random.ts";
import { DemandMeter } from "./demand_meter.ts";
import { Lateness } from "./lateness.ts";
import { LeaseBook } from "./lease_book.ts";
import { SeenNumbers } from "./seen_numbers.ts";
import { type CapDecision, TenantWaiters } from "./tenant_waiters.ts";
import { TokenStock } from "./token_stock.ts";

test("tokens are used in the order in which they expire, and none after that", () => {
  const stock = new TokenStock();
  stock.add(1, "late", 500);
  stock.add(2, "early", 200);
  assert.ok(stock.take(100));
  assert.ok(stock.take(300));
  assert.ok(!stock.take(300));
  assert.equal(stock.takeExpired("early"), 1);
  assert.equal(stock.takeExpired("late"), 0);
});

test("an expired token is returned once", () => {
  const stock = new TokenStock();
  stock.add(3, "owner", 100);
  stock.expire(100);
  assert.equal(stock.takeExpired("owner"), 3);
  assert.equal(stock.takeExpired("owner"), 0);
});

test("duplicates are recognised, overtaken messages are not taken for them", () => {
  const seen = new SeenNumbers();
  const numbers = [1, 3, 2, 3, 2, 1, 100, 99, 30, 99];
  assert.deepEqual(
    numbers.map((number) => seen.add(number)),
    [true, true, true, false, false, false, true, true, false, false],
  );
});

test("the lateness of a message does not depend on the offset of the clocks", () => {
  const lateness = new Lateness();
  assert.equal(lateness.record(1_000_000, 20), 0);
  assert.equal(lateness.record(1_000_100, 150), 30);
});

test("a drift of the clocks does not make all messages late", () => {
  const lateness = new Lateness();
  let lateMs = 0;
  for (let sentAtMs = 0; sentAtMs < 86_400_000; sentAtMs += 10_000) {
    lateMs = Math.max(lateMs, lateness.record(sentAtMs, sentAtMs * 1.00005));
  }
  assert.ok(lateMs < 5, String(lateMs));
});

test("the demand follows a steady rate and its end", () => {
  const meter = new DemandMeter();
  for (let nowMs = 0; nowMs <= 5_000; nowMs += 10) {
    meter.record(nowMs);
  }
  assert.ok(Math.abs(meter.ratePerS(5_000) - 100) < 5);
  assert.ok(meter.ratePerS(8_000) < 1);
});

test("a list of leased tenants is repeated until its number is acknowledged", () => {
  const book = new LeaseBook();
  book.set("t", true);
  const sequence = book.nextSequence(0);
  book.open(sequence, { sentAtMs: 0, waitingCounts: new Map() });
  assert.deepEqual(book.unacknowledged, ["t"]);
  book.answer(sequence, book.listNumber);
  assert.equal(book.unacknowledged, undefined);
  assert.equal(book.answer(sequence, book.listNumber), undefined);
});

test("an ask that was lost does not keep later requests from being asked for", () => {
  const book = new LeaseBook();
  book.open(1, { sentAtMs: 0, waitingCounts: new Map([["t", 2]]) });
  assert.equal(book.openCount("t", 50), 2);
  assert.equal(book.openCount("t", 150), 0);
});

test("requests wait at most 100 ms and in a bounded number", () => {
  const waiters = new TenantWaiters(new SeededRandom(1));
  const decisions: CapDecision[] = [];
  const onDecision = (decision: CapDecision) => decisions.push(decision);
  for (let index = 0; index < 1_000; index++) {
    assert.ok(waiters.add({ sinceMs: index < 3 ? 0 : 50, onDecision }));
  }
  assert.ok(!waiters.add({ sinceMs: 50, onDecision }));
  assert.equal(waiters.refuseOverdue(99), 0);
  assert.equal(waiters.refuseOverdue(100), 3);
  assert.equal(decisions.length, 3);
});

test("refused callers are spread over the time until the bucket has room", () => {
  const waiters = new TenantWaiters(new SeededRandom(1));
  waiters.roomInMs = 4_000;
  const times = Array.from({ length: 400 }, () => {
    const refusal = waiters.createRefusal();
    return refusal.isAdmitted ? 0 : refusal.retryAfterMs;
  });
  assert.ok(times.every((timeMs) => timeMs >= 4_000 && timeMs <= 8_000));
  for (let fromMs = 4_000; fromMs < 8_000; fromMs += 1_000) {
    const count = times
      .filter((timeMs) => timeMs >= fromMs && timeMs < fromMs + 1_000).length;
    assert.ok(count > 60 && count < 140, String(count));
  }
});
