import assert from "node:assert/strict";
import { test } from "node:test";
import { type GaugeValues, Metrics } from "./metrics.ts";
import { METRICS } from "./metric_descriptions.ts";
import { OTHER_TENANTS, RequestMetrics } from "./request_metrics.ts";
import type { RequestRecord } from "./request_observer.ts";

function createRecord(changes: Partial<RequestRecord> = {}): RequestRecord {
  return {
    side: "inbound",
    tenant: "atelier-thies",
    importanceClass: "critical",
    pool: "certify",
    result: "complete",
    latencyMs: 12,
    queueMs: 1,
    attemptsCount: 1,
    ...changes,
  };
}

test("tenants over the bound share one series, so that memory is bounded", () => {
  const metrics = new RequestMetrics({ tenantsMaxCount: 2 });
  for (let index = 0; index < 100; index++) {
    metrics.record(createRecord({ tenant: `tenant-${index}` }));
  }
  const tenants = metrics.listTenantSeries().map((series) => series.tenant);
  assert.deepEqual(tenants, ["tenant-0", "tenant-1", OTHER_TENANTS]);
  assert.equal(metrics.counters().at(-1)?.offeredCount, 98);
});

test("results are counted by the outcome that their answers report", () => {
  const metrics = new RequestMetrics();
  for (const result of ["complete", "shed", "broken", "peer_failed"] as const) {
    metrics.record(createRecord({ result }));
  }
  const [counters] = metrics.counters();
  assert.equal(counters?.completeCount, 1);
  assert.equal(counters?.notRunCount, 1);
  assert.equal(counters?.unknownCount, 2);
});

test("quantiles cover two intervals, and totals cover all values since the start", () => {
  const metrics = new RequestMetrics();
  metrics.record(createRecord({ latencyMs: 5_000 }));
  const latency = metrics.listTenantSeries()[0]?.latency;
  metrics.rotate();
  const medianMs = latency?.summary().quantiles[0]?.valueMs ?? 0;
  assert.ok(medianMs >= 4_950 && medianMs <= 5_050);
  metrics.rotate();
  assert.equal(latency?.summary().quantiles[0]?.valueMs, 0);
  assert.equal(latency?.summary().sumMs, 5_000);
});

test("the metrics text contains every metric of the operators' page", async () => {
  const gauges = Object.fromEntries(
    Object.keys(METRICS).map((name) => [name, 7]),
  ) as unknown as GaugeValues;
  const metrics = new Metrics(
    () => gauges,
    (reason) => reason === "memory_short" ? 3 : 0,
  );
  metrics.requests.record(createRecord());
  const text = await metrics.text();
  for (const name of Object.keys(METRICS)) {
    assert.match(text, new RegExp(`^# TYPE ${name} `, "m"));
  }
  assert.match(
    text,
    /requests_total\{side="inbound",pool="certify",class="critical",result="complete"\} 1\n/,
  );
  assert.match(
    text,
    /^goldcrest_callers_refused_total\{reason="memory_short"\} 3$/m,
  );
  assert.match(text, /queue_wait_ms\{[^}]*quantile="0.5"\} 1\n/);
});
