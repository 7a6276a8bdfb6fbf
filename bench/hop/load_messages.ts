/** Messages between the hop benchmark and its load processes. */
import { z } from "zod";

/** Schema of a command to a load process. */
export const loadCommandSchema = z.strictObject({
  origin: z.url(),
  ratePerS: z.number().positive(),
  durationMs: z.int().min(1),
  seed: z.int(),
});

/** Schema of the result of a load process. */
export const loadResultSchema = z.strictObject({
  sentCount: z.int(),
  completeCount: z.int(),
  /** Requests with a wrong status or size, a failed transfer or no answer. */
  failedCount: z.int(),
  /** Histogram of the latency from the intended send time, in units of 10 µs. */
  latency: z.string(),
  /** Histogram of the latency from the actual send time, in units of 10 µs. */
  serviceLatency: z.string(),
});

/** Command to a load process. */
export type LoadCommand = z.infer<typeof loadCommandSchema>;
/** Result of a load process. */
export type LoadResult = z.infer<typeof loadResultSchema>;

/** Histogram units per millisecond. */
export const UNITS_PER_MS = 100;
