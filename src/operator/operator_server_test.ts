import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { request } from "undici";
import type { Announcement } from "../schemas/settings_schema.ts";
import type { Status } from "../schemas/status_schema.ts";
import { NullLogger } from "../telemetry/logger.ts";
import { OperatorServer } from "./operator_server.ts";
import type { OperatorService, Readiness } from "./operator_service.ts";

class StubService implements OperatorService {
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

const service = new StubService();
const server = new OperatorServer(service, { log: new NullLogger() });
let baseUrl = "";

before(async () => {
  const { port } = await server.listen({ host: "127.0.0.1", port: 0 });
  baseUrl = `http://127.0.0.1:${port}`;
});

after(() => server.destroy());

async function call(
  method: "GET" | "POST" | "DELETE",
  path: string,
  body = "",
) {
  const answer = await request(`${baseUrl}${path}`, {
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

test("/readyz answers 503 while the daemon drains, so that load balancers stop using it", async () => {
  assert.equal((await call("GET", "/readyz")).status, 200);
  service.ready = { ready: false, reason: "The instance is draining" };
  const answer = await call("GET", "/readyz");
  assert.equal(answer.status, 503);
  assert.match(answer.text, /draining/);
});

test("an invalid announcement is refused with a list of its mistakes and has no effect", async () => {
  const bad = JSON.stringify({ ...CERTIFY, port: 0, slots: 3 });
  const answer = await call("POST", "/announce", bad);
  assert.equal(answer.status, 400);
  const { mistakes } = JSON.parse(answer.text);
  assert.deepEqual(mistakes.map((mistake: { path: string }) => mistake.path), [
    "port",
    "",
  ]);
  assert.equal(service.announced, undefined);
});

test("an announcement is accepted, and DELETE withdraws it", async () => {
  await call("POST", "/announce", JSON.stringify(CERTIFY));
  assert.deepEqual(service.announced, CERTIFY);
  assert.equal((await call("DELETE", "/announce")).status, 200);
  assert.equal(service.announced, undefined);
});

// Guards against buffering a body of any size in memory.
test("a body over the size limit is refused with 413", async () => {
  const answer = await call("POST", "/announce", " ".repeat(100_000));
  assert.equal(answer.status, 413);
});

test("the message of an internal error is not sent to the client", async () => {
  const answer = await call("GET", "/status");
  assert.equal(answer.status, 500);
  assert.doesNotMatch(answer.text, /secret/);
});

test("unknown paths and methods are refused, and /undrain is refused while the process ends", async () => {
  assert.equal((await call("GET", "/drain")).status, 405);
  assert.equal((await call("GET", "/")).status, 404);
  service.ending = true;
  assert.equal((await call("POST", "/undrain")).status, 409);
});

// Guards against a mistyped value that is taken for the default, all members.
test("an unknown value of the query parameter members is refused with the allowed values", async () => {
  const { status, text } = await call("GET", "/status?members=some");
  assert.equal(status, 400);
  assert.match(text, /must be \\"all\\" or \\"none\\"/);
});
