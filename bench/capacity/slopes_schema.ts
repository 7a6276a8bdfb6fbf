/** Schema of docs/capacity/slopes.json, the measured values. */
import { z } from "zod";

const amountSchema = z.number().min(0);

const runSchema = z.strictObject({
  command: z.string(),
  date: z.iso.date(),
  loadAverage: amountSchema.describe("Of the machine, over one minute"),
  processorsCount: z.int().min(1),
  commit: z.string().describe("Commit that was measured"),
});

/** Schema of a line that was fitted by least squares. */
export const fitSchema = z.strictObject({
  intercept: z.number(),
  slope: z.number(),
  slopeError: amountSchema.describe("Standard error of the slope"),
});
/** A line that was fitted by least squares. */
export type Fit = z.infer<typeof fitSchema>;

const spreadSchema = z.strictObject({ mean: amountSchema, max: amountSchema });
const delaysSchema = z.strictObject({
  median: amountSchema,
  p99: amountSchema,
  worst: amountSchema,
});

const scaleStepSchema = z.strictObject({
  daemonsCount: z.int(),
  coreRatio: spreadSchema,
  offCoreRatio: amountSchema,
  receivedBytesPerS: spreadSchema,
  sentBytesPerS: spreadSchema,
  bytesPerS: spreadSchema,
  residentBytes: spreadSchema,
  usedBytes: spreadSchema,
  offUsedBytes: amountSchema,
  platformReadsPerS: amountSchema,
  platformWritesPerS: amountSchema,
  waitingWatchesCount: z.int().min(0),
  loadAverage: amountSchema,
  configMs: delaysSchema,
  drainMs: delaysSchema,
  killMs: delaysSchema,
});
/** One measured fleet of processes. */
export type MeasuredStep = z.infer<typeof scaleStepSchema>;

const recordsSchema = z.strictObject({
  membersCount: z.int(),
  recordsBytes: amountSchema,
  updateMs: amountSchema,
  storedMemberBytes: amountSchema,
  statusMemberBytes: amountSchema,
});

const eventSchema = z.strictObject({
  pushesCount: amountSchema,
  bytes: amountSchema,
  lastMs: amountSchema,
});

const fleetSchema = z.strictObject({
  membersCount: z.int(),
  idleExchangesPerS: amountSchema,
  idleBytesPerS: amountSchema,
  idleDecisionsMsPerS: amountSchema,
  codecMs: amountSchema,
  placement: eventSchema,
  leave: eventSchema,
  start: eventSchema,
  kill: eventSchema,
});

const configSizeSchema = z.strictObject({
  routesCount: z.int(),
  routesTableBytes: amountSchema,
  poolsTableBytes: amountSchema,
  acceptCpuMs: amountSchema,
  stepBytes: amountSchema,
  stepSendCpuMs: amountSchema,
  stepReceiveCpuMs: amountSchema,
  stepApplyCpuMs: amountSchema,
  daemonChangeBytes: amountSchema,
  daemonChangeCpuMs: amountSchema,
  copyBytes: amountSchema,
  copyChunksCount: amountSchema,
  copyServeCpuMs: amountSchema,
  copyReceiveCpuMs: amountSchema,
  copyHeapBytes: amountSchema,
});

const hopRateSchema = z.strictObject({
  ratePerS: amountSchema,
  addedP99Ms: z.number(),
  bareAddedP99Ms: z.number(),
  processorRatio: amountSchema,
});

/** Schema of the slopes file. */
export const slopesSchema = z.strictObject({
  scale: z.strictObject({
    run: runSchema,
    steps: z.array(scaleStepSchema).min(2),
    perDaemon: z.strictObject({
      coreRatio: fitSchema,
      bytesPerS: fitSchema,
      addedBytes: fitSchema,
      residentBytes: fitSchema,
      configWorstMs: fitSchema,
      platformReadsPerS: fitSchema,
      platformWritesPerS: fitSchema,
    }),
  }),
  membership: z.strictObject({
    run: runSchema,
    records: z.array(recordsSchema).min(2),
    fleets: z.array(fleetSchema).min(1),
    recordBytes: fitSchema.describe("Memory per record"),
  }),
  config: z.strictObject({
    run: runSchema,
    sizes: z.array(configSizeSchema).min(2),
    compareBytes: amountSchema,
    perRoute: z.strictObject({
      routesTableBytes: fitSchema,
      poolsTableBytes: fitSchema,
      acceptCpuMs: fitSchema,
      stepApplyCpuMs: fitSchema,
      copyBytes: fitSchema,
      copyHeapBytes: fitSchema,
      copyReceiveCpuMs: fitSchema,
    }),
  }),
  hop: z.strictObject({
    run: runSchema,
    rates: z.array(hopRateSchema).min(1),
  }).optional(),
});
/** Measured values with their fits. */
export type Slopes = z.infer<typeof slopesSchema>;
