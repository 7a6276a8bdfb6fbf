import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { v7 as createKey } from "uuid";
import { sendCall } from "../../stand_ins/send_call.ts";
import { checkHistory } from "../testing/check_history.ts";
import { Mesh } from "../testing/mesh.ts";
import { waitFor } from "../testing/wait_for.ts";

const FILE_BYTES = 50_000_000;
const TABLES = {
  routes: {
    view: {
      match: { method: "GET", pathPrefix: "/views" },
      pool: "catalogue",
      class: "standard",
      idempotent: true,
    },
    order: {
      match: { method: "POST", pathPrefix: "/orders" },
      pool: "catalogue",
      class: "critical",
      idempotent: false,
      keys: "optional",
    },
  },
  pools: { catalogue: {} },
};

function tokenDigest(token: string): string {
  return createHash("sha256").update(token).digest("hex");
}

async function startPair(t: TestContext, tables = TABLES) {
  const mesh = new Mesh(t, tables);
  const server = await mesh.start({ pool: "catalogue" });
  const entry = await mesh.start({ pool: "other" });
  return { mesh, server, entry };
}

// Guards against an answer that goes to the next request on a reused connection
// after its own caller gave up.
test("an answer to a caller that gave up never reaches another caller", async (t) => {
  const { mesh, server, entry } = await startPair(t);
  server.upstream.changeBehaviour({ serviceMs: 20, spreadRatio: 1 });
  const calls = await Promise.all(
    Array.from({ length: 600 }, (_, index) => {
      const givesUp = index % 3 === 0;
      return sendCall({
        url: entry.callersUrl,
        method: "GET",
        path: "/views",
        token: `late-${index}`,
        answerBytesCount: 20_000 + index,
        headers: index % 5 === 0 ? { "goldcrest-deadline-ms": "15" } : {},
      }, { signal: givesUp ? AbortSignal.timeout(index % 30) : undefined });
    }),
  );
  assert.deepEqual(
    checkHistory({ calls, requests: mesh.requestsByPool() }),
    [],
  );
  const completeCount =
    calls.filter((one) => one.outcome === "complete").length;
  assert.ok(completeCount > 200, `${completeCount} calls were complete`);
  assert.ok(completeCount < 600, "some calls gave up");
});

// Guards against a truncated file that looks complete to the caller.
for (const chunked of ["0", "1"]) {
  test(`an upstream connection lost within a large file aborts the transfer, chunked=${chunked}`, async (t) => {
    const { server, entry } = await startPair(t);
    const call = sendCall({
      url: entry.callersUrl,
      method: "GET",
      path: "/views",
      token: "video",
      answerBytesCount: FILE_BYTES,
      query: { chunked },
    });
    await server.upstreamRelay.waitForBytes("toClient", FILE_BYTES / 2);
    server.upstreamRelay.reset();
    const record = await call;
    assert.equal(record.outcome, "broken");
    assert.ok(record.bytesCount < FILE_BYTES);
  });
}

test("a large file arrives complete and unchanged", async (t) => {
  const { mesh, entry } = await startPair(t);
  const record = await sendCall({
    url: entry.callersUrl,
    method: "GET",
    path: "/views",
    token: "video",
    answerBytesCount: FILE_BYTES,
  });
  assert.deepEqual(
    checkHistory({ calls: [record], requests: mesh.requestsByPool() }),
    [],
  );
  assert.equal(record.bytesCount, FILE_BYTES);
});

// Guards against giving a tenant the recorded answer of another one: equal keys
// of two tenants are distinct, and a tenant name without its token is denied.
test("tenants with the same key get their own answers, and wrong tokens are denied", async (t) => {
  const tenants = {
    thies: { tokenSha256: tokenDigest("token-thies") },
    dakar: { tokenSha256: tokenDigest("token-dakar") },
  };
  const rules = { clockSkewMaxMs: 1 };
  const { mesh, entry } = await startPair(
    t,
    { ...TABLES, tenants, rules } as never,
  );
  mesh.setOwners("catalogue");
  const startedMs = Date.now();
  await waitFor(
    "keys are younger than the daemons",
    () => Date.now() > startedMs + 20,
  );
  const base = {
    url: entry.callersUrl,
    method: "POST",
    path: "/orders",
    token: "order-1",
    key: createKey(),
  } as const;
  const calls = [
    await sendCall({ ...base, tenant: "thies", tenantToken: "token-thies" }),
    await sendCall({ ...base, tenant: "dakar", tenantToken: "token-dakar" }),
    await sendCall({ ...base, tenant: "thies", tenantToken: "token-thies" }),
    await sendCall({ ...base, tenant: "thies", tenantToken: "token-dakar" }),
    await sendCall({
      ...base,
      tenant: "ziguinchor",
      tenantToken: "token-dakar",
    }),
    await sendCall({ ...base, tenant: "__proto__", tenantToken: "" }),
  ];
  assert.deepEqual(calls.map((one) => one.errorKind), [
    "",
    "",
    "",
    "tenant_denied",
    "tenant_denied",
    "tenant_denied",
  ]);
  const requests = mesh.requestsByPool();
  assert.deepEqual(checkHistory({ calls, requests }), []);
  assert.deepEqual(
    requests["catalogue"]?.map((one) => one.tenant),
    ["thies", "dakar"],
  );
});

// Guards against accepting an answer of another daemon or to another request.
test("an answer whose header does not match the request closes the connection", async (t) => {
  const { mesh, server, entry } = await startPair(t);
  let connectionsCount = 0;
  const forgingServer = createServer((_request, response) => {
    response.writeHead(200, {
      "goldcrest-answer":
        `1;other-id;${server.endpoint.instanceId};;complete;0;0;512;0;50;0;0;0.k1.x`,
    });
    response.end("another caller's answer");
  });
  forgingServer.on("connection", () => connectionsCount++);
  await new Promise<void>((resolve) =>
    forgingServer.listen(0, "127.0.0.1", resolve)
  );
  t.after(() => forgingServer.close());
  const { port } = forgingServer.address() as AddressInfo;
  mesh.directory.replace([{ ...server.endpoint, hopPort: port }]);
  for (const token of ["first", "second"]) {
    const record = await sendCall({
      url: entry.callersUrl,
      method: "POST",
      path: "/orders",
      token,
    });
    assert.equal(record.errorKind, "peer_failed");
    assert.equal(record.outcome, "unknown");
  }
  assert.equal(connectionsCount, 2);
});
