import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigAcceptor } from "../config/config_acceptor.ts";
import { ConfigReader } from "../config/config_reader.ts";
import { ConfigStore } from "../config/config_store.ts";
import { SystemClock } from "../core/clock.ts";
import { EventLoop } from "../core/event_loop.ts";
import { SeededRandom } from "../core/random.ts";
import { HttpPlatformClient } from "../platform/http_platform_client.ts";
import { LeaseHolder } from "../platform/lease_holder.ts";
import {
  routesText,
  sampleStatus,
  serveStatus,
  startCliHarness,
} from "../testing/cli_harness.ts";
import { EXIT_CODES } from "./exit_codes.ts";

const STATUS_REFRESH_MS = 20;

// The acceptor and the reader act only while they hold their leases.
test("apply --wait succeeds when a real acceptor and reader have the edit in force over HTTP", async (t) => {
  const { url, apply } = await startCliHarness(t);
  const clock = new SystemClock();
  const random = new SeededRandom(1);
  const platform = new HttpPlatformClient({
    url,
    timeoutMs: 2_000,
    callsPerSMax: 100,
    clock,
    random,
  });
  const store = new ConfigStore(clock);
  const holder = { instanceId: "i-1", incarnationEpochMs: 1 };
  const shared = { platform, clock, random, store };
  const [acceptorLease, readerLease] = ["config-acceptor", "dc-1-reader-0"].map(
    (leaseName) => new LeaseHolder({ leaseName, holder, ...shared }),
  ) as [LeaseHolder, LeaseHolder];
  const loop = new EventLoop((_name, error) => assert.fail(String(error)));
  loop.register(
    new ConfigAcceptor({ ...holder, ...shared, lease: acceptorLease }),
  );
  loop.register(new ConfigReader({ ...shared, lease: readerLease }));
  loop.register(acceptorLease);
  loop.register(readerLease);
  loop.start();
  const status = sampleStatus("i-1", 0);
  status.members.push({
    instanceId: "i-2",
    incarnationEpochMs: 1,
    dataCentre: "dc-1",
    state: "alive",
  });
  const refresh = setInterval(
    () => status.config = store.status(),
    STATUS_REFRESH_MS,
  );
  t.after(async () => {
    clearInterval(refresh);
    await Promise.all([acceptorLease.release(), readerLease.release()]);
    await loop.stop();
    await platform.close();
  });
  const daemon = ["--daemon", await serveStatus(t, status)];
  const first = await apply(routesText(3), "--wait", ...daemon);
  assert.equal(first.code, EXIT_CODES.applied, first.err);
  assert.match(first.out, /Generation \d is in force in 1 daemons/);
  assert.match(first.out, /1 members were not asked/);
  const second = await apply(routesText(4), "--wait", "--json", ...daemon);
  assert.equal(second.code, EXIT_CODES.applied);
  const { inForce } = JSON.parse(second.out);
  assert.equal(inForce.head.digest, store.head()?.digest);
  assert.equal(store.current()?.matcher.match("GET", "/r3", "")?.name, "r3");
});
