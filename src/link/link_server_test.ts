import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import type { MemberRecord } from "../schemas/fleet_schema.ts";
import { FRAME, type UpstreamState } from "../schemas/link_schema.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { UPSTREAM_STATE } from "../testing/upstream_state.ts";
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
async function connectPeer(t: TestContext) {
  const received: unknown[] = [];
  const server = new LinkServer(createHost(received), new NullLogger());
  const { port } = await server.listen({ host: "127.0.0.1", port: 0 });
  const frames: unknown[][] = [];
  const socket = new LinkSocket(connect({ host: "127.0.0.1", port }), {
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
  return { socket, received, waitForFrame };
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
