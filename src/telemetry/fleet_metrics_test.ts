import assert from "node:assert/strict";
import { test } from "node:test";
import { FleetMetrics } from "./fleet_metrics.ts";

test("requests are counted by route and outcome, and routes over the bound share one label", async () => {
  const metrics = new FleetMetrics(() => ({
    configVersion: 7,
    configAgeMs: 1,
    upstreamReportAgeMs: 1,
    linksUpCount: 1,
    membersCount: 2,
    runningCount: 0,
    waitingCount: 0,
    slotsLimitCount: 8,
    learnedLimitCount: 8,
    upstreamSlowdownRatio: 1,
    upstreamRefusedRatio: 0,
    storeReachable: 1,
    storeWatching: 1,
    callEdgesCount: 3,
    currencyAgeMs: Infinity,
    storeCallsCount: 3,
    storeEra: 1,
    usageCapRefusalsCount: 0,
    usageTokensRequestedCount: 0,
    usageTokensGrantedCount: 0,
    usageTokensReturnedCount: 0,
    usageOwnersCount: 0,
    usageTenantsOwnedCount: 0,
    callerHeldBytes: 0,
    callerHeldMaxBytes: 0,
    callerConnectionsCount: 0,
    inputDelayMs: 0,
    startsDelayedCount: 0,
    startsDroppedCount: 0,
    logLinesDroppedCount: 0,
  }));
  for (let index = 0; index < 200; index++) {
    metrics.record(`r-${index}`, "answered 200", {
      durationMs: 20,
      priority: 0,
      tenantName: `t-${index}`,
    });
  }
  const text = await metrics.text();
  assert.match(text, /goldcrest_fleet_config_version 7/);
  assert.match(
    text,
    /goldcrest_fleet_requests_total\{route="r-0",outcome="answered 200"\} 1/,
  );
  assert.match(text, /route="other_routes",outcome="answered 200"\} 136/);
  assert.match(
    text,
    /goldcrest_fleet_request_latency_ms_count\{route="r-0"\} 1/,
  );
  const tenantCount = /^goldcrest_fleet_tenant_latency_ms_count\{.*$/gm;
  const lines = text.match(tenantCount) ?? [];
  assert.equal(lines.length, 129);
  assert.equal(
    lines.at(-1),
    'goldcrest_fleet_tenant_latency_ms_count{tenant="other_tenants",class="0"} 72',
  );
});
