/** Schema of the load that a load source offers. */
import { z } from "zod";
import { importanceClassSchema } from "../../src/schemas/common_schema.ts";

/** Schema of one phase of the offered load. */
export const loadPhaseSchema = z.strictObject({
  /** End of the phase, in ms since the start of the run. */
  untilMs: z.int().min(1),
  /** Poisson rate of new calls per second. */
  ratePerS: z.number().min(0),
});

/** Schema of one stream of calls. */
export const loadStreamSchema = z.strictObject({
  name: z.string(),
  importanceClass: importanceClassSchema,
  method: z.enum(["GET", "POST"]),
  path: z.string().startsWith("/"),
  /** Whether each call has an idempotency key. */
  keyed: z.boolean(),
  /** Size of each request body. */
  bodyBytes: z.int().min(0),
  /** Size of each answer body, which is compared byte by byte. */
  answerBytes: z.int().min(0),
  /** Time after which the caller abandons a call and its retries. */
  deadlineMs: z.int().min(1),
  /** Tries of one call, the first one included. */
  triesMax: z.int().min(1),
  /** Pause between tries. */
  retryDelayMs: z.int().min(0),
  phases: z.array(loadPhaseSchema).min(1),
});

/** Schema of a load plan. */
export const loadPlanSchema = z.strictObject({
  seed: z.int(),
  /** Wall time of the start of the run, in ms since the epoch. */
  startWallMs: z.int(),
  /** Length of the intervals over which results are summed. */
  bucketMs: z.int().min(1),
  /** URLs of the callers listeners; each try goes to a random one. */
  entries: z.array(z.url()).min(1),
  streams: z.array(loadStreamSchema).min(1),
});

/** Load that one load source offers. */
export type LoadPlan = z.infer<typeof loadPlanSchema>;
/** One stream of calls. */
export type LoadStream = z.infer<typeof loadStreamSchema>;

/**
 * Sums of one stream over one interval. Calls belong to the interval of their
 * intended send time, except in `goodputCount`.
 */
export type LoadBucket = {
  /** Start of the interval, in ms since the start of the run. */
  readonly fromMs: number;
  offeredCount: number;
  succeededCount: number;
  /** Tries that were sent, over all calls of the interval. */
  triesCount: number;
  /** Calls that succeeded within the interval, by the time of the answer. */
  goodputCount: number;
};

/** Result of one stream. */
export type StreamResult = {
  readonly name: string;
  readonly importanceClass: LoadStream["importanceClass"];
  readonly buckets: LoadBucket[];
  /** Latency of successful calls from the intended send time, in ms. */
  readonly latencyMs: { p50: number; p99: number; max: number };
  /** Answers whose body was not the expected one. */
  readonly wrongAnswersCount: number;
  /** Failed tries by error kind; `broken` for a failed transfer. */
  readonly failures: Record<string, number>;
  /** Tokens of the calls that succeeded. */
  readonly succeededTokens: string[];
};
