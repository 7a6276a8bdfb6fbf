/** Schemas of the configuration's objects, deltas and messages between peers. */
import { z } from "zod";
import { nameSchema } from "./common_schema.ts";
import {
  poolSchema,
  poolsTableSchema,
  routeSchema,
  routesTableSchema,
} from "./tables_schema.ts";

/** Names of the two tables. */
export const TABLE_NAMES = ["routes", "pools"] as const;
/** Name of a table. */
export type TableName = typeof TABLE_NAMES[number];

/** Schema of one entry of a section of a table; `rules` has a single entry. */
export const tableEntrySchema = z.discriminatedUnion("section", [
  z.strictObject({
    section: z.literal("rules"),
    name: z.literal("rules"),
    value: routesTableSchema.shape.rules.unwrap(),
  }),
  z.strictObject({
    section: z.literal("tenants"),
    name: nameSchema,
    value: routesTableSchema.shape.tenants.unwrap().valueType,
  }),
  z.strictObject({
    section: z.literal("branches"),
    name: nameSchema,
    value: routesTableSchema.shape.branches.unwrap().valueType,
  }),
  z.strictObject({
    section: z.literal("routes"),
    name: nameSchema,
    value: routeSchema,
  }),
  z.strictObject({
    section: z.literal("pools"),
    name: nameSchema,
    value: poolSchema,
  }),
]);
/** One entry of a table. */
export type TableEntry = z.infer<typeof tableEntrySchema>;

/** Schema of the key of an entry, `SECTION/NAME`. */
export const entryKeySchema = z.string().min(3);

/**
 * Schema of the difference between two configurations. It covers both tables.
 */
export const tablesDeltaSchema = z.strictObject({
  puts: z.array(tableEntrySchema).describe("Entries that are new or changed"),
  removals: z.array(entryKeySchema).describe("Keys of removed entries"),
});
/** Difference between two configurations. */
export type TablesDelta = z.infer<typeof tablesDeltaSchema>;

const generationSchema = z.int().min(1);
const digestSchema = z.string().regex(/^[0-9a-f]{64}$/);
const objectVersionSchema = z.int().min(1);

/**
 * Maximum number of edit ids in a stored table. After a write without an answer,
 * they show whether the edit was applied.
 */
export const RECENT_EDIT_IDS_MAX = 32;

/** Schema of the objects `tables/routes` and `tables/pools`. */
export const storedTableSchema = z.strictObject({
  editId: z.string().min(1).describe("Id of the edit that wrote the table"),
  recentEditIds: z.array(z.string().min(1)).max(RECENT_EDIT_IDS_MAX)
    .describe("Ids of the latest edits, newest first, including this one"),
  text: z.string().describe("The table as JSON with comments"),
});
/** A table as the platform stores it. */
export type StoredTable = z.infer<typeof storedTableSchema>;

/** Schema of the versions of both tables. */
export const tableVersionsSchema = z.strictObject({
  routes: objectVersionSchema,
  pools: objectVersionSchema,
});
/** Versions of both tables. */
export type TableVersions = z.infer<typeof tableVersionsSchema>;

/**
 * Schema of a head, which identifies a configuration: generation and digest.
 */
export const configHeadSchema = z.strictObject({
  generation: generationSchema,
  digest: digestSchema,
});
/** Generation of a configuration and its digest. */
export type ConfigHead = z.infer<typeof configHeadSchema>;

/** Schema of one step from a generation to a later one. */
export const configStepSchema = z.strictObject({
  base: configHeadSchema,
  next: configHeadSchema,
  acceptedEpochMs: z.number().min(0),
  delta: tablesDeltaSchema,
});
/** One step from a generation to a later one. */
export type ConfigStep = z.infer<typeof configStepSchema>;

/**
 * Schema of the location of a snapshot, whose chunks are the objects
 * `snapshots/SLOT-INDEX`.
 */
export const snapshotLocationSchema = z.strictObject({
  slot: z.int().min(0),
  chunksCount: z.int().min(1),
});
/** Location of a snapshot in the platform's object store. */
export type SnapshotLocation = z.infer<typeof snapshotLocationSchema>;

/** Schema of one chunk of a snapshot. */
export const snapshotChunkSchema = z.strictObject({
  head: configHeadSchema,
  entries: z.array(tableEntrySchema),
});

/** Schema of the object `config/accepted`. */
export const acceptedRecordSchema = z.strictObject({
  head: configHeadSchema,
  versions: tableVersionsSchema,
  snapshot: snapshotLocationSchema,
  acceptedBy: nameSchema,
  acceptedEpochMs: z.number().min(0),
  step: configStepSchema.optional()
    .describe("Step from the previous generation; absent when it is too large"),
});
/**
 * Record of the accepted configuration: its head and where its entries are
 * stored.
 */
export type AcceptedRecord = z.infer<typeof acceptedRecordSchema>;

/** Schema of one mistake in the tables, which are checked together. */
export const tableMistakeSchema = z.strictObject({
  table: z.enum(TABLE_NAMES),
  entry: z.string().describe("Path of the entry, for example `routes.enrol`"),
  field: z.string().describe("Field within the entry, empty for the entry"),
  reason: z.string(),
});
/** One mistake in the tables. */
export type TableMistake = z.infer<typeof tableMistakeSchema>;

/**
 * Schema of the object `config/status`: result of the acceptor's last check.
 */
export const acceptorStatusSchema = z.strictObject({
  versions: tableVersionsSchema,
  result: z.enum(["accepted", "invalid"]),
  generation: z.int().min(0).describe("Generation in force after the check"),
  mistakes: z.array(tableMistakeSchema),
});
/** Result of the acceptor's last check. */
export type AcceptorStatus = z.infer<typeof acceptorStatusSchema>;

/**
 * Schema of a request to compare heads; `head` is absent before the first
 * configuration.
 */
export const compareRequestSchema = z.strictObject({
  head: configHeadSchema.optional(),
});
/** Schema of the answer to {@link compareRequestSchema}. */
export const compareAnswerSchema = z.strictObject({
  head: configHeadSchema.optional(),
  steps: z.array(configStepSchema)
    .describe("Steps from the requester's generation, if they are still kept"),
});
/** Answer to a request to compare heads. */
export type CompareAnswer = z.infer<typeof compareAnswerSchema>;

/** Schema of the answer to a flooded step, with the head of the receiver. */
export const floodAnswerSchema = z.strictObject({
  head: configHeadSchema.optional(),
});

/** Schema of a request for one chunk of a full copy. */
export const chunkRequestSchema = z.strictObject({
  head: configHeadSchema,
  index: z.int().min(0),
});
/**
 * Schema of one chunk; it has no entries when the peer's head differs from the
 * requested one.
 */
export const chunkAnswerSchema = z.strictObject({
  head: configHeadSchema.optional(),
  chunksCount: z.int().min(0),
  entries: z.array(tableEntrySchema),
});

/** Schemas of the tables, by name. */
export const TABLE_SCHEMAS = {
  routes: routesTableSchema,
  pools: poolsTableSchema,
} as const;
