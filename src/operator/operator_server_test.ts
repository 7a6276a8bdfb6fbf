import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { request } from "undici";
import type { Announcement } from "../schemas/settings_schema.ts";
import type { Status } from "../schemas/status_schema.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { OperatorServer } from "./operator_server.ts";
import type { OperatorService, Readiness } from "./operator_service.ts";

class FakeTarget implements OperatorService {
  ready: Readiness = { ready: true };
  ending = false;
  announced: Announcement | undefined;
  readiness(): Readiness {
    return this.ready;
  }
  status(): Status {
    throw new Error("status fails with a secret in its message");
  }
  async metricsText(): Promise<string> {
    return "goldcrest_draining 0\n";
  }
  drain(): void {}
  undrain(): boolean {
    return !this.ending;
  }
  announce(announcement: Announcement): void {
    this.announced = announcement;
  }
  withdraw(): void {
    this.announced = undefined;
  }
}

const target = new FakeTarget();
const server = new OperatorServer(target, { log: new NullLogger() });
let base = "";

before(async () => {
  const { port } = await server.listen({ host: "127.0.0.1", port: 0 });
  base = `http://127.0.0.1:${port}`;
});

after(() => server.destroy());

async function call(
  method: "GET" | "POST" | "DELETE",
  path: string,
  body = "",
) {
  const answer = await request(`${base}${path}`, {
    method,
    body: body === "" ? null : body,
  });
  return { status: answer.statusCode, text: await answer.body.text() };
}

const CERTIFY = {
  pool: "certify",
  host: "127.0.0.1",
  port: 9_000,
  slotsCount: 160,
  connectionsMaxCount: 1_100,
};

test("readiness follows the daemon, so that balancers leave it in time", async () => {
  assert.equal((await call("GET", "/readyz")).status, 200);
  target.ready = { ready: false, reason: "The instance is draining" };
  const answer = await call("GET", "/readyz");
  assert.equal(answer.status, 503);
  assert.match(answer.text, /draining/);
});

test("an announcement with mistakes changes nothing and names each mistake", async () => {
  const bad = JSON.stringify({ ...CERTIFY, port: 0, slots: 3 });
  const answer = await call("POST", "/announce", bad);
  assert.equal(answer.status, 400);
  const { mistakes } = JSON.parse(answer.text);
  assert.deepEqual(mistakes.map((one: { path: string }) => one.path), [
    "port",
    "",
  ]);
  assert.equal(target.announced, undefined);
});

test("an announcement is accepted and withdrawn", async () => {
  await call("POST", "/announce", JSON.stringify(CERTIFY));
  assert.deepEqual(target.announced, CERTIFY);
  assert.equal((await call("DELETE", "/announce")).status, 200);
  assert.equal(target.announced, undefined);
});

test("a body over the limit is refused without being kept", async () => {
  const answer = await call("POST", "/announce", " ".repeat(100_000));
  assert.equal(answer.status, 413);
});

test("a failure inside the daemon discloses nothing", async () => {
  const answer = await call("GET", "/status");
  assert.equal(answer.status, 500);
  assert.doesNotMatch(answer.text, /secret/);
});

test("unknown paths and methods are refused, and an ending process is not undrained", async () => {
  assert.equal((await call("GET", "/drain")).status, 405);
  assert.equal((await call("GET", "/")).status, 404);
  target.ending = true;
  assert.equal((await call("POST", "/undrain")).status, 409);
});

// Guards against a mistyped query that is answered with all members.
test("an unknown value of the query is refused by name", async () => {
  const { status, text } = await call("GET", "/status?members=some");
  assert.equal(status, 400);
  assert.match(text, /must be \\"all\\" or \\"none\\"/);
});
