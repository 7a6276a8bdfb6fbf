/** Checks recorded calls against the requests that the upstreams recorded. */
import type { CallRecord } from "../../stand_ins/call_record.ts";
import type { RequestRecord } from "../../stand_ins/upstream_settings.ts";

/** Calls and upstream requests of one run. */
export type RecordedHistory = {
  /** All attempts of all callers. */
  readonly calls: readonly CallRecord[];
  /** Requests at all upstreams by pool, including those of replaced instances. */
  readonly requests: Readonly<Record<string, readonly RequestRecord[]>>;
};

/**
 * Checks a history against the guarantees that callers get:
 *
 * 1. An attempt that was answered `not-run` has no effect: no request with its
 *    request id took effect in any pool. Without a key, no request with its token
 *    did either; with a key, another attempt with the same token may have.
 * 2. A pool has at most one effect for a tenant's key.
 * 3. An answer that claims to be complete has its full length, belongs to the
 *    request's token and tenant in every byte, and names the tenant.
 *
 * @param history Calls and requests.
 * @returns One line for each violation; empty when all guarantees hold.
 */
export function checkHistory(history: RecordedHistory): string[] {
  return [
    ...checkNotRun(history),
    ...checkAtMostOnce(history),
    ...checkComplete(history),
  ];
}

function checkNotRun({ calls, requests }: RecordedHistory): string[] {
  const applied = Object.values(requests).flat().filter((one) => one.effect);
  const requestIds = new Set(applied.map((request) => request.requestId));
  const tokens = new Set(applied.map((request) => request.token));
  return calls
    .filter((call) => call.outcome === "not-run")
    .filter((call) =>
      requestIds.has(call.requestId) ||
      (call.key === "" && tokens.has(call.token))
    )
    .map((call) => `not-run but took effect: ${call.token} ${call.requestId}`);
}

function checkAtMostOnce({ requests }: RecordedHistory): string[] {
  return Object.entries(requests).flatMap(([pool, records]) =>
    [...countEffects(records)]
      .filter(([, count]) => count > 1)
      .map(([key, count]) => `${count} effects in ${pool}: ${key}`)
  );
}

function checkComplete({ calls }: RecordedHistory): string[] {
  return calls
    .filter((call) => call.outcome === "complete")
    .filter((call) =>
      !call.whole || !call.bodyMatches || call.answerTenant !== call.tenant
    )
    .map((call) => `wrong answer: ${call.token} of ${call.tenant}`);
}

/**
 * Counts the effects of keyed requests.
 *
 * @param records Requests of one pool.
 * @returns Number of effects by `TENANT KEY`.
 */
export function countEffects(
  records: readonly RequestRecord[],
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { effect, tenant, key } of records) {
    if (!effect || key === "") {
      continue;
    }
    const name = `${tenant} ${key}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}
