import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { request } from "undici";
import { EventSource } from "../core/event_source.ts";
import { settingsSchema } from "../schemas/settings_schema.ts";
import { StubConfig, StubDirectory } from "../testing/data_path_fixtures.ts";
import type { DaemonEvent } from "./daemon_lifecycle.ts";
import { createDaemon } from "./create_daemon.ts";
import { ANY_PORT_LISTENERS } from "../../stand_ins/ready_lines.ts";

const LOOPBACK = "127.0.0.1";
const CAPACITY = { slotsCount: 4, connectionsMaxCount: 10 };

const config = new StubConfig({
  routes: {
    routes: {
      video: {
        match: { method: "GET", pathPrefix: "/videos" },
        pool: "mediatheque",
        class: "standard",
        idempotent: true,
      },
    },
  },
  pools: {
    pools: {
      mediatheque: {
        dataCentres: ["zig-centre"],
        endpointsCount: 1,
        ...CAPACITY,
      },
    },
  },
});

/** Starts a daemon with one open transfer; the client has the first half. */
async function startTransfer(t: TestContext, drainLimitMs: number) {
  const responses: ServerResponse[] = [];
  const upstream = createServer((_request, response) => {
    response.write("first half, ");
    responses.push(response);
  }).listen(0, LOOPBACK);
  await once(upstream, "listening");
  const settings = settingsSchema.parse({
    instance: { id: "mediatheque-1", dataCentre: "zig-centre" },
    listeners: ANY_PORT_LISTENERS,
    platform: { url: "http://127.0.0.1:9" },
    peers: { keys: [{ id: "k1", secret: "0123456789abcdef" }] },
    drainLimitMs,
  });
  const directory = new StubDirectory();
  const signals = new EventSource<DaemonEvent>();
  const daemon = createDaemon(settings, {
    config,
    directory,
    signals: signals.stream,
  });
  t.after(async () => {
    await daemon.destroy();
    upstream.closeAllConnections();
    upstream.close();
  });
  const bound = await daemon.listen();
  const { port } = upstream.address() as AddressInfo;
  daemon.attachUpstream({
    pool: "mediatheque",
    host: LOOPBACK,
    port,
    ...CAPACITY,
  });
  directory.add({
    instanceId: "mediatheque-1",
    incarnationEpochMs: daemon.incarnationEpochMs,
    dataCentre: "zig-centre",
    pool: "mediatheque",
    hopHost: LOOPBACK,
    hopPort: bound.hop.port,
    ...CAPACITY,
    state: "alive",
    joinedMs: 0,
  });
  const get = () =>
    request(`http://${LOOPBACK}:${bound.callers.port}/videos/1`);
  const transfer = await get();
  return { daemon, signals, transfer, get, responses };
}

test("a drain refuses new requests, completes an open transfer and exits with 0", async (t) => {
  const { daemon, signals, transfer, get, responses } = await startTransfer(
    t,
    60_000,
  );
  signals.emit("terminate");
  const refused = await get();
  await refused.body.dump();
  assert.equal(refused.headers["goldcrest-error"], "draining");
  assert.equal(refused.headers["goldcrest-outcome"], "not-run");
  responses[0]?.end("second half");
  assert.equal(await transfer.body.text(), "first half, second half");
  assert.equal(await daemon.ended, 0);
});

test("a drain that reaches its limit exits with 1, and the client sees the open transfer fail", async (t) => {
  const { daemon, signals, transfer } = await startTransfer(t, 1);
  signals.emit("terminate");
  assert.equal(await daemon.ended, 1);
  await daemon.destroy();
  await assert.rejects(transfer.body.text());
});
