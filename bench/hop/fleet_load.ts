/** Closed-loop load of the fleet variant of the hop benchmark. */
import { Pool } from "undici";
import { BENCH_HOST } from "./fleet_daemons.ts";

const STATUS_OK = 200;
const BODY = Buffer.alloc(300, "y");
/** Of this many requests one is of the route that is not idempotent. */
const UNSAFE_EVERY_COUNT = 2;

/** Result of one round. */
export type LoadCounts = { completeCount: number; failedCount: number };

/**
 * Keeps a number of requests open for a time.
 *
 * @param origin Origin of the daemon.
 * @param options Suffix of the routes, requests open at once and duration.
 * @returns Numbers of answers with status 200, and of other results.
 */
export async function runFleetLoad(
  origin: string,
  options: { index: number; openCount: number; durationMs: number },
): Promise<LoadCounts> {
  const pool = new Pool(origin, {
    connections: options.openCount,
    pipelining: 1,
  });
  const endsAtMs = performance.now() + options.durationMs;
  const counts = { completeCount: 0, failedCount: 0 };
  let sentCount = 0;
  const runOne = async () => {
    const id = `bench-${sentCount++}`;
    const isUnsafe = sentCount % UNSAFE_EVERY_COUNT === 0;
    const answer = await pool.request({
      path: `/${isUnsafe ? "unsafe" : "safe"}-${options.index}/${id}`,
      method: "POST",
      headers: {
        host: BENCH_HOST,
        "attempt-id": id,
        "deadline-ms": "1500",
        "content-type": "application/json",
      },
      body: BODY,
    });
    await answer.body.dump();
    answer.statusCode === STATUS_OK
      ? counts.completeCount++
      : counts.failedCount++;
  };
  const runMany = async () => {
    while (performance.now() < endsAtMs) {
      await runOne();
    }
  };
  await Promise.all(Array.from({ length: options.openCount }, runMany));
  await pool.close();
  return counts;
}
