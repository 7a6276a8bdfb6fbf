import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import { FRAME, type UpstreamState } from "../schemas/link_schema.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { UPSTREAM_STATE } from "../testing/upstream_state.ts";
import { waitFor } from "../testing/wait_for.ts";
import { encodeFrame } from "./frame_codec.ts";
import { LinkServer, type LinkServerHost } from "./link_server.ts";
import { LinkSocket } from "./link_socket.ts";

const RECORD: MemberRecord = {
  name: "one",
  dataCentre: "a",
  pool: "votes",
  link: { host: "127.0.0.1", port: 1 },
};
const STATE: UpstreamState = { ...UPSTREAM_STATE, configVersion: 7 };

/** Host with version 1 that asks each peer with a newer version for it. */
function createHost(received: unknown[]): LinkServerHost {
  return {
    ownRecord: { ...RECORD, name: "own" },
    ownState: { ...STATE, configVersion: 1 },
    configVersion: 1,
    ownLoad: [0, 0, 0],
    isBehind: false,
    currencyAgeMs: null,
    config: { version: 1 },
    members: [],
    serve: () => ({ cancel: () => {} }),
    onHello: (record) => record,
    onConfigVersion: (version, peer) => {
      if (version > 1) {
        peer.queryConfig();
      }
    },
    onConfig: (config) => received.push(config),
  };
}

/** Opens a connection to a link server, as a peer does. */
async function connectPeer(
  t: TestContext,
  changes: Partial<LinkServerHost> = {},
) {
  const received: unknown[] = [];
  const host = { ...createHost(received), ...changes };
  const server = new LinkServer(host, new NullLogger());
  const { port } = await server.listen({ host: "127.0.0.1", port: 0 });
  const frames: unknown[][] = [];
  const tcp = connect({ host: "127.0.0.1", port });
  const socket = new LinkSocket(tcp, {
    onFrame: (frame) => frames.push(frame),
    onClosed: () => {},
  });
  t.after(() => {
    socket.close("The test has ended");
    server.close();
  });
  const waitForFrame = async (kind: number) => {
    while (!frames.some(([first]) => first === kind)) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  };
  return { socket, tcp, frames, received, waitForFrame };
}

// A daemon's own link to the peer may be down or silent at that moment.
test("a newer configuration is asked for on the connection that announced it", async (t) => {
  const { socket, received, waitForFrame } = await connectPeer(t);
  socket.send([FRAME.hello, RECORD, STATE]);
  await waitForFrame(FRAME.configQuery);
  socket.send([FRAME.config, { version: 7 }]);
  while (received.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  assert.deepEqual(received, [{ version: 7 }]);
});

// Without the answer, levels would follow the busy ratio for ever.
test("a report of offered runs is answered on its link", async (t) => {
  const answer = [FRAME.poolFigures, 3, 700, 50, 25, [30]];
  const { socket, frames, waitForFrame } = await connectPeer(t, {
    onOffer: (frame, peerName) =>
      frame[1] === 3 && peerName === RECORD.name ? answer : undefined,
  });
  socket.send([FRAME.hello, RECORD, STATE]);
  socket.send([FRAME.offer, 3, [30]]);
  await waitForFrame(FRAME.poolFigures);
  assert.deepEqual(
    frames.find(([kind]) => kind === FRAME.poolFigures),
    answer,
  );
});

// Guards against a link that is closed, with all requests on it, because answers
// are larger than what the peer has read.
test("large answers reach a peer that reads slowly, and one beyond the bound is reported as failed", async (t) => {
  const answerBytes = 20_000_000;
  const { socket, tcp, frames, waitForFrame } = await connectPeer(t, {
    serve: (_request, receiver) => {
      receiver.onAnswer({
        status: 200,
        headers: [],
        body: Buffer.alloc(answerBytes),
        runMs: 1,
      });
      return { cancel: () => {} };
    },
  });
  await waitForFrame(FRAME.hello);
  tcp.pause();
  const { encoder } = socket;
  const text = encoder.encode("x");
  const requestsCount = 6;
  for (let id = 0; id < requestsCount; id++) {
    socket.send([
      FRAME.request,
      id,
      text,
      text,
      "/",
      [],
      null,
      1_000,
      text,
      500,
      true,
      text,
      1,
    ]);
  }
  await new Promise((resolve) => setTimeout(resolve, 200));
  tcp.resume();
  const resultsOf = (kind: number) =>
    frames.filter(([first]) => first === kind);
  while (
    resultsOf(FRAME.answer).length + resultsOf(FRAME.refusal).length <
      requestsCount
  ) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  assert.ok(resultsOf(FRAME.answer).length >= 3);
  for (const [, , kind, isNotRun] of resultsOf(FRAME.refusal)) {
    assert.equal(kind, "upstream_failed");
    assert.equal(isNotRun, false);
  }
  assert.ok(resultsOf(FRAME.refusal).length > 0);
});

// Guards against frames that stop short of their end, whose bytes nothing counts.
test("the bytes of an incomplete frame are counted until it is complete or the link closes", async (t) => {
  let heldBytes = 0;
  const host: LinkServerHost = {
    ...createHost([]),
    onIncomplete: (changeBytes) => heldBytes += changeBytes,
  };
  const server = new LinkServer(host, new NullLogger());
  const { port } = await server.listen({ host: "127.0.0.1", port: 0 });
  const tcp = connect({ host: "127.0.0.1", port });
  t.after(() => {
    tcp.destroy();
    server.close();
  });
  const frame = encodeFrame([FRAME.config, "x".repeat(200_000)]);
  const missingBytes = 10;
  tcp.write(frame.subarray(0, -missingBytes));
  const expectedBytes = frame.length - missingBytes;
  await waitFor("the frame is held", () => heldBytes === expectedBytes);
  tcp.write(frame.subarray(-missingBytes));
  await waitFor("the frame is complete", () => heldBytes === 0);
  tcp.write(frame.subarray(0, -missingBytes));
  await waitFor("the next one is held", () => heldBytes === expectedBytes);
  tcp.destroy();
  await waitFor("the link has closed", () => heldBytes === 0);
});

test("a peer that asks is told the run time of a request that runs", async (t) => {
  const { socket, frames, waitForFrame } = await connectPeer(t, {
    serve: (_request, receiver) => ({
      cancel: () => {},
      queryRun: () => receiver.onRunning?.(4_200.4),
    }),
  });
  const text = socket.encoder.encode("x");
  const request = [text, text, "/", [], null, 1_000, text, 500, true, text, 1];
  socket.send([FRAME.request, 7, ...request]);
  socket.send([FRAME.runQuery, 6]);
  socket.send([FRAME.runQuery, 7]);
  await waitForFrame(FRAME.running);
  const answers = frames.filter(([kind]) => kind === FRAME.running);
  assert.deepEqual(answers, [[FRAME.running, 7, 4_200]]);
});

// Guards against room that is never free again, or is counted twice while the body
// arrives.
test("room is reserved until the body has arrived, its request is cancelled or the link closes", async (t) => {
  let heldBytes = 0;
  const bodyBytes = 200_000;
  const { socket, tcp, frames, waitForFrame } = await connectPeer(t, {
    onIncomplete: (changeBytes) => heldBytes += changeBytes,
    hasRoomFor: (bytes) => heldBytes + bytes <= 2 * bodyBytes,
  });
  const reserve = (exchangeId: number) =>
    socket.send([FRAME.reserve, exchangeId, bodyBytes]);
  [1, 2, 3].forEach(reserve);
  await waitForFrame(FRAME.refusal);
  const results = frames.filter(([kind]) =>
    kind === FRAME.reserved || kind === FRAME.refusal
  );
  assert.deepEqual(results.map(([, exchangeId]) => exchangeId), [1, 2, 3]);
  assert.deepEqual(results[2]?.slice(2, 5), ["memory_short", true, false]);
  assert.equal(heldBytes, 2 * bodyBytes);

  socket.send([FRAME.cancel, 2]);
  const text = socket.encoder.encode("x");
  const body = Buffer.alloc(bodyBytes);
  const request = [text, text, "/", [], body, 1_000, text, 500, true, text, 1];
  socket.send([FRAME.request, 1, ...request]);
  await waitFor("both reservations have ended", () => heldBytes === 0);
  reserve(4);
  await waitFor("room is reserved", () => heldBytes === bodyBytes);
  tcp.destroy();
  await waitFor("the link has closed", () => heldBytes === 0);
});
