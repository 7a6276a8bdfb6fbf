import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { listenOn } from "../core/listen_on.ts";
import { SeededRandom } from "../core/random.ts";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import { FRAME } from "../schemas/link_schema.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { UPSTREAM_STATE } from "../testing/upstream_state.ts";
import { encodeFrame, FrameReader } from "./frame_codec.ts";
import type { LinkHost } from "./link_host.ts";
import { PeerLink } from "./peer_link.ts";
import type { ForwardedRequest, ForwardFailure } from "./upstream_channel.ts";

const TICK_MS = 100;

const REQUEST: ForwardedRequest = {
  upstreamId: "u-1",
  method: "GET",
  path: "/",
  headers: [],
  body: null,
  remainingMs: 1_000,
  routeName: "r",
  goalRemainingMs: 500,
  isRefusable: true,
  callerPool: "plates",
};

function memberAt(name: string, port: number): MemberRecord {
  const link = { host: "127.0.0.1", port };
  return { name, dataCentre: "a", pool: "plates", link };
}

function createHost(): LinkHost {
  return {
    ownRecord: memberAt("own", 1),
    ownState: UPSTREAM_STATE,
    configVersion: 1,
    config: { version: 1 },
    onHello: () => {},
    onConfigVersion: () => {},
    onState: () => {},
    onConfig: () => {},
    onMembers: () => {},
    onCurrency: () => {},
  };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/** Opens a link to a peer that sends a hello frame and then nothing. */
async function connectLink(t: TestContext) {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.write(
      encodeFrame([FRAME.hello, memberAt("two", 1), UPSTREAM_STATE]),
    );
  });
  const { port } = await listenOn(server, { host: "127.0.0.1", port: 0 });
  const link = new PeerLink(memberAt("two", port), {
    host: createHost(),
    log: new NullLogger(),
    random: new SeededRandom(1),
  });
  t.after(() => {
    link.remove();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  link.tick(performance.now(), 0);
  await until(() => link.isUp);
  return { link, sockets };
}

// A link is closed only after a long silence. If the peer were not suspect
// before, requests would be sent to an unreachable instance until the link
// closes.
test("a peer that does not answer a ping is suspect within 600 ms, and at least 500 ms before the link closes", async (t) => {
  const { link } = await connectLink(t);
  const nowMs = performance.now();
  link.send(REQUEST, { onAnswer: () => {}, onFailure: () => {} });

  const suspectAfterMs: number[] = [];
  const downAfterMs: number[] = [];
  for (let elapsedMs = 0; elapsedMs <= 2_000; elapsedMs += TICK_MS) {
    link.tick(nowMs + elapsedMs, 0);
    if (link.isSuspect) {
      suspectAfterMs.push(elapsedMs);
    }
    if (!link.isUp) {
      downAfterMs.push(elapsedMs);
      break;
    }
  }
  const [firstMs] = suspectAfterMs as [number];
  assert.ok(firstMs <= 600, `suspect after ${firstMs} ms`);
  assert.ok((downAfterMs[0] as number) >= firstMs + 500);
});

test("a frame from a suspect peer clears the suspicion", async (t) => {
  const { link, sockets } = await connectLink(t);
  const nowMs = performance.now();
  link.tick(nowMs + 2_100, 0);
  link.tick(nowMs + 2_400, 0);
  assert.equal(link.isSuspect, true);
  sockets[0]?.write(encodeFrame([FRAME.pong]));
  await until(() => !link.isSuspect);
});

test("a peer that asks for the configuration on the connection that it has accepted gets it", async (t) => {
  const { sockets } = await connectLink(t);
  const frames: unknown[][] = [];
  const reader = new FrameReader();
  sockets[0]?.on(
    "data",
    (chunk: Buffer) => reader.push(chunk, (frame) => frames.push(frame)),
  );
  sockets[0]?.write(encodeFrame([FRAME.configQuery]));
  const isConfig = ([kind]: unknown[]) => kind === FRAME.config;
  await until(() => frames.some(isConfig));
  assert.deepEqual(frames.find(isConfig), [FRAME.config, { version: 1 }]);
});

// Guards against a link that is closed, with all requests on it, because a body
// is larger than what the peer has read.
test("large bodies reach a peer that reads slowly, and further requests fail as not run meanwhile", async (t) => {
  const { link, sockets } = await connectLink(t);
  const [peer] = sockets as [Socket];
  const sizes: number[] = [];
  const reader = new FrameReader();
  peer.on("data", (chunk: Buffer) =>
    reader.push(chunk, (frame) => {
      if (frame[0] === FRAME.reserve) {
        peer.write(encodeFrame([FRAME.reserved, frame[1]]));
        peer.pause();
      } else if (frame[0] === FRAME.request) {
        sizes.push((frame[6] as Uint8Array).length);
      }
    }));
  const failures: ForwardFailure[] = [];
  const send = (bodyBytes: number) =>
    link.send({ ...REQUEST, body: Buffer.alloc(bodyBytes) }, {
      onAnswer: () => {},
      onFailure: (failure) => failures.push(failure),
    });
  send(60_000_000);
  await new Promise((resolve) => setTimeout(resolve, 50));
  send(1);
  assert.deepEqual(failures, [
    { kind: "no_upstream", isNotRun: true, hasReached: false },
  ]);
  peer.resume();
  await until(() => sizes.length === 1);
  send(2);
  await until(() => sizes.length === 2);
  assert.deepEqual(sizes, [60_000_000, 2]);
  assert.equal(link.isUp, true);
});

/** Sends a large body, and returns the frames that the peer gets and the result. */
function sendLarge(link: PeerLink, socket: Socket) {
  const kinds: unknown[] = [];
  const failures: ForwardFailure[] = [];
  const reader = new FrameReader();
  socket.on(
    "data",
    (chunk: Buffer) => reader.push(chunk, ([kind]) => kinds.push(kind)),
  );
  const handle = link.send({ ...REQUEST, body: Buffer.alloc(2_000_000) }, {
    onAnswer: () => {},
    onFailure: (failure) => failures.push(failure),
  });
  return { kinds, failures, handle };
}

// Guards against large bodies that are sent to a peer without memory for them.
test("a large body is not sent when the peer has no room, the link closes or its request is cancelled", async (t) => {
  const failure = { kind: "memory_short", isNotRun: true, hasReached: false };
  const refused = await connectLink(t);
  const refusedBody = sendLarge(refused.link, refused.sockets[0]!);
  await until(() => refusedBody.kinds.includes(FRAME.reserve));
  refused.sockets[0]!.write(
    encodeFrame([FRAME.refusal, 1, failure.kind, true, false, [0, 0, 0], 1]),
  );
  await until(() => refusedBody.failures.length === 1);
  assert.deepEqual(refusedBody.failures, [failure]);

  const closed = await connectLink(t);
  const closedBody = sendLarge(closed.link, closed.sockets[0]!);
  await until(() => closedBody.kinds.includes(FRAME.reserve));
  closed.sockets[0]!.destroy();
  await until(() => closedBody.failures.length === 1);
  assert.deepEqual(closedBody.failures, [{ ...failure, kind: "peer_failed" }]);

  const cancelled = await connectLink(t);
  const cancelledBody = sendLarge(cancelled.link, cancelled.sockets[0]!);
  await until(() => cancelledBody.kinds.includes(FRAME.reserve));
  cancelledBody.handle.cancel();
  await until(() => cancelledBody.kinds.includes(FRAME.cancel));

  for (const { kinds } of [refusedBody, closedBody, cancelledBody]) {
    assert.equal(kinds.includes(FRAME.request), false);
  }
});

// Guards against requests that get no answer beside daemons of earlier versions,
// which do not know the query.
test("a large body is sent at once to a peer that does not answer queries for room", async (t) => {
  const { link, sockets } = await connectLink(t);
  const { reservesRoom: _, ...state } = UPSTREAM_STATE;
  sockets[0]!.write(encodeFrame([FRAME.state, state]));
  await until(() => link.state?.reservesRoom === false);
  const { kinds } = sendLarge(link, sockets[0]!);
  await until(() => kinds.includes(FRAME.request));
  assert.equal(kinds.includes(FRAME.reserve), false);
});

// After a pause of this process the answers that wait for it would be taken for
// present figures.
test("an answer does not replace that to a later report of offered runs", async (t) => {
  const { link, sockets } = await connectLink(t);
  const answer = (number: number, capacityPerS: number) =>
    sockets[0]?.write(
      encodeFrame([FRAME.poolFigures, number, capacityPerS, 50, 25, [30]]),
    );
  link.reportOffer([10]);
  link.reportOffer([20]);
  answer(2, 700);
  answer(1, 900);
  sockets[0]?.write(encodeFrame([FRAME.busy, 42]));
  await until(() => link.state?.busyRatio === 0.42);
  assert.equal(link.figures?.capacityPerS, 700);
  assert.deepEqual(link.figures?.offeredPerS, [30]);
});

// Guards against a run time that is given to a request that has its result.
test("the run time of a request is asked for, and told until the result", async (t) => {
  const { link, sockets } = await connectLink(t);
  const asked: unknown[] = [];
  const reader = new FrameReader();
  sockets[0]!.on("data", (bytes) => {
    reader.push(bytes, (frame) => {
      if (frame[0] === FRAME.runQuery) {
        asked.push(frame[1]);
      }
    });
  });
  const runTimes: number[] = [];
  const handle = link.send(REQUEST, {
    onAnswer: () => {},
    onFailure: () => {},
    onRunning: (runMs) => runTimes.push(runMs),
  });
  handle.queryRun?.();
  await until(() => asked.length > 0);
  link.onFrame([FRAME.running, asked[0], 4_200]);
  link.onFrame([
    FRAME.refusal,
    asked[0],
    "peer_failed",
    false,
    true,
    [0, 0, 0],
    1,
  ]);
  link.onFrame([FRAME.running, asked[0], 4_700]);
  assert.deepEqual(runTimes, [4_200]);
});

// With a round trip longer than the interval of the reports, as between distant
// regions, each answer arrives after the next report has been sent.
test("figures that arrive after the next report count from the report that they answer", async (t) => {
  const { link, sockets } = await connectLink(t);
  const beforeMs = performance.now();
  link.reportOffer([10]);
  const reportedMs = performance.now();
  await new Promise((resolve) => setTimeout(resolve, 20));
  link.reportOffer([20]);
  sockets[0]?.write(encodeFrame([FRAME.poolFigures, 1, 700, 50, 25, [30]]));
  sockets[0]?.write(encodeFrame([FRAME.busy, 42]));
  await until(() => link.state?.busyRatio === 0.42);
  assert.equal(link.figures?.capacityPerS, 700);
  const { atMs = 0 } = link.figures ?? {};
  assert.ok(atMs >= beforeMs && atMs <= reportedMs);
});
