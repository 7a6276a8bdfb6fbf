import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { v7 as createKey } from "uuid";
import { type Call, sendCall } from "../../stand_ins/send_call.ts";
import { Mesh, type MeshInstance } from "../testing/mesh.ts";
import { SessionLog } from "../testing/session_log.ts";

const POST_ROUTE = { class: "critical", idempotent: false };

async function startSession(t: TestContext) {
  const mesh = new Mesh(t, {
    routes: {
      enrol: {
        ...POST_ROUTE,
        match: { method: "POST", pathPrefix: "/enrolments" },
        pool: "inscription",
        keys: "optional",
      },
      look: {
        match: { method: "GET", pathPrefix: "/enrolments" },
        pool: "inscription",
        class: "standard",
        idempotent: true,
      },
      vote: {
        ...POST_ROUTE,
        match: { method: "POST", pathPrefix: "/votes" },
        pool: "certify",
      },
    },
    pools: { inscription: { refusalsNotRun: true }, certify: {} },
    rules: { clockSkewMaxMs: 1 },
    policy: "fixed",
  });
  const server = await mesh.start({ pool: "inscription" });
  const certify = await mesh.start({ pool: "certify" });
  const entry = await mesh.start({ pool: "other" });
  mesh.setOwners("inscription");
  const log = new SessionLog();
  log.watch("hop to inscription", server.hopRelay);
  log.watch("inscription's upstream", server.upstreamRelay);
  log.watch("hop to certify", certify.hopRelay);
  log.watch("certify's upstream", certify.upstreamRelay);
  return { mesh, server, certify, entry, log };
}

function enrol(entry: MeshInstance, call: Partial<Call> = {}) {
  return sendCall({
    url: entry.callersUrl,
    method: "POST",
    path: "/enrolments",
    token: "t1",
    ...call,
  });
}

function assertGolden(log: SessionLog, name: string): void {
  const { actual, expected } = log.loadGolden(name);
  assert.equal(actual, expected);
}

// The golden files guard against unintended changes of the messages that
// callers, upstreams and other daemons receive. GOLDEN_UPDATE=1 rewrites them.

test("golden session: an enrolment that calls certify", async (t) => {
  const { server, entry, log } = await startSession(t);
  server.upstream.changeBehaviour({
    next: { url: server.outboundUrl, method: "POST", path: "/votes" },
  });
  log.addCall("enrols", await enrol(entry));
  assertGolden(log, "enrolment");
});

test("golden session: a refused request, and its retry at another instance", async (t) => {
  const { mesh, server, entry, log } = await startSession(t);
  server.upstream.changeBehaviour({ shedding: true });
  const call = { method: "GET" } as const;
  log.addCall("looks while the only upstream sheds", await enrol(entry, call));
  const other = await mesh.start({ pool: "inscription" });
  log.watch("hop to the other inscription", other.hopRelay);
  mesh.directory.replace([other.endpoint]);
  log.addCall("looks when another one serves", await enrol(entry, call));
  assertGolden(log, "refusal");
});

test("golden session: a retry with the same key is answered from the ledger", async (t) => {
  const { entry, log } = await startSession(t);
  const key = createKey();
  log.addCall("enrols with a key", await enrol(entry, { key }));
  log.addCall("repeats the key", await enrol(entry, { key }));
  const changed = { key, path: "/enrolments/other" };
  log.addCall("uses the key for another request", await enrol(entry, changed));
  assertGolden(log, "repeated_key");
});

test("golden session: a request without a route and one with internal headers", async (t) => {
  const { entry, log } = await startSession(t);
  log.addCall("asks for nothing", await enrol(entry, { path: "/nothing" }));
  const headers = {
    "goldcrest-hop": "1;forged",
    "goldcrest-outcome": "complete",
    "goldcrest-request-id": "forged",
  };
  log.addCall("sends internal headers", await enrol(entry, { headers }));
  assertGolden(log, "door");
});
