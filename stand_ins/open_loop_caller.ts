/** Open-loop caller stand-in: its rate of calls does not depend on answers. */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import { v7 as createKey } from "uuid";
import { z } from "zod";
import { SeededRandom } from "../src/core/random.ts";
import { countSchema, nameSchema } from "../src/schemas/common_schema.ts";
import type { CallRecord } from "./call_record.ts";
import { type Call, sendCall } from "./send_call.ts";

const callKindSchema = z.strictObject({
  name: nameSchema.describe("Prefix of the tokens"),
  method: z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"]),
  path: z.string().startsWith("/"),
  weight: z.number().min(0).default(1).describe("Share among all kinds"),
  tenant: nameSchema.optional(),
  tenantToken: z.string().optional(),
  keyed: z.boolean().default(false).describe("Sends an idempotency key"),
  keyDataCentre: nameSchema.optional().describe(
    "Home data centre in the key's prefix",
  ),
  answerBytesCount: z.int().min(0).default(64),
  query: z.record(z.string(), z.string()).default({}),
  bodyBytesCount: z.int().min(0).default(0),
});

/** Schema of the settings of the caller stand-in. */
export const callerSettingsSchema = z.strictObject({
  urls: z.array(z.url()).min(1).describe("Listeners for callers, in turn"),
  ratePerS: z.number().positive(),
  durationMs: countSchema,
  seed: z.int().default(1),
  attemptsMaxCount: countSchema.default(1)
    .describe("Attempts of the caller for one request"),
  retryPauseMs: z.number().min(0).default(100),
  kinds: z.array(callKindSchema).min(1),
});
/** Settings of the caller stand-in. */
export type CallerSettings = z.infer<typeof callerSettingsSchema>;
type CallKind = z.infer<typeof callKindSchema>;

const MS_PER_S = 1_000;

/** Starts calls at a fixed rate and records each attempt with its answer. */
export class OpenLoopCaller {
  readonly #settings: CallerSettings;
  readonly #random: SeededRandom;
  readonly #agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
  readonly #records: CallRecord[] = [];
  #startedCount = 0;

  /**
   * @param settings Checked settings.
   */
  constructor(settings: CallerSettings) {
    this.#settings = settings;
    this.#random = new SeededRandom(settings.seed);
  }

  /**
   * Runs for the set duration and waits for all answers.
   *
   * @returns Records of all attempts, in order of their end.
   */
  async run(): Promise<CallRecord[]> {
    const { ratePerS, durationMs } = this.#settings;
    const totalCount = Math.round((ratePerS * durationMs) / MS_PER_S);
    const startMs = performance.now();
    const pending: Promise<void>[] = [];
    while (this.#startedCount < totalCount) {
      const elapsedMs = performance.now() - startMs;
      const dueCount = Math.min(
        totalCount,
        Math.floor((elapsedMs * ratePerS) / MS_PER_S) + 1,
      );
      while (this.#startedCount < dueCount) {
        pending.push(this.#sendWithRetries(this.#startedCount++));
      }
      await sleep(1);
    }
    await Promise.all(pending);
    await this.#agent.close();
    return this.#records;
  }

  async #sendWithRetries(sequence: number): Promise<void> {
    const { attemptsMaxCount, retryPauseMs, urls } = this.#settings;
    const call = this.#createCall(this.#chooseKind(), sequence);
    for (let attempt = 0; attempt < attemptsMaxCount; attempt++) {
      const url = urls[(sequence + attempt) % urls.length] as string;
      const record = await sendCall({ ...call, url }, {
        dispatcher: this.#agent,
      });
      this.#records.push(record);
      const mayRetry = record.outcome === "not-run" || record.key !== "";
      if (record.outcome === "complete" || !mayRetry) {
        return;
      }
      await sleep(retryPauseMs);
    }
  }

  #chooseKind(): CallKind {
    const { kinds } = this.#settings;
    const total = kinds.reduce((sum, kind) => sum + kind.weight, 0);
    let rest = this.#random.nextFloat() * total;
    return kinds.find((kind) => (rest -= kind.weight) < 0) ??
      kinds[0] as CallKind;
  }

  #createCall(kind: CallKind, sequence: number): Omit<Call, "url"> {
    const prefix = kind.keyDataCentre === undefined
      ? ""
      : `${kind.keyDataCentre}.`;
    return {
      method: kind.method,
      path: kind.path,
      token: `${kind.name}-${this.#settings.seed}-${sequence}`,
      tenant: kind.tenant,
      tenantToken: kind.tenantToken,
      key: kind.keyed ? `${prefix}${createKey()}` : undefined,
      answerBytesCount: kind.answerBytesCount,
      query: kind.query,
      body: kind.bodyBytesCount === 0
        ? undefined
        : Buffer.alloc(kind.bodyBytesCount, "x"),
    };
  }
}
