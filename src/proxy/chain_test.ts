import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { sendCall } from "../../stand_ins/send_call.ts";
import type { Settings } from "../schemas/settings_schema.ts";
import { Mesh, type MeshInstance } from "../testing/mesh.ts";
import { waitFor } from "../testing/wait_for.ts";

const SERVICES = ["entry", "enrol", "certify", "logbook"];
const ORIGINALS_COUNT = 200;
const ATTEMPT_RATIO_MAX = 1.1;

/** Starts a chain in which each service calls the next one. */
async function startChain(t: TestContext, policy?: Settings["policy"]) {
  const routes = Object.fromEntries(SERVICES.map((pool) => [pool, {
    match: { method: "POST", pathPrefix: `/${pool}` },
    pool,
    class: "critical",
    idempotent: true,
  }]));
  const pools = Object.fromEntries(
    SERVICES.map((pool) => [pool, {
      refusalsNotRun: true,
      // A low callersMaxCount lets each caller use all endpoints of the pool.
      callersMaxCount: 1,
      endpointsCount: 2,
    }]),
  );
  const mesh = new Mesh(t, { routes, pools, policy });
  for (const [index, pool] of SERVICES.entries()) {
    const following = SERVICES[index + 1];
    for (let instanceIndex = 0; instanceIndex < 2; instanceIndex++) {
      const instance = await mesh.start({ pool });
      if (following !== undefined) {
        instance.upstream.changeBehaviour({
          next: {
            url: instance.outboundUrl,
            method: "POST",
            path: `/${following}`,
          },
        });
      }
    }
  }
  return mesh;
}

/**
 * Makes all instances of the last service refuse requests, and returns the
 * largest number of attempts per original request at any service.
 */
async function measureAttemptsRatio(mesh: Mesh): Promise<number> {
  const [first] = mesh.instances as [MeshInstance];
  mesh.instances
    .filter((one) => one.endpoint.pool === "logbook")
    .forEach((one) => one.upstream.changeBehaviour({ shedding: true }));
  const calls = [];
  for (let index = 0; index < ORIGINALS_COUNT; index++) {
    calls.push(sendCall({
      url: first.callersUrl,
      method: "POST",
      path: "/entry",
      token: `storm-${index}`,
    }));
    await sleep(5);
  }
  await Promise.all(calls);
  const countsOfPools = Object.values(mesh.requestsByPool()).map((all) =>
    all.length
  );
  return Math.max(...countsOfPools) / ORIGINALS_COUNT;
}

// Guards against a retry storm when the last of four services refuses all
// requests.
test("retries over a chain of four services stay within the budget", async (t) => {
  const ratio = await measureAttemptsRatio(await startChain(t));
  console.log(`attempts per original: ${ratio}`);
  assert.ok(ratio <= ATTEMPT_RATIO_MAX, `${ratio} attempts per original`);
});

test("the baseline policy, which retries at every hop, exceeds the budget", async (t) => {
  const ratio = await measureAttemptsRatio(await startChain(t, "fixed"));
  console.log(`attempts per original, baseline: ${ratio}`);
  assert.ok(ratio > ATTEMPT_RATIO_MAX, `${ratio} attempts per original`);
});

// Guards against services that keep running a request, and hold its slots,
// after the caller has disconnected.
test("a cancelled call is cancelled at every service of the chain", async (t) => {
  const mesh = await startChain(t);
  const [first] = mesh.instances as [MeshInstance];
  mesh.instances
    .filter((one) => one.endpoint.pool === "logbook")
    .forEach((one) => one.upstream.changeBehaviour({ serviceMs: 60_000 }));
  const abort = new AbortController();
  const call = sendCall({
    url: first.callersUrl,
    method: "POST",
    path: "/entry",
    token: "left",
  }, { signal: abort.signal });
  const all = () => Object.values(mesh.requestsByPool()).flat();
  await waitFor(
    "the last service runs the request",
    () => all().length === SERVICES.length && all().every((one) => one.effect),
  );
  abort.abort();
  await call;
  await waitFor(
    "no service runs the request",
    () =>
      all().every((one) => one.state === "cancelled" || one.state === "failed"),
  );
  assert.equal(all().length, SERVICES.length);
});
