/** Messages between the hop benchmark and its load processes. */
import { z } from "zod";

/** Schema of an order to a load process. */
export const loadOrderSchema = z.strictObject({
  origin: z.url(),
  ratePerS: z.number().positive(),
  durationMs: z.int().min(1),
  seed: z.int(),
});

/** Schema of the result of a load process. */
export const loadResultSchema = z.strictObject({
  sentCount: z.int(),
  completeCount: z.int(),
  /** Answers with another status or body, and broken transfers. */
  failedCount: z.int(),
  /** Histogram of the latency from the intended send time, in 10 µs. */
  latency: z.string(),
  /** Histogram of the latency from the actual send time, in 10 µs. */
  serviceLatency: z.string(),
});

/** Order to a load process. */
export type LoadOrder = z.infer<typeof loadOrderSchema>;
/** Result of a load process. */
export type LoadResult = z.infer<typeof loadResultSchema>;

/** Histogram units in one millisecond. */
export const UNITS_PER_MS = 100;
