import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { sendCall } from "../../stand_ins/send_call.ts";
import { Mesh, type MeshInstance } from "../testing/mesh.ts";
import { waitFor } from "../testing/wait_for.ts";
import { encodeHopRequest, HOP_REQUEST_HEADER } from "./hop_header.ts";
import { HopTokens } from "./hop_token.ts";

const TABLES = {
  routes: {
    upload: {
      match: { method: "POST", pathPrefix: "/uploads" },
      pool: "catalogue",
      class: "standard",
      idempotent: false,
      bodyMaxBytes: 100_000,
    },
    import: {
      match: { method: "POST", pathPrefix: "/imports" },
      pool: "catalogue",
      class: "standard",
      idempotent: false,
      bodyMaxBytes: 2_000_000,
    },
    view: {
      match: { method: "GET", pathPrefix: "/views" },
      pool: "catalogue",
      class: "standard",
      idempotent: true,
    },
    probe: {
      match: { method: "HEAD", pathPrefix: "/views" },
      pool: "catalogue",
      class: "standard",
      idempotent: true,
    },
  },
  pools: { catalogue: {} },
};

async function startPair(t: TestContext) {
  const mesh = new Mesh(t, TABLES);
  const server = await mesh.start({ pool: "catalogue" });
  const entry = await mesh.start({ pool: "other" });
  return { mesh, server, entry };
}

/** Difference between the clocks of two daemons. */
const CLOCKS_MS = 7_000;

type Listener = "callers" | "hop";

function open(instance: MeshInstance, listener: Listener = "callers"): Socket {
  const socket = connect(instance.bound[listener].port, "127.0.0.1");
  socket.on("error", () => {});
  return socket;
}

/** Sends raw bytes and reads until the expected text has arrived. */
async function exchange(
  instance: MeshInstance,
  text: string,
  options: { until: RegExp; listener?: Listener },
): Promise<string> {
  const socket = open(instance, options.listener);
  let received = "";
  let closed = false;
  socket.on("data", (chunk) => received += chunk);
  socket.on("close", () => closed = true);
  socket.write(text);
  await waitFor(
    `an answer matches ${options.until}`,
    () => options.until.test(received) || closed,
  );
  socket.destroy();
  return received;
}

function requestText(
  line: string,
  headers: readonly string[] = [],
  body = "",
): string {
  return `${line} HTTP/1.1\r\nHost: x\r\n${
    headers.map((header) => `${header}\r\n`).join("")
  }\r\n${body}`;
}

const END_OF_HEAD = /\r\n\r\n/;

test("oversized headers are refused with header_too_large", async (t) => {
  const { entry, mesh } = await startPair(t);
  const text = requestText("GET /views", [`X-Large: ${"x".repeat(20_000)}`]);
  const answer = await exchange(entry, text, { until: END_OF_HEAD });
  assert.match(answer, /^HTTP\/1\.1 431 /);
  assert.match(answer, /goldcrest-error: header_too_large/i);
  assert.match(answer, /goldcrest-outcome: not-run/i);
  assert.equal(mesh.requestsByPool()["catalogue"]?.length, 0);
});

test("malformed HTTP is refused with bad_request", async (t) => {
  const { entry } = await startPair(t);
  const answer = await exchange(entry, "NONSENSE\r\n\r\n", {
    until: END_OF_HEAD,
  });
  assert.match(answer, /goldcrest-error: bad_request/i);
});

/** Sends a chunked body over the limit of its route. */
function sendOversize(
  entry: MeshInstance,
  { path, chunksCount }: { path: string; chunksCount: number },
): Promise<string> {
  const chunk = `${(50_000).toString(16)}\r\n${"x".repeat(50_000)}\r\n`;
  const text = requestText(
    `POST ${path}`,
    ["Transfer-Encoding: chunked"],
    chunk.repeat(chunksCount),
  );
  return exchange(entry, text, { until: END_OF_HEAD });
}

// Guards against outcome not-run when the upstream received a part of the body.
test("a streamed body over the limit is refused with body_too_large and outcome unknown", async (t) => {
  const { entry } = await startPair(t);
  const answer = await sendOversize(entry, {
    path: "/imports?token=a",
    chunksCount: 50,
  });
  assert.match(answer, /^HTTP\/1\.1 413 /);
  assert.match(answer, /goldcrest-error: body_too_large/i);
  assert.match(answer, /goldcrest-outcome: unknown/i);
});

// Guards against a part of a collected body that reaches the upstream.
test("a collected body over the limit is refused with body_too_large and does not run", async (t) => {
  const { entry, mesh } = await startPair(t);
  const answer = await sendOversize(entry, {
    path: "/uploads?token=a",
    chunksCount: 4,
  });
  assert.match(answer, /^HTTP\/1\.1 413 /);
  assert.match(answer, /goldcrest-error: body_too_large/i);
  assert.match(answer, /goldcrest-outcome: not-run/i);
  assert.equal(mesh.requestsByPool()["catalogue"]?.length, 0);
});

// Guards against a leaked slot, and against a crash, when a caller disconnects
// in the middle of its request body.
for (const length of ["Content-Length: 50000", "Transfer-Encoding: chunked"]) {
  test(`a caller that disconnects within its body leaves no request at the upstream, ${length}`, async (t) => {
    const { entry, server, mesh } = await startPair(t);
    const body = length.startsWith("Content") ? "part" : "4\r\npart\r\n";
    const socket = open(entry);
    socket.write(requestText("POST /uploads?token=a", [length], body));
    await waitFor(
      "the request has been written",
      () => socket.bytesWritten > 60,
    );
    await new Promise((resolve) => setTimeout(resolve, 50));
    socket.destroy();
    await waitFor(
      "no request is left at the upstream",
      () =>
        (mesh.requestsByPool()["catalogue"] ?? []).every((one) =>
          one.state !== "waiting" && one.state !== "running"
        ),
    );
    const record = await sendCall({
      url: entry.callersUrl,
      method: "GET",
      path: "/views",
      token: "after",
    });
    assert.equal(record.outcome, "complete");
    assert.equal(server.upstream.requests.at(-1)?.token, "after");
  });
}

// Guards against unbounded buffers when a caller does not read its answer.
test("an answer that is not read pauses the transfer from the upstream", async (t) => {
  const { entry, server } = await startPair(t);
  const socket = open(entry);
  socket.pause();
  socket.write(requestText("GET /views?token=a&bytes=200000000"));
  await waitFor(
    "the transfer has begun",
    () => server.upstream.requests.length === 1,
  );
  await new Promise((resolve) => setTimeout(resolve, 500));
  assert.equal(server.upstream.requests[0]?.state, "running");
  socket.destroy();
  await waitFor(
    "the upstream stops",
    () => server.upstream.requests[0]?.state === "cancelled",
  );
});

test("internal headers that a caller sends are ignored", async (t) => {
  const { entry, server } = await startPair(t);
  const answer = await exchange(
    entry,
    requestText("GET /views?token=a", [
      "Goldcrest-Outcome: not-run",
      "Goldcrest-Tenant: thies",
      "Goldcrest-Request-Id: forged",
      "goldcrest-hop: 1;forged",
      "goldcrest-answer: 1;forged",
      "Goldcrest-Class: critical",
      "Goldcrest-Attempts: 99",
    ]),
    { until: END_OF_HEAD },
  );
  assert.match(answer, /goldcrest-outcome: complete/i);
  const [received] = server.upstream.requests;
  assert.equal(received?.tenant, "default");
  assert.notEqual(received?.requestId, "forged");
});

for (
  const [name, hop] of [
    ["no token", []],
    ["a malformed hop header", ["goldcrest-hop: 1;x"]],
    [
      "a forged token",
      [
        "goldcrest-hop: 1;id;other-1;catalogue-0;1;default;view;catalogue;0;1;1;1;3;1000,1000;0.k1.AAAA",
      ],
    ],
  ] as const
) {
  test(`a hop request with ${name} is refused with hop_rejected`, async (t) => {
    const { server, mesh } = await startPair(t);
    const answer = await exchange(server, requestText("GET /views", hop), {
      until: END_OF_HEAD,
      listener: "hop",
    });
    assert.match(answer, /^HTTP\/1\.1 403 /);
    assert.match(answer, /goldcrest-error: hop_rejected/i);
    assert.equal(mesh.requestsByPool()["catalogue"]?.length, 0);
  });
}

/** Returns the header of a hop request to the daemon beside an upstream. */
function hopHeader(
  { endpoint }: MeshInstance,
  times: { sentAtMs?: number; remainingMs?: number } = {},
): string {
  const tokens = new HopTokens(
    [{ id: "k1", secret: "0123456789abcdef" }],
    () => Date.now(),
  );
  const ids = { fromInstanceId: "peer", toInstanceId: endpoint.instanceId };
  const value = encodeHopRequest({
    ...ids,
    requestId: "r1",
    toIncarnationEpochMs: endpoint.incarnationEpochMs,
    tenant: "default",
    routeName: "upload",
    pool: "catalogue",
    importanceClass: "standard",
    admissionKey: 1,
    idempotent: false,
    keyed: false,
    repeated: false,
    depthCount: 1,
    attemptsLeftCount: 1,
    remainingMs: 10_000,
    idleTimeoutMs: 10_000,
    ...times,
  }, tokens.make({ direction: "request", ...ids }));
  return `${HOP_REQUEST_HEADER}: ${value}`;
}

// Guards against slots of an upstream that unfinished bodies hold, from callers
// and from daemons that have been cut off.
for (const listener of ["callers", "hop"] as const) {
  test(`a body runs only when it is complete (${listener})`, async (t) => {
    const { entry, server } = await startPair(t);
    const socket = open(listener === "hop" ? server : entry, listener);
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    socket.write(requestText("POST /uploads?token=a", [
      hopHeader(server),
      "Content-Length: 70000",
    ], "x".repeat(69_999)));
    await waitFor(
      "the body has been written",
      () => socket.bytesWritten > 69_999 && socket.writableLength === 0,
    );
    await new Promise((resolve) => setTimeout(resolve, 100));
    assert.equal(server.upstream.requests.length, 0);
    socket.write("x");
    await waitFor("the answer", () => END_OF_HEAD.test(received));
    assert.match(received, /^HTTP\/1\.1 200 /);
    assert.equal(server.upstream.requests.length, 1);
  });
}

// Guards against a remaining time that stands still while a request is on its way.
test("a hop request that has waited on its way until its deadline does not run", async (t) => {
  const { server } = await startPair(t);
  const socket = open(server, "hop");
  let received = "";
  socket.on("data", (chunk) => received += chunk);
  const send = async (waitedMs: number, answersCount: number) => {
    const sentAtMs = Math.round(performance.now()) + CLOCKS_MS - waitedMs;
    const header = hopHeader(server, { sentAtMs, remainingMs: 1_000 });
    socket.write(requestText("POST /uploads?token=a", [header]));
    await waitFor(
      "the answer",
      () => (received.match(/HTTP\/1\.1/g) ?? []).length === answersCount,
    );
  };
  await send(0, 1);
  await send(500, 2);
  await send(2_000, 3);
  assert.equal(server.upstream.requests.length, 2);
  assert.match(received, /;deadline_unmeetable;not-run;/);
  socket.destroy();
});

test("a hop request to another incarnation is refused and does not run", async (t) => {
  const { entry, server, mesh } = await startPair(t);
  mesh.directory.replace([{ ...server.endpoint, incarnationEpochMs: 1 }]);
  const record = await sendCall({
    url: entry.callersUrl,
    method: "POST",
    path: "/uploads",
    token: "a",
  });
  assert.equal(record.errorKind, "no_upstream");
  assert.equal(record.outcome, "not-run");
  assert.equal(mesh.requestsByPool()["catalogue"]?.length, 0);
});

test("HEAD, 204, 304, Expect and pipelined requests are answered completely", async (t) => {
  const { entry } = await startPair(t);
  const pipelined = [
    requestText("HEAD /views?token=a&bytes=100"),
    requestText("GET /views?token=b&bytes=0&status=204"),
    requestText("GET /views?token=c&bytes=0&status=304"),
    requestText("GET /views?token=d&bytes=8"),
  ].join("");
  const answers = await exchange(entry, pipelined, {
    until: /x-token: d[^]*\r\n\r\n.{8}/,
  });
  assert.deepEqual(
    [...answers.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status),
    ["200", "204", "304", "200"],
  );
  const continueAnswer = await exchange(
    entry,
    requestText("POST /uploads?token=e", [
      "Expect: 100-continue",
      "Content-Length: 4",
    ], "body"),
    { until: /x-token: e/ },
  );
  assert.match(continueAnswer, /^HTTP\/1\.1 100 Continue/);
});
