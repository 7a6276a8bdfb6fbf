import assert from "node:assert/strict";
import { test } from "node:test";
import {
  chooseConnection,
  FRESH_MAX_MS,
  insertIdle,
  ROTATED_MAX_MS,
} from "./choose_connection.ts";

const NOW_MS = 10_000;
const STALE = { answeredAtMs: NOW_MS - FRESH_MAX_MS };
const OLD = { answeredAtMs: NOW_MS - 150 };
const NEW = { answeredAtMs: NOW_MS - 5 };

// Guards against a request that fails on a forgotten connection although it
// cannot be sent again.
test("a request that may run once only never gets a stale connection", () => {
  assert.equal(chooseConnection([], "once", NOW_MS), -1);
  assert.equal(chooseConnection([STALE], "once", NOW_MS), -1);
  assert.equal(
    chooseConnection([{ answeredAtMs: -Infinity }], "once", NOW_MS),
    -1,
  );
  assert.equal(chooseConnection([STALE, OLD], "once", NOW_MS), 1);
});

// New connections cost the upstream a slot.
test("requests that may run once only keep the newer connections fresh", () => {
  const recent = { answeredAtMs: NOW_MS - ROTATED_MAX_MS + 1 };
  assert.equal(chooseConnection([STALE, OLD, recent, NEW], "once", NOW_MS), 2);
});

test("other requests get the oldest fresh connection, else the newest", () => {
  assert.equal(chooseConnection([STALE, OLD, NEW], "repeatable", NOW_MS), 1);
  assert.equal(
    chooseConnection([{ answeredAtMs: 0 }, STALE], "repeatable", NOW_MS),
    1,
  );
  assert.equal(chooseConnection([], "repeatable", NOW_MS), -1);
});

test("a connection that returns without an answer keeps its place", () => {
  const idle = [STALE, NEW];
  insertIdle(idle, OLD);
  assert.deepEqual(idle, [STALE, OLD, NEW]);
});
