import assert from "node:assert/strict";
import { test } from "node:test";
import { CurrencyQueries } from "./currency_queries.ts";

const NEAR = { name: "near", isWatching: true, isRemote: false };
const FAR = { name: "far", isWatching: true, isRemote: true };
const IDLE = { name: "idle", isWatching: false, isRemote: false };
const PEERS = [IDLE, FAR, NEAR];

function start() {
  const queries = new CurrencyQueries();
  const at = (ms: number, peers = PEERS) =>
    queries.next(peers, { monotonicMs: ms, wallMs: ms }, ms);
  const askedAt = (ms: number, peers = PEERS) => at(ms, peers)?.peerName;
  return { queries, at, askedAt };
}

test("a near watcher is asked first and once a second while it answers in time", () => {
  const { queries, at, askedAt } = start();
  for (const startMs of [0, 1_000, 2_000]) {
    const query = at(startMs);
    assert.equal(query?.peerName, "near");
    const sent = query && queries.answer(query);
    assert.equal(sent?.monotonicMs, startMs);
    queries.settle(true);
    assert.equal(askedAt(startMs + 900), undefined);
  }
});

// Guards against a daemon that loses its currency because one peer is silent or
// does not reach the store either.
test("another peer is asked 300 ms after a silent one, and at once after one whose currency is old", () => {
  const { queries, at, askedAt } = start();
  assert.equal(askedAt(0), "near");
  assert.equal(askedAt(290), undefined);
  const query = at(300);
  assert.equal(query?.peerName, "far");
  assert.ok(query && queries.answer(query));
  queries.settle(false);
  assert.equal(askedAt(310), "idle");
  assert.equal(askedAt(700), undefined);
  assert.equal(askedAt(1_000), "far");
});

test("of equal peers the one is asked that was asked longest ago", () => {
  const { queries, at } = start();
  const peers = ["a", "b", "c"].map((name) => ({ ...NEAR, name }));
  const asked = [0, 1, 2, 3].map((second) => {
    const query = at(second * 1_000, peers);
    assert.ok(query && queries.answer(query));
    queries.settle(true);
    return query.peerName;
  });
  assert.deepEqual(asked, ["a", "b", "c", "a"]);
});

// Guards against proofs by messages that answer no query of this daemon.
test("an answer is accepted late, but only once and from the peer that was asked", () => {
  const { queries, at } = start();
  const query = at(0);
  assert.ok(query);
  at(1_000);
  assert.equal(queries.answer({ ...query, peerName: "far" }), undefined);
  assert.equal(queries.answer(query)?.monotonicMs, 0);
  assert.equal(queries.answer(query), undefined);
  assert.equal(queries.answer({ ...query, number: 99 }), undefined);
});
