import assert from "node:assert/strict";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, test } from "node:test";
import { request } from "undici";
import { settingsSchema } from "../schemas/settings_schema.ts";
import {
  StubConfig,
  StubDirectory,
  StubOwners,
} from "../testing/data_path_fixtures.ts";
import type { Daemon } from "./daemon_types.ts";
import { createDaemon } from "./create_daemon.ts";
import { ANY_PORT_LISTENERS } from "../../stand_ins/ready_lines.ts";

const LOOPBACK = "127.0.0.1";

const config = new StubConfig({
  routes: {
    routes: {
      enrol: {
        match: { method: "POST", pathPrefix: "/enrolments" },
        pool: "inscription",
        class: "critical",
        idempotent: false,
      },
      vote: {
        match: { method: "POST", pathPrefix: "/votes" },
        pool: "certify",
        class: "critical",
        idempotent: false,
        bodyMaxBytes: 10,
      },
    },
  },
  pools: {
    pools: Object.fromEntries(
      ["inscription", "certify"].map((name) => [name, {
        dataCentres: ["dakar-plateau"],
        slotsCount: 4,
        connectionsMaxCount: 10,
        endpointsCount: 1,
      }]),
    ),
  },
});
const directory = new StubDirectory();
const daemons: Daemon[] = [];
const upstreams: Server[] = [];
let callersPort = 0;
let inscriptionOutboundPort = 0;

function listenUpstream(handler: RequestListener): Promise<number> {
  const server = createServer(handler);
  upstreams.push(server);
  return new Promise((resolve) => {
    server.listen(
      0,
      LOOPBACK,
      () => resolve((server.address() as AddressInfo).port),
    );
  });
}

async function startDaemon(pool: string, handler: RequestListener) {
  const settings = settingsSchema.parse({
    instance: { id: `${pool}-1`, dataCentre: "dakar-plateau" },
    listeners: ANY_PORT_LISTENERS,
    platform: { url: "http://127.0.0.1:1" },
    peers: { keys: [{ id: "k1", secret: "0123456789abcdef" }] },
  });
  const daemon = createDaemon(settings, {
    config,
    directory,
    owners: new StubOwners(),
  });
  daemons.push(daemon);
  const bound = await daemon.listen();
  const port = await listenUpstream(handler);
  daemon.attachUpstream({
    pool,
    host: LOOPBACK,
    port,
    slotsCount: 4,
    connectionsMaxCount: 10,
  });
  directory.add({
    instanceId: `${pool}-1`,
    incarnationEpochMs: daemon.incarnationEpochMs,
    dataCentre: "dakar-plateau",
    pool,
    hopHost: LOOPBACK,
    hopPort: bound.hop.port,
    slotsCount: 4,
    connectionsMaxCount: 10,
    state: "alive",
    joinedMs: 0,
  });
  return bound;
}

before(async () => {
  const certify = await startDaemon("certify", (incoming, response) => {
    response.end(`vote ${incoming.headers["goldcrest-tenant"]}`);
  });
  callersPort = certify.callers.port;
  const inscription = await startDaemon("inscription", (incoming, response) => {
    const requestId = incoming.headers["goldcrest-request-id"] as string;
    request(`http://${LOOPBACK}:${inscriptionOutboundPort}/votes`, {
      method: "POST",
      headers: { "goldcrest-request-id": requestId },
    }).then(async (answer) =>
      response.end(`enrolled, ${await answer.body.text()}`)
    );
  });
  inscriptionOutboundPort = inscription.outbound.port;
});

after(async () => {
  for (const server of upstreams) {
    server.close();
    server.closeAllConnections();
  }
  await Promise.all(daemons.map((daemon) => daemon.destroy()));
});

test("a request whose upstream calls a second service returns the complete answer", async () => {
  const answer = await request(`http://${LOOPBACK}:${callersPort}/enrolments`, {
    method: "POST",
    body: "name=x",
  });
  assert.equal(await answer.body.text(), "enrolled, vote default");
  assert.equal(answer.statusCode, 200);
  assert.equal(answer.headers["goldcrest-outcome"], "complete");
});

test("a request without a route is answered no_route with outcome not-run", async () => {
  const answer = await request(`http://${LOOPBACK}:${callersPort}/nothing`);
  await answer.body.dump();
  assert.equal(answer.statusCode, 404);
  assert.equal(answer.headers["goldcrest-error"], "no_route");
  assert.equal(answer.headers["goldcrest-outcome"], "not-run");
});

test("a body over the route's limit is refused before it is forwarded", async () => {
  const answer = await request(`http://${LOOPBACK}:${callersPort}/votes`, {
    method: "POST",
    body: "more than ten bytes",
  });
  await answer.body.dump();
  assert.equal(answer.statusCode, 413);
  assert.equal(answer.headers["goldcrest-outcome"], "not-run");
});
