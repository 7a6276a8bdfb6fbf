/** Checks that a process withstands a crowd of callers, for tests. */
import assert from "node:assert/strict";
import { type OutgoingHttpHeaders, request } from "node:http";
import type { TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import type { Address } from "../schemas/common_schema.ts";
import { type CrowdKind, openCrowd } from "./caller_crowd.ts";
import { ProcessWatch, type WatchedProcess } from "./process_watch.ts";

const BYTES_PER_MB = 1_000_000;
/** Mean size of an upload in the deployments, in bytes. */
const UPLOAD_BYTES = 60_000;
const ORDINARY_TIMEOUT_MS = 30_000;
/** Tries of an ordinary request that is refused as not run, and their distance. */
const TRIES_MAX_COUNT = 20;
const RETRY_MS = 250;
const STATUS_OK = 200;
const STATUS_NOT_RUN = 503;

/** A daemon that runs in a process of its own, and its bounds. */
export type CrowdTarget = {
  readonly child: WatchedProcess;
  /** Listener for callers. */
  readonly address: Address;
  /** Path of an ordinary upload. */
  readonly ordinaryPath: string;
  /** Headers of an ordinary upload with the given id. */
  readonly ordinaryHeaders: (id: string) => OutgoingHttpHeaders;
  /** Lines of the heads of the crowd; see {@link openCrowd}. */
  readonly headLines: readonly string[];
  /** Number of callers, if it is not the usual one of their kind. */
  readonly callersCount?: number;
  readonly memoryMaxBytes: number;
  readonly descriptorsMaxCount: number;
};

/** Sends one ordinary upload. Returns its status, or 0 without an answer. */
function sendOrdinary(
  { address, ordinaryPath, ordinaryHeaders }: CrowdTarget,
  id: string,
): Promise<number> {
  return new Promise((resolve) => {
    const sent = request({
      ...address,
      method: "POST",
      path: ordinaryPath,
      agent: false,
      timeout: ORDINARY_TIMEOUT_MS,
      headers: ordinaryHeaders(id),
    }, (answer) => {
      answer.resume();
      answer.on("close", () => resolve(answer.statusCode ?? 0));
    });
    sent.on("timeout", () => sent.destroy());
    sent.on("error", () => resolve(0));
    sent.end("x".repeat(UPLOAD_BYTES));
  });
}

/** Sends one ordinary upload, again after each refusal. Returns its status. */
async function sendUntilRun(target: CrowdTarget): Promise<number> {
  let status = 0;
  for (let index = 0; index < TRIES_MAX_COUNT; index++) {
    status = await sendOrdinary(target, `after-${index}`);
    if (status !== STATUS_NOT_RUN) {
      break;
    }
    await delay(RETRY_MS);
  }
  return status;
}

/**
 * Checks that the process lives, stays under its bounds and answers an ordinary
 * request after a crowd of callers, whose connections stay open.
 *
 * @param t Test that owns the connections.
 * @param kind Kind of the callers.
 * @param target Process and bounds.
 */
export async function assertWithstandsCrowd(
  t: TestContext,
  kind: CrowdKind,
  target: CrowdTarget,
): Promise<void> {
  const { child, address, headLines, callersCount: count } = target;
  assert.equal(await sendOrdinary(target, "before"), STATUS_OK);
  const watch = new ProcessWatch(child);
  await openCrowd(t, address, { kind, headLines, count });
  const status = await sendUntilRun(target);
  const { memoryBytes, descriptorsCount } = watch.stop();
  t.diagnostic(
    `${kind}: ${memoryBytes / BYTES_PER_MB} MB, ${descriptorsCount} ` +
      `descriptors, alive ${watch.isAlive}, ordinary request ${status}`,
  );
  assert.ok(watch.isAlive, "the process has ended");
  assert.equal(status, STATUS_OK);
  assert.ok(memoryBytes < target.memoryMaxBytes, `${memoryBytes} bytes`);
  assert.ok(
    descriptorsCount < target.descriptorsMaxCount,
    `${descriptorsCount} descriptors`,
  );
}
