import assert from "node:assert/strict";
import { test } from "node:test";
import type { ConfigPeer } from "../link/config_peer.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { ConfigQueries } from "./config_queries.ts";

const TICK_MS = 100;

class FakePeer implements ConfigPeer {
  readonly peerName: string;
  isUp = true;
  queriesCount = 0;

  constructor(peerName: string) {
    this.peerName = peerName;
  }

  queryConfig(): void {
    this.queriesCount++;
  }
}

function createQueries() {
  const own = { version: 1 };
  const queries = new ConfigQueries({
    version: () => own.version,
    log: new NullLogger(),
  });
  /** Runs the control intervals of a span of time. */
  const run = (fromMs: number, untilMs: number) => {
    for (let nowMs = fromMs; nowMs <= untilMs; nowMs += TICK_MS) {
      queries.tick(nowMs);
    }
  };
  return { own, queries, run };
}

test("a newer version is asked for at once, of one peer", () => {
  const { queries } = createQueries();
  const [one, two] = [new FakePeer("one"), new FakePeer("two")];
  queries.noticeVersion(2, one, 0);
  queries.noticeVersion(2, two, 1);
  assert.deepEqual([one.queriesCount, two.queriesCount], [1, 0]);
});

test("a query that is lost with its peer is repeated to another peer that announced the version at the same time", () => {
  const { queries, run } = createQueries();
  const [one, two] = [new FakePeer("one"), new FakePeer("two")];
  queries.noticeVersion(2, one, 0);
  queries.noticeVersion(2, two, 1);
  one.isUp = false;
  run(100, 400);
  assert.equal(two.queriesCount, 1);
});

test("a query on a silent connection is repeated to another peer", () => {
  const { queries, run } = createQueries();
  const [one, two] = [new FakePeer("one"), new FakePeer("two")];
  queries.noticeVersion(2, one, 0);
  queries.noticeVersion(2, two, 1);
  run(100, 400);
  assert.deepEqual([one.queriesCount, two.queriesCount], [1, 1]);
});

test("the last version of several in quick succession is asked for", () => {
  const { own, queries, run } = createQueries();
  const peer = new FakePeer("one");
  queries.noticeVersion(2, peer, 0);
  queries.noticeVersion(3, peer, 80);
  own.version = 2;
  run(100, 400);
  assert.equal(peer.queriesCount, 2);
});

test("nothing is asked for once the version is in force", () => {
  const { own, queries, run } = createQueries();
  const peer = new FakePeer("one");
  queries.noticeVersion(2, peer, 0);
  own.version = 2;
  run(100, 2_000);
  assert.equal(peer.queriesCount, 1);
});

test("a peer whose version is in force already is not asked in place of one with a newer version", () => {
  const { own, queries } = createQueries();
  const [one, two] = [new FakePeer("one"), new FakePeer("two")];
  queries.noticeVersion(2, new FakePeer("first"), 0);
  queries.noticeVersion(2, one, 1);
  own.version = 2;
  queries.noticeVersion(3, two, 301);
  assert.deepEqual([one.queriesCount, two.queriesCount], [0, 1]);
});
