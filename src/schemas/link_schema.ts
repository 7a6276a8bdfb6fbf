/**
 * Schemas of the frames between daemons. A frame is an array, so that no field
 * names are sent. Its first element is its kind.
 */
import { z } from "zod";
import { memberRecordSchema } from "./fleet_schema.ts";

/**
 * A string, the table index of a repeated one, or, in an array, a string that
 * becomes the next table entry; see `src/link/string_table.ts`.
 */
const wireStringSchema = z.union([
  z.string(),
  z.number(),
  z.tuple([z.string()]).readonly(),
]);

/** Kinds of frames. */
export const FRAME = {
  hello: 0,
  request: 1,
  answer: 2,
  refusal: 3,
  cancel: 4,
  ping: 5,
  /** Answer to a ping of earlier versions; now `configVersion`. */
  pong: 6,
  state: 7,
  configQuery: 8,
  config: 9,
  busy: 10,
  memberQuery: 11,
  members: 12,
  configVersion: 13,
  currencyQuery: 14,
  currency: 15,
  usageAsk: 16,
  usageGrant: 17,
  usageHeld: 18,
  offer: 19,
  poolFigures: 20,
  runQuery: 21,
  running: 22,
  reserve: 23,
  reserved: 24,
} as const;

/** Schema of the state that a daemon reports of its local upstream. */
export const upstreamStateSchema = z.object({
  upstreamId: z.string().describe("Empty while the upstream is not known"),
  isServing: z.boolean().describe("Whether the upstream takes new requests"),
  isStopping: z.boolean()
    .describe("Whether the daemon stops soon; others are preferred"),
  limitCount: z.number().describe("Concurrency limit of the upstream"),
  isCold: z.boolean().describe("Whether the upstream is slow after its start"),
  busyRatio: z.number()
    .describe("Running and waiting requests per slot, as a moving average"),
  refusedRatio: z.number().min(0).max(1).default(0).describe(
    "Share of the requests that the upstream refuses, over about a second",
  ),
  configVersion: z.number(),
  isWatching: z.boolean().default(false)
    .describe("Whether the daemon watches the store closely and reaches it"),
  reservesRoom: z.boolean().default(false).describe(
    "Whether the daemon answers queries for room; earlier versions do not",
  ),
  calls: z.array(z.tuple([z.string(), z.string(), z.number()]))
    .describe(
      "Calling route, called route, calls per run of the calling route",
    ),
});

/** State that a daemon reports of its local upstream. */
export type UpstreamState = z.infer<typeof upstreamStateSchema>;

/** Schema of the first frame in each direction. */
export const helloFrameSchema = z.tuple([
  z.literal(FRAME.hello),
  memberRecordSchema,
  upstreamStateSchema,
]);

/** Schema of a changed upstream state. */
export const stateFrameSchema = z.tuple([
  z.literal(FRAME.state),
  upstreamStateSchema,
]);

/**
 * Schema of a changed `busyRatio`, sent alone because it changes far more often
 * than the rest of the state.
 */
export const busyFrameSchema = z.tuple([
  z.literal(FRAME.busy),
  z.number().describe("Running and waiting requests per 100 slots"),
]);

/**
 * Schema of records of members: all that a daemon knows, including itself, as
 * the answer to a query, or only its own one when it has changed.
 */
export const membersFrameSchema = z.tuple([
  z.literal(FRAME.members),
  z.array(memberRecordSchema),
]);

/**
 * Schema of the version of the configuration in force, sent to peers when it
 * changes.
 */
export const configVersionFrameSchema = z.tuple([
  z.literal(FRAME.configVersion),
  z.number(),
]);

/**
 * Schema of the answer to a query for the currency: as of when the configuration
 * of the answering daemon was surely the newest.
 */
export const currencyFrameSchema = z.tuple([
  z.literal(FRAME.currency),
  z.number().describe("Number of the query"),
  z.number().describe("Configuration version of the answering daemon"),
  z.number().min(0).nullable()
    .describe("Age of its currency, in ms; null before its first proof"),
]).transform(([, number, version, ageMs]) => ({ number, version, ageMs }));

/** Answer to a query for the currency. */
export type CurrencyAnswer = z.infer<typeof currencyFrameSchema>;

/** Schema of a forwarded request. */
export const requestFrameSchema = z.tuple([
  z.literal(FRAME.request),
  z.number().describe("Exchange number on this link"),
  wireStringSchema.describe("Upstream that the sender chose"),
  wireStringSchema.describe("Method"),
  z.string().describe("Path with query"),
  z.array(wireStringSchema).describe("Alternating header names and values"),
  z.instanceof<typeof Uint8Array<ArrayBufferLike>>(Uint8Array).nullable()
    .describe("Body"),
  z.number().describe("Remaining time, in ms"),
  wireStringSchema.describe("Route"),
  z.number().describe(
    "Time left until the latency goal, in ms; orders the queue",
  ),
  z.boolean().describe(
    "Whether the receiving daemon may refuse the request because of its load",
  ),
  wireStringSchema.describe(
    "Pool of the instance whose daemon first received the request",
  ),
  z.number().describe("Configuration version of the sender"),
  z.number().optional().describe(
    "Monotonic time of the sender, in ms; earlier versions do not send it",
  ),
]);

/** A forwarded request. */
export type RequestFrame = z.infer<typeof requestFrameSchema>;

/**
 * Schema of the reported load of an upstream, sent with each answer and
 * refusal.
 */
export const loadReportSchema = z.tuple([
  z.number().describe("Running and waiting requests"),
  z.number().describe("Mean time at the upstream, in ms"),
  z.number().describe("Share of failed requests, in units of 1/255"),
]);

/** Reported load of an upstream. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** Schema of a complete answer. */
export const answerFrameSchema = z.tuple([
  z.literal(FRAME.answer),
  // Exchange number of the request.
  z.number(),
  z.number().describe("Status"),
  z.array(wireStringSchema).describe("Alternating header names and values"),
  z.instanceof<typeof Uint8Array<ArrayBufferLike>>(Uint8Array).nullable(),
  z.number().describe("Time at the upstream, in ms"),
  loadReportSchema,
  z.number().describe("Configuration version of the answering daemon"),
]);

/** A complete answer. */
export type AnswerFrame = z.infer<typeof answerFrameSchema>;

/** Schema of a refusal, which ends an exchange without an answer. */
export const refusalFrameSchema = z.tuple([
  z.literal(FRAME.refusal),
  // Exchange number of the request.
  z.number(),
  z.string().describe("Error kind"),
  z.boolean().describe("Whether the request certainly did not run"),
  z.boolean().describe("Whether the request reached the upstream"),
  loadReportSchema,
  z.number().describe("Configuration version of the answering daemon"),
]);

/** A refusal. */
export type RefusalFrame = z.infer<typeof refusalFrameSchema>;

const countSchema = z.number().min(0);

/**
 * Schema of a query for room for the body of a request, which is sent after the
 * answer `reserved`. Without room, the answer is a refusal.
 */
export const reserveFrameSchema = z.tuple([
  z.literal(FRAME.reserve),
  z.number().describe("Number of the exchange"),
  countSchema.describe("Size of the body, in bytes"),
]).transform(([, exchangeId, bodyBytes]) => ({ exchangeId, bodyBytes }));

/** Schema of the answer to a query for room that has been reserved. */
export const reservedFrameSchema = z.tuple([
  z.literal(FRAME.reserved),
  z.number().describe("Number of the exchange"),
]);

/** Schema of a message to the owner of usage caps. */
export const usageAskFrameSchema = z.tuple([
  z.literal(FRAME.usageAsk),
  z.number().describe("Random number of the sender's process"),
  z.number().describe("Number of the message; rises with each"),
  z.number().describe("Monotonic time of the sender, in ms"),
  countSchema.describe("Members that the sender knows"),
  z.number().describe("Number of the list of leased tenants"),
  z.array(z.string()).nullable()
    .describe("Tenants whose share is leased; null for the known list"),
  z.array(
    z.tuple([z.string(), countSchema, countSchema, countSchema, countSchema]),
  )
    .describe(
      "Tenant, waiting requests, tokens wanted for the stock, returned tokens, " +
        "tokens of a former owner",
    ),
]);

/** Schema of a report to the owner of usage caps, which has no answer. */
export const usageHeldFrameSchema = z.tuple([
  z.literal(FRAME.usageHeld),
  z.number().describe("Random number of the sender's process"),
  z.number().describe("Number of the report; rises with each"),
  z.array(z.tuple([z.string(), countSchema]))
    .describe("Tenant, requests that started late or may do so"),
]);

/** Schema of the answer to a query for a request that the upstream has started. */
export const runningFrameSchema = z.tuple([
  z.literal(FRAME.running),
  z.number().describe("Number of the exchange"),
  z.number().min(0).describe("Time since the start, in ms"),
]);

/** Schema of the answer of the owner of usage caps. */
export const usageGrantFrameSchema = z.tuple([
  z.literal(FRAME.usageGrant),
  z.number().describe("Random number of the asking process"),
  z.number().describe("Number of the ask"),
  z.number().describe("Number of the list of leased tenants that is in use"),
  z.array(
    z.tuple([z.string(), countSchema, countSchema, countSchema, countSchema]),
  )
    .describe(
      "Tenant, granted tokens, requests without a token, time until there is " +
        "room in ms, tokens to take to the next owner",
    ),
]);

/** Schema of the runs that a daemon's callers offer to the peer's pool. */
export const offerFrameSchema = z.tuple([
  z.literal(FRAME.offer),
  z.number().describe("Number of the report, which the answer repeats"),
  z.array(countSchema)
    .describe("Offered runs per second by class, most important first"),
]).transform(([, number, offeredPerS]) => ({ number, offeredPerS }));

/** Schema of the answer to a report of offered runs. */
export const poolFiguresFrameSchema = z.tuple([
  z.literal(FRAME.poolFigures),
  z.number().describe("Number of the report"),
  countSchema.describe("Runs per second that the upstream can run"),
  countSchema.describe("Running and waiting requests per 100 slots"),
  countSchema.describe("Time until the next report, in units of 10 ms"),
  z.array(countSchema)
    .describe("Offered runs per second of all daemons, by class"),
]).transform((
  [, number, capacityPerS, busyPercent, interval, offeredPerS],
) => ({
  number,
  capacityPerS,
  busyRatio: busyPercent / 100,
  reportIntervalMs: interval * 10,
  offeredPerS,
}));
