/** Creates the concurrency limiter that the table of pools selects. */
import type { Pool } from "../../schemas/tables_schema.ts";
import { AimdLimiter } from "./aimd_limiter.ts";
import type { ConcurrencyLimiter } from "./concurrency_limiter.ts";
import { FixedLimiter } from "./fixed_limiter.ts";
import { GradientLimiter } from "./gradient_limiter.ts";

const LIMITERS = {
  fixed: FixedLimiter,
  gradient: GradientLimiter,
  aimd: AimdLimiter,
} as const;

/**
 * Creates the concurrency limiter of an upstream.
 *
 * @param kind Value of the pool's field `limit`.
 * @param slotsCount Announced slots of the upstream.
 * @returns Limiter whose initial limit is `slotsCount`.
 *
 * @example
 * createLimiter("gradient", 100).limit(); // 100
 */
export function createLimiter(
  kind: Pool["limit"],
  slotsCount: number,
): ConcurrencyLimiter {
  return new LIMITERS[kind](slotsCount);
}
