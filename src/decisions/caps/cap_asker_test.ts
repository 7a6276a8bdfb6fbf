import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../core/random.ts";
import { CapAsker, type EndUsage } from "./cap_asker.ts";
import type { CapAsk } from "./cap_messages.ts";
import { rankCapOwners } from "./owner_choice.ts";
import type { CapDecision } from "./tenant_waiters.ts";

const CAPS = new Map([
  ["t", { ratePerS: 100, burstCount: 90, windowMs: 5_000 }],
]);
const CANDIDATES = ["a", "b"];
const [FIRST, SECOND] = rankCapOwners("t", CANDIDATES) as [string, string];

/** Asker whose owner has changed from the first to the second candidate. */
class MovedAsker {
  readonly asks: { ownerName: string; ask: CapAsk }[] = [];
  readonly connected = new Set(CANDIDATES);
  readonly asker: CapAsker;

  constructor() {
    const usable = new Set(CANDIDATES);
    this.asker = new CapAsker({
      view: {
        ownName: "own",
        candidates: CANDIDATES,
        upSinceMs: (name) => usable.has(name) ? 0 : undefined,
        isConnected: (name) => this.connected.has(name),
      },
      processId: 1,
      startedAtMs: -1_500,
      members: () => ({ count: 3, isComplete: true, isNew: false }),
      random: new SeededRandom(1),
      send: (ownerName, ask) => this.asks.push({ ownerName, ask }),
      sendHeld: () => {},
    });
    this.asker.applyCaps(CAPS, 0);
    // The first owner announces its stop.
    usable.delete(FIRST);
    this.asker.tick(10);
  }

  /** Starts a request. Returns its decisions. */
  admit(nowMs: number): CapDecision[] {
    const decisions: CapDecision[] = [];
    this.asker.admit("t", (decision) => decisions.push(decision), nowMs);
    return decisions;
  }

  /** Answers the last ask for one request. Returns the name of its owner. */
  answer(isGranted: boolean, nowMs: number): string {
    const { ownerName, ask } = this.asks.at(-1)!;
    this.asker.handleGrant(ownerName, {
      processId: ask.processId,
      sequence: ask.sequence,
      listNumber: ask.listNumber,
      tenants: [{
        tenantName: "t",
        grantedCount: isGranted ? 1 : 0,
        deniedCount: isGranted ? 0 : 1,
        roomInMs: isGranted ? 0 : 2_000,
        carriedCount: 0,
      }],
    }, nowMs);
    return ownerName;
  }
}

// Guards against requests that ask the former owner for good, which refuses them
// or is no longer there, although the present owner has tokens.
test("the former owner is asked only for what the owner has denied", () => {
  const moved = new MovedAsker();
  const first = moved.admit(100);
  assert.equal(moved.answer(false, 110), SECOND);
  assert.equal(moved.answer(true, 120), FIRST);
  assert.deepEqual(first, [{ isAdmitted: true }]);
  const second = moved.admit(200);
  assert.equal(moved.answer(true, 210), SECOND);
  assert.deepEqual(second, [{ isAdmitted: true }]);
});

// Guards against requests that wait for an owner whose process has ended.
test("a former owner that is lost is not asked", () => {
  const moved = new MovedAsker();
  moved.admit(100);
  assert.equal(moved.answer(false, 110), SECOND);
  assert.equal(moved.asks.at(-1)!.ownerName, FIRST);
  moved.connected.delete(FIRST);
  moved.asker.tick(150);
  const second = moved.admit(160);
  assert.equal(moved.answer(true, 170), SECOND);
  assert.equal(second.length, 0);
  assert.equal(moved.asker.counts.refusedCount, 0);
});

// Guards against callers that are told to return after a time that an owner said
// long ago, when the bucket was empty.
test("a grant ends the time that an earlier denial has told", () => {
  const moved = new MovedAsker();
  moved.connected.delete(FIRST);
  moved.admit(100);
  assert.equal(moved.answer(false, 110), SECOND);
  moved.admit(300);
  assert.equal(moved.answer(true, 310), SECOND);
  const unanswered = moved.admit(60_000);
  moved.asker.tick(60_100);
  const [decision] = unanswered;
  assert.ok(decision?.isAdmitted === false);
  assert.ok(decision.retryAfterMs <= 1_000, `${decision.retryAfterMs} ms`);
});

// Guards against a refusal of a request for which no token was asked yet.
test("a denial refuses only requests that waited when the owner was asked", () => {
  const moved = new MovedAsker();
  moved.connected.delete(FIRST);
  const cancel = moved.asker.admit("t", () => assert.fail(), 100);
  cancel(undefined, 105);
  const second = moved.admit(110);
  assert.equal(moved.answer(false, 120), SECOND);
  assert.deepEqual(second, []);
  assert.equal(moved.answer(true, 130), SECOND);
  assert.deepEqual(second, [{ isAdmitted: true }]);
});

// Guards against charges for requests that upstreams have refused, and against the
// use of their tokens long after they were granted.
test("the token of a request that has not run is used again until it expires", () => {
  const moved = new MovedAsker();
  moved.connected.delete(FIRST);
  const end = moved.asker.admit("t", () => {}, 100);
  moved.answer(true, 110);
  end(undefined, 120);
  let endSecond: EndUsage | undefined;
  const admitSecond = () => {
    const decisions: CapDecision[] = [];
    endSecond = moved.asker.admit("t", (next) => decisions.push(next), 200);
    return decisions;
  };
  assert.deepEqual(admitSecond(), [{ isAdmitted: true }]);
  endSecond!(undefined, 500);
  assert.deepEqual(moved.admit(500), []);

  const run = moved.asker.admit("t", () => {}, 600);
  moved.asker.tick(620);
  moved.answer(true, 630);
  run(630, 640);
  assert.deepEqual(moved.admit(650), []);
});
