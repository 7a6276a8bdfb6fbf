import assert from "node:assert/strict";
import process from "node:process";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { CallRecord } from "../../stand_ins/call_record.ts";
import { sendCall } from "../../stand_ins/send_call.ts";
import { checkHistory } from "../testing/check_history.ts";
import { Mesh, type MeshInstance } from "../testing/mesh.ts";
import { waitFor } from "../testing/wait_for.ts";

// `npm run test:replacement` sets a count that takes about a minute.
const REPLACEMENTS_COUNT = Number(process.env["REPLACEMENTS_COUNT"] ?? 2);
const INSTANCES_COUNT = 2;
const CALL_INTERVAL_MS = 60;
const VIDEO_BYTES = 1_000_000;
const VIDEO_BYTES_PER_S = 300_000;

const TABLES = {
  routes: {
    video: {
      match: { method: "GET", pathPrefix: "/videos" },
      pool: "mediatheque",
      class: "standard",
      idempotent: true,
    },
  },
  // A low callersMaxCount lets each caller use all endpoints of the pool.
  pools: { mediatheque: { callersMaxCount: 1, endpointsCount: 2 } },
};

// Guards against transfers that are aborted when their instance is replaced.
test("transfers of several seconds are not aborted when every instance is replaced", async (t) => {
  const mesh = new Mesh(t, TABLES);
  const entry = await mesh.start({ pool: "other" });
  let serving: MeshInstance[] = [];
  for (let index = 0; index < INSTANCES_COUNT; index++) {
    serving.push(await mesh.start({ pool: "mediatheque" }));
  }
  const calls: Promise<CallRecord>[] = [];
  let replacing = true;
  async function keepCalling(): Promise<void> {
    while (replacing) {
      const token = `video-${calls.length}`;
      calls.push(sendCall({
        url: entry.callersUrl,
        method: "GET",
        path: "/videos",
        token,
        answerBytesCount: VIDEO_BYTES,
        query: { bytesPerS: String(VIDEO_BYTES_PER_S) },
      }));
      await sleep(CALL_INTERVAL_MS);
    }
  }
  const calling = keepCalling();
  for (let index = 0; index < REPLACEMENTS_COUNT; index++) {
    const leaving = serving[0] as MeshInstance;
    serving = [
      ...serving.slice(1),
      await mesh.start({ pool: "mediatheque" }),
    ];
    await waitFor(
      "a transfer runs at the leaving instance",
      () => leaving.upstream.requests.some((one) => one.state === "running"),
    );
    leaving.signals.emit("terminate");
    // The directory is changed late, so that the draining instance refuses some
    // requests first.
    await sleep(500);
    mesh.directory.replace(serving.map((one) => one.endpoint));
    assert.equal(await leaving.daemon.ended, 0);
    leaving.upstream.stop();
  }
  replacing = false;
  await calling;
  const records = await Promise.all(calls);
  const complete = records.filter((one) => one.outcome === "complete");
  const cut = records.filter((one) => one.outcome === "broken");
  console.log(
    `${records.length} transfers, ${complete.length} complete, ${cut.length} cut`,
  );
  assert.deepEqual(
    checkHistory({ calls: records, requests: mesh.requestsByPool() }),
    [],
  );
  assert.equal(cut.length, 0);
  assert.ok(complete.length > records.length / 2);
});
