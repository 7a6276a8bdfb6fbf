import assert from "node:assert/strict";
import { test } from "node:test";
import { CallerMemory, type ReceivedCaller } from "./caller_memory.ts";

const MAX_BYTES = 1_000;

class StubCaller implements ReceivedCaller {
  readonly requestBytes: number;
  claimBytes = 0;
  receivedBytes = 0;
  progressAtMs = 0;
  isEvicted = false;

  constructor(requestBytes = 0) {
    this.requestBytes = requestBytes;
  }

  evict(): void {
    this.isEvicted = true;
  }
}

function startCallers(memory: CallerMemory, count: number, bytes: number) {
  return Array.from({ length: count }, () => {
    const caller = new StubCaller();
    memory.start(caller, { announcedBytes: bytes, nowMs: 0 });
    return caller;
  });
}

function countEvicted(callers: readonly StubCaller[]): number {
  return callers.filter(({ isEvicted }) => isEvicted).length;
}

// Guards against a crowd that takes more memory than the process has.
test("announced bodies count as a whole, and those that do not fit are refused", () => {
  const memory = new CallerMemory(MAX_BYTES);
  const callers = startCallers(memory, 12, 100);
  assert.equal(countEvicted(callers), 2);
  assert.equal(memory.heldBytes, MAX_BYTES);
  assert.equal(callers[11]?.isEvicted, true);
});

// Guards against a heap that is full of heads whose bodies are never sent.
test("the heads of unfinished requests count, and the largest are refused first", () => {
  const memory = new CallerMemory(MAX_BYTES);
  const callers = [300, 50, 500, 250].map((bytes) => new StubCaller(bytes));
  for (const caller of callers) {
    memory.start(caller, { announcedBytes: 10, nowMs: 0 });
  }
  assert.deepEqual(
    callers.map(({ isEvicted }) => isEvicted),
    [false, false, true, false],
  );
  assert.equal(memory.heldBytes, 630);
  memory.forward(callers[0] as StubCaller);
  memory.end(callers[0] as StubCaller, 0);
  assert.equal(memory.heldBytes, 320);
});

test("bodies without an announced length count by their bytes", () => {
  const memory = new CallerMemory(MAX_BYTES);
  const callers = startCallers(memory, 4, 0);
  let nowMs = 0;
  for (let sent = 0; sent < 3; sent++) {
    callers.filter(({ isEvicted }) => !isEvicted)
      .forEach((caller) => memory.add(caller, 100, ++nowMs));
  }
  assert.equal(countEvicted(callers), 1);
  assert.ok(memory.heldBytes <= MAX_BYTES);
});

test("a forwarded caller is not refused and counts until its end", () => {
  const memory = new CallerMemory(MAX_BYTES);
  const [forwarded] = startCallers(memory, 1, 900) as [StubCaller];
  memory.forward(forwarded);
  const [other] = startCallers(memory, 1, 400) as [StubCaller];
  assert.equal(forwarded.isEvicted, false);
  assert.equal(other.isEvicted, true);
  memory.end(forwarded, 0);
  memory.end(forwarded, 0);
  assert.equal(memory.heldBytes, 0);
});

// Guards against callers of large answers that keep all others from uploading.
test("small bodies are received while other bytes take the whole bound", () => {
  const memory = new CallerMemory(MAX_BYTES);
  memory.hold(2 * MAX_BYTES);
  assert.equal(memory.isFull, true);
  assert.equal(countEvicted(startCallers(memory, 5, 50)), 0);
  assert.equal(countEvicted(startCallers(memory, 1, 50)), 1);
  memory.release(2 * MAX_BYTES);
  assert.equal(memory.isFull, false);
});

// Guards against a permitted body that a machine with little memory refuses.
test("one body of the largest size is received, and small ones beside it", () => {
  const memory = new CallerMemory(MAX_BYTES);
  memory.setLargestBody(4 * MAX_BYTES);
  const [large] = startCallers(memory, 1, 4 * MAX_BYTES) as [StubCaller];
  const small = startCallers(memory, 5, 100);
  assert.equal(large.isEvicted, false);
  assert.equal(countEvicted(small), 0);
});

test("callers without progress make room for others", () => {
  const memory = new CallerMemory(MAX_BYTES);
  const stalled = startCallers(memory, 10, 100);
  const newcomer = new StubCaller();
  memory.start(newcomer, { announcedBytes: 100, nowMs: 5_000 });
  assert.equal(newcomer.isEvicted, false);
  assert.equal(countEvicted(stalled), 1);
});

// Guards against bodies that are refused so fast that their bytes pile up.
test("the bytes of refused bodies count until they are collected", () => {
  const memory = new CallerMemory(MAX_BYTES);
  const [refused] = startCallers(memory, 1, 0) as [StubCaller];
  memory.add(refused, MAX_BYTES, 0);
  memory.end(refused, 0);
  assert.equal(countEvicted(startCallers(memory, 2, 200)), 1);
  const later = new StubCaller();
  memory.start(later, { announcedBytes: 800, nowMs: 1_000 });
  assert.equal(later.isEvicted, false);
});

// Guards against the bytes of a body whose connection is lost, long after the
// last refusal, counting as collected at once.
test("bytes that are released late count from then on", () => {
  const memory = new CallerMemory(MAX_BYTES);
  const [lost] = startCallers(memory, 1, 0) as [StubCaller];
  memory.add(lost, MAX_BYTES, 0);
  memory.end(lost, 60_000);
  const next = new StubCaller();
  memory.start(next, { announcedBytes: MAX_BYTES, nowMs: 60_000 });
  assert.equal(next.isEvicted, true);
});
