/**
 * Measures bytes, processor time and memory of the configuration: acceptance,
 * steps and full copies, by table size. Message costs include schema validation
 * and MessagePack encoding of the bodies, but not the framing of gRPC.
 *
 * Usage: `npm run bench:config -- [--json FILE] [--sizes 100,1000,4000]`
 */
import { writeFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import process from "node:process";
import { parseArgs } from "node:util";
import { Packr } from "msgpackr";
import {
  computeAcceptedStep,
  decideAccept,
} from "../../src/config/accept_decision.ts";
import { chunkEntries } from "../../src/config/chunk_entries.ts";
import { ConfigStore, type FullCopy } from "../../src/config/config_store.ts";
import { digestEntries } from "../../src/config/table_digest.ts";
import { indexEntries, splitTables } from "../../src/config/table_entries.ts";
import {
  checkPair,
  PairChecker,
  type TableTexts,
} from "../../src/config/pair_checker.ts";
import { SystemClock } from "../../src/core/clock.ts";
import {
  chunkAnswerSchema,
  compareAnswerSchema,
  compareRequestSchema,
  type ConfigStep,
  configStepSchema,
  type TableEntry,
} from "../../src/schemas/config_schema.ts";
import { fitLine, measureCpuMs, measureHeapBytes } from "./measure.ts";
import { makeTexts } from "./sample_tables.ts";

const SIZES_DEFAULT = "100,500,1000,2000,3000";
const CHANGES_COUNT = 100;
const COPIES_COUNT = 8;
const FIRST_TIMEOUT_MS = 5_000;
const CHUNK_MAX_BYTES = 131_072;
// Each daemon sends a step to eight neighbours and receives it from up to eight.
const NEIGHBOURS_COUNT = 8;
const ORIGIN = { source: "flood" } as const;

const packer = new Packr({ useRecords: true });

function makeCopy(texts: TableTexts, generation: number): FullCopy {
  const checked = checkPair(texts);
  if (checked.kind === "invalid") {
    throw new Error(`Invalid tables: ${checked.mistakes[0]?.reason}`);
  }
  const entries = splitTables(checked.tables);
  return { head: { generation, digest: digestEntries(entries) }, entries };
}

/** Makes full copies that each differ from the previous one in one route. */
function makeHistory(routesCount: number, count: number): FullCopy[] {
  const first = makeCopy(makeTexts(routesCount, FIRST_TIMEOUT_MS), 1);
  const key = "routes/route-0";
  const route = first.entries.get(key) as Extract<
    TableEntry,
    { section: "routes" }
  >;
  return Array.from({ length: count }, (_, index) => {
    const timeoutMs = FIRST_TIMEOUT_MS + index;
    const changed = { ...route, value: { ...route.value, timeoutMs } };
    const entries = new Map(first.entries).set(key, changed);
    const head = { generation: index + 1, digest: digestEntries(entries) };
    return { head, entries };
  });
}

function listSteps(history: readonly FullCopy[]): ConfigStep[] {
  return history.slice(1).map((next, index) =>
    computeAcceptedStep(history[index] as FullCopy, next, 1) as ConfigStep
  );
}

function measureAcceptance(routesCount: number) {
  const accepted = {
    head: { generation: 1, digest: "0".repeat(64) },
    versions: { routes: 1, pools: 1 },
    snapshot: { slot: 0, chunksCount: 1 },
    acceptedBy: "a",
    acceptedEpochMs: 1,
  };
  const stored = (text: string, version: number) => ({
    version,
    value: { editId: "e", recentEditIds: ["e"], text },
  });
  const base = makeCopy(makeTexts(routesCount, 1), 1);
  const options = { checker: new PairChecker(), known: base.entries };
  const changed = Array.from(
    { length: COPIES_COUNT * 2 },
    (_, index) => makeTexts(routesCount, 2 + index),
  );
  return measureCpuMs(COPIES_COUNT, (index) => {
    const texts = changed[index] as TableTexts;
    const routes = stored(texts.routes, 2);
    const pair = { routes, pools: stored(texts.pools, 1) };
    const decision = decideAccept(pair, accepted, options);
    if (decision.kind === "accept") {
      computeAcceptedStep(base, decision, 1);
    }
  });
}

function measureSteps(routesCount: number) {
  const historyLength = CHANGES_COUNT * 2;
  const steps = listSteps(makeHistory(routesCount, historyLength));
  const store = new ConfigStore(new SystemClock());
  const first = makeCopy(makeTexts(routesCount, FIRST_TIMEOUT_MS), 1);
  store.applyFull(first, ORIGIN);
  const packed = packer.pack(steps[0]);
  const receiveMs = measureCpuMs(CHANGES_COUNT * 10, () => {
    configStepSchema.parse(packer.unpack(packed));
  });
  const sendMs = measureCpuMs(CHANGES_COUNT * 10, () => {
    packer.pack(configStepSchema.parse(steps[0]));
  });
  const applyMs = measureCpuMs(CHANGES_COUNT, (index) => {
    const step = steps[index];
    if (step === undefined || !store.applyStep(step, ORIGIN)) {
      throw new Error(`Step ${index} was not applied`);
    }
  });
  return { stepBytes: packed.length, receiveMs, sendMs, applyMs };
}

function packChunks({ head, entries }: FullCopy): Uint8Array[] {
  const chunks = chunkEntries(entries, CHUNK_MAX_BYTES);
  return chunks.map((chunk) =>
    packer.pack(
      chunkAnswerSchema.parse({
        head,
        chunksCount: chunks.length,
        entries: chunk,
      }),
    )
  );
}

function measureCopies(routesCount: number) {
  const copy = makeCopy(makeTexts(routesCount, 1), 1);
  const chunks = packChunks(copy);
  const bytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  const serveMs = measureCpuMs(COPIES_COUNT, () => {
    packChunks(copy);
  });
  const receive = () => {
    const entries = chunks.flatMap((chunk) =>
      chunkAnswerSchema.parse(packer.unpack(chunk)).entries
    );
    const store = new ConfigStore(new SystemClock());
    if (
      !store.applyFull(
        { head: copy.head, entries: indexEntries(entries) },
        ORIGIN,
      )
    ) {
      throw new Error("The full copy was not applied");
    }
    return store;
  };
  const receiveMs = measureCpuMs(COPIES_COUNT, receive);
  const heapBytes = measureHeapBytes(receive);
  return {
    copyBytes: bytes,
    chunksCount: chunks.length,
    serveMs,
    receiveMs,
    heapBytes,
  };
}

/**
 * Measures a comparison of equal heads. Each daemon starts one and answers one
 * every 2 s.
 */
function measureComparison() {
  const head = { generation: 1, digest: "0".repeat(64) };
  const request = packer.pack({ head });
  const answer = packer.pack({ head, steps: [] });
  const cpuMs = measureCpuMs(CHANGES_COUNT * 10, () => {
    compareRequestSchema.parse(packer.unpack(packer.pack({ head })));
    compareAnswerSchema.parse(packer.unpack(packer.pack({ head, steps: [] })));
  });
  return { compareBytes: request.length + answer.length, compareCpuMs: cpuMs };
}

/** Measures all figures of one table size. */
function measureSize(routesCount: number) {
  const texts = makeTexts(routesCount, 1);
  const steps = measureSteps(routesCount);
  const copies = measureCopies(routesCount);
  return {
    routesCount,
    routesTableBytes: texts.routes.length,
    poolsTableBytes: texts.pools.length,
    acceptCpuMs: measureAcceptance(routesCount),
    stepBytes: steps.stepBytes,
    stepSendCpuMs: steps.sendMs,
    stepReceiveCpuMs: steps.receiveMs,
    stepApplyCpuMs: steps.applyMs,
    daemonChangeBytes: 2 * NEIGHBOURS_COUNT * steps.stepBytes,
    daemonChangeCpuMs: steps.applyMs +
      NEIGHBOURS_COUNT * (steps.sendMs + steps.receiveMs),
    copyBytes: copies.copyBytes,
    copyChunksCount: copies.chunksCount,
    copyServeCpuMs: copies.serveMs,
    copyReceiveCpuMs: copies.receiveMs,
    copyHeapBytes: copies.heapBytes,
  };
}

type SizeFigures = ReturnType<typeof measureSize>;

/** Fits the slope per route and the intercept of each figure. */
function fitFigures(rows: readonly SizeFigures[]) {
  const names = Object.keys(rows[0] ?? {}) as (keyof SizeFigures)[];
  return Object.fromEntries(
    names.filter((name) => name !== "routesCount").map((name) => [
      name,
      fitLine(rows.map((row) => [row.routesCount, row[name]] as const)),
    ]),
  );
}

const { values } = parseArgs({
  options: {
    json: { type: "string" },
    sizes: { type: "string", default: SIZES_DEFAULT },
  },
});
const rows = values.sizes.split(",").map(Number).map(measureSize);
const comparison = measureComparison();
const report = {
  node: process.version,
  processorsCount: availableParallelism(),
  neighboursCount: NEIGHBOURS_COUNT,
  comparison,
  sizes: rows,
  perRoute: rows.length > 1 ? fitFigures(rows) : {},
};
console.table(rows);
console.table([comparison]);
if (values.json !== undefined) {
  writeFileSync(values.json, `${JSON.stringify(report, undefined, 2)}\n`);
}
