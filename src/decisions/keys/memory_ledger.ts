/** Ledger of keyed requests in the memory of the owner's daemon. */
import type {
  IdempotencyLedger,
  LedgerEntry,
  LedgerState,
} from "./idempotency_ledger.ts";

/** Options of {@link MemoryLedger}. */
export type MemoryLedgerOptions = {
  /** Largest number of entries; further keys are not reserved. */
  entriesMaxCount: number;
  /**
   * Largest size of all recorded answers, in bytes. Beyond it the oldest
   * answers are dropped and their keys become `unknown`.
   */
  answersMaxBytes: number;
};

type StoredEntry = LedgerEntry & { state: LedgerState };
type EntryIdentity = Omit<LedgerEntry, "state">;

/** Entries are evicted in buckets of 1 s, by the creation time of the key. */
const BUCKET_MS = 1_000;

function entryName(tenant: string, key: string): string {
  return `${tenant} ${key}`;
}

function bucketOf(entry: EntryIdentity): number {
  return Math.floor(entry.createdEpochMs / BUCKET_MS);
}

function answerBytesOf(state: LedgerState): number {
  if (state.kind !== "complete") {
    return 0;
  }
  const { headers, body } = state.answer;
  return headers.reduce((sum, text) => sum + text.length, body.length);
}

/** Ledger with a bound on the number of entries and on recorded bytes. */
export class MemoryLedger implements IdempotencyLedger {
  readonly #options: MemoryLedgerOptions;
  readonly #entries = new Map<string, StoredEntry>();
  readonly #buckets = new Map<number, Set<string>>();
  /** Names of complete entries, in the order in which they were recorded. */
  readonly #recorded = new Set<string>();
  #answersBytes = 0;
  /** Buckets below this one hold only entries that are still running. */
  #firstBucket = 0;

  /**
   * @param options Bounds on entries and recorded bytes.
   */
  constructor(options: MemoryLedgerOptions) {
    this.#options = options;
  }

  /** @inheritdoc */
  get size(): number {
    return this.#entries.size;
  }

  /** @inheritdoc */
  find(tenant: string, key: string): LedgerEntry | undefined {
    return this.#entries.get(entryName(tenant, key));
  }

  /** @inheritdoc */
  reserve(entry: EntryIdentity): boolean {
    if (this.#entries.size >= this.#options.entriesMaxCount) {
      return false;
    }
    const name = entryName(entry.tenant, entry.key);
    this.#entries.set(name, { ...entry, state: { kind: "running" } });
    const bucket = this.#buckets.get(bucketOf(entry)) ?? new Set();
    this.#buckets.set(bucketOf(entry), bucket.add(name));
    return true;
  }

  /** @inheritdoc */
  settle(
    identity: EntryIdentity,
    state: Exclude<LedgerState, { kind: "running" }>,
  ): void {
    const name = entryName(identity.tenant, identity.key);
    const entry = this.#entries.get(name);
    if (entry?.state.kind !== "running") {
      return;
    }
    if (bucketOf(entry) < this.#firstBucket) {
      this.#remove(name, entry);
      return;
    }
    entry.state = state;
    if (state.kind === "complete") {
      this.#recorded.add(name);
      this.#answersBytes += answerBytesOf(state);
      this.#dropOldestAnswers();
    }
  }

  /** @inheritdoc */
  forget(identity: EntryIdentity): void {
    const name = entryName(identity.tenant, identity.key);
    const entry = this.#entries.get(name);
    if (entry?.state.kind === "running") {
      this.#remove(name, entry);
    }
  }

  /** @inheritdoc */
  evict(beforeEpochMs: number): void {
    const firstBucket = Math.floor(beforeEpochMs / BUCKET_MS);
    if (firstBucket <= this.#firstBucket) {
      return;
    }
    this.#firstBucket = firstBucket;
    for (const [bucket, names] of this.#buckets) {
      if (bucket < firstBucket) {
        this.#evictBucket(names);
      }
    }
  }

  #evictBucket(names: ReadonlySet<string>): void {
    for (const name of names) {
      const entry = this.#entries.get(name) as StoredEntry;
      if (entry.state.kind !== "running") {
        this.#remove(name, entry);
      }
    }
  }

  #remove(name: string, entry: StoredEntry): void {
    this.#entries.delete(name);
    if (this.#recorded.delete(name)) {
      this.#answersBytes -= answerBytesOf(entry.state);
    }
    const bucket = this.#buckets.get(bucketOf(entry));
    bucket?.delete(name);
    if (bucket?.size === 0) {
      this.#buckets.delete(bucketOf(entry));
    }
  }

  #dropOldestAnswers(): void {
    for (const name of this.#recorded) {
      if (this.#answersBytes <= this.#options.answersMaxBytes) {
        return;
      }
      const entry = this.#entries.get(name) as StoredEntry;
      this.#answersBytes -= answerBytesOf(entry.state);
      this.#recorded.delete(name);
      if (entry.state.kind === "complete") {
        const recordedStatus = entry.state.answer.status;
        entry.state = { kind: "unknown", recordedStatus };
      }
    }
  }
}
