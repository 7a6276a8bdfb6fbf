import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../core/random.ts";
import type { AdmissionRequest } from "./admission_policy.ts";
import { createLimiter } from "../limits/create_limiter.ts";
import { RankAdmission } from "./rank_admission.ts";

const STEP_MS = 5;

type Load = { perStep: number; rank: () => number; tenant?: () => string };
type Ended = { rank: number; tenant: string; kind: "done" | string };

/** Upstream with a constant service time under simulated load and time. */
class Upstream {
  readonly admission: RankAdmission;
  readonly ended: Ended[] = [];
  nowMs = 0;
  serviceMs = 50;
  deadlineInMs = 1_000;
  #ticket = 0;
  readonly #known = new Map<number, AdmissionRequest>();
  #running: { endMs: number; request: AdmissionRequest }[] = [];

  constructor(overloadPreference = 0.5) {
    this.admission = new RankAdmission({
      limiter: createLimiter("gradient", 20),
      queueMaxCount: 100,
      queueAgeMaxMs: 500,
      overloadPreference,
    });
  }

  run(durationMs: number, load: Load): void {
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs += STEP_MS;
      this.#finishDue();
      for (let index = 0; index < load.perStep; index++) {
        this.#offer(load.rank(), load.tenant?.() ?? "t");
      }
      this.#poll();
    }
  }

  doneRatio(matches: (ended: Ended) => boolean): number {
    const matching = this.ended.filter(matches);
    const done = matching.filter((ended) => ended.kind === "done");
    return done.length / Math.max(1, matching.length);
  }

  #offer(rank: number, tenant: string): void {
    const request = {
      ticket: ++this.#ticket,
      rank,
      tenant,
      tenantWeight: 1,
      depthCount: 0,
      deadlineMs: this.nowMs + this.deadlineInMs,
    };
    const decision = this.admission.offer(request, this.nowMs);
    this.#known.set(request.ticket, request);
    if (decision.kind !== "wait") {
      this.#apply(request.ticket, decision);
    }
  }

  #poll(): void {
    for (const { ticket, decision } of this.admission.poll(this.nowMs)) {
      this.#apply(ticket, decision);
    }
  }

  #apply(
    ticket: number,
    decision: { kind: "run" } | { kind: "refuse"; error: string },
  ): void {
    const request = this.#known.get(ticket) as AdmissionRequest;
    this.#known.delete(ticket);
    if (decision.kind === "run") {
      this.#running.push({ endMs: this.nowMs + this.serviceMs, request });
      return;
    }
    const { rank, tenant } = request;
    this.ended.push({ rank, tenant, kind: decision.error });
  }

  #finishDue(): void {
    const due = this.#running.filter(({ endMs }) => endMs <= this.nowMs);
    this.#running = this.#running.filter(({ endMs }) => endMs > this.nowMs);
    for (const { request: { rank, tenant } } of due) {
      const finished = { latencyMs: this.serviceMs, result: "succeeded" };
      this.admission.finish(finished as never, this.nowMs);
      this.ended.push({ rank, tenant, kind: "done" });
    }
  }
}

function uniformRanks(seed: number): () => number {
  const random = new SeededRandom(seed);
  return () => random.nextInt(512);
}

// 20 slots of 50 ms serve 2 requests per step of 5 ms.
const CAPACITY_PER_STEP = 2;

test("at three times capacity all critical requests are served, and the level rises to 512 when the load ends", () => {
  const upstream = new Upstream();
  const rank = uniformRanks(1);
  upstream.run(20_000, { perStep: CAPACITY_PER_STEP * 3, rank });
  assert.equal(upstream.doneRatio((e) => e.rank < 128), 1);
  assert.ok(upstream.doneRatio((e) => e.rank >= 384) < 0.05);
  assert.ok(upstream.admission.load().levelRank < 300);
  const served = upstream.ended.filter((e) => e.kind === "done").length;
  assert.ok(served >= 0.9 * CAPACITY_PER_STEP * 20_000 / STEP_MS, `${served}`);
  upstream.run(5_000, { perStep: 1, rank });
  assert.equal(upstream.admission.load().levelRank, 512);
});

test("at three times capacity a load that is all critical is shed by rank", () => {
  const upstream = new Upstream();
  const random = new SeededRandom(6);
  const perStep = CAPACITY_PER_STEP * 3;
  upstream.run(20_000, { perStep, rank: () => random.nextInt(128) });
  assert.ok(upstream.doneRatio((e) => e.rank < 16) > 0.9);
  assert.ok(upstream.doneRatio((e) => e.rank >= 96) < 0.1);
  assert.ok(upstream.doneRatio(() => true) > 0.9 / 3);
});

test("a tenant that sends ten times its share does not crowd out the others of its class", () => {
  const upstream = new Upstream();
  const random = new SeededRandom(2);
  upstream.run(20_000, {
    perStep: CAPACITY_PER_STEP * 3,
    rank: () => 128 + random.nextInt(128),
    tenant: () => `t${Math.min(4, random.nextInt(14))}`,
  });
  const fair = upstream.doneRatio((e) => e.tenant !== "t4");
  const hot = upstream.doneRatio((e) => e.tenant === "t4");
  assert.ok(fair > 0.75, `${fair}`);
  assert.ok(hot < 0.5, `${hot}`);
});

test("requests with a deadline of 1 ms are refused before they use a slot", () => {
  const upstream = new Upstream();
  const rank = uniformRanks(3);
  upstream.run(1_000, { perStep: 1, rank });
  upstream.deadlineInMs = 1;
  const before = upstream.ended.length;
  upstream.run(1_000, { perStep: 1, rank });
  const kinds = upstream.ended.slice(before).map((e) => e.kind);
  const refused = kinds.filter((kind) => kind === "deadline_unmeetable");
  assert.equal(refused.length, 200);
});

test("load reports that lag by 5 s, are always 0 or always too high neither raise the limit nor stop the upstream", () => {
  const ownCounts: number[] = [];
  const reports = {
    lagging: (round: number) => ownCounts[round - 50] ?? 0,
    idle: () => 0,
    full: () => 1_000,
  };
  for (const [name, report] of Object.entries(reports)) {
    const upstream = new Upstream();
    const rank = uniformRanks(4);
    for (let round = 0; round < 120; round++) {
      upstream.admission.reportLoad(report(round), upstream.nowMs);
      const surge = Math.floor(round / 20) % 2 === 0;
      upstream.run(100, { perStep: surge ? CAPACITY_PER_STEP * 3 : 1, rank });
      const { limitCount, inFlightCount } = upstream.admission.load();
      ownCounts.push(inFlightCount);
      assert.ok(limitCount >= 10 && limitCount <= 20, `${name} ${limitCount}`);
    }
    const done = upstream.doneRatio((e) => e.rank < 128);
    assert.ok(done > (name === "full" ? 0.6 : 0.99), `${name}: ${done}`);
  }
});

test("at preference 1 the longest wait in the queue is a quarter of that at 0", () => {
  const waits = [0, 1].map((preference) => {
    const upstream = new Upstream(preference);
    upstream.serviceMs = 1_000;
    upstream.deadlineInMs = 60_000;
    upstream.run(STEP_MS, { perStep: 30, rank: () => 500 });
    const startMs = upstream.nowMs;
    while (!upstream.ended.some((e) => e.kind === "queue_timeout")) {
      upstream.run(STEP_MS, { perStep: 0, rank: () => 500 });
    }
    return upstream.nowMs - startMs;
  });
  assert.deepEqual(waits, [505, 130]);
});
