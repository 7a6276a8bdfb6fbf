/** Digests of the live members, updated with each change. */
import { hash32 } from "../core/hash.ts";
import type {
  DataCentreDigests,
  MemberVersion,
} from "../schemas/member_schema.ts";

/** Buckets per data centre; a synchronisation transfers whole buckets. */
export const BUCKETS_COUNT = 16;
const BUCKET_SEED = 101;
const RECORD_SEED = 102;

/** Fields of a member that its digest covers, and its data centre. */
export type DigestedMember = MemberVersion & {
  instanceId: string;
  dataCentre: string;
};

/**
 * Returns the bucket of a member within its data centre.
 *
 * @param instanceId Instance id.
 * @returns Integer in `[0, BUCKETS_COUNT)`.
 */
export function bucketOf(instanceId: string): number {
  return hash32(instanceId, BUCKET_SEED) % BUCKETS_COUNT;
}

/**
 * Returns the name of a bucket. The names of one data centre sort by number.
 *
 * @param dataCentre Data centre.
 * @param bucket Number of the bucket.
 * @returns Name for requests and answers.
 */
export function bucketName(dataCentre: string, bucket: number): string {
  return `${dataCentre}/${String(bucket).padStart(3, "0")}`;
}

/**
 * Exclusive-or digests of the live members. Members that are dead, gone or left
 * are not included, so that daemons may remove them at different times.
 */
export class MemberDigests {
  readonly #buckets = new Map<string, Uint32Array>();
  #total = 0;

  /** Digest over all members. */
  get total(): number {
    return this.#total;
  }

  /** Adds a member that is not included, or removes one that is. */
  toggle(member: DigestedMember): void {
    const { instanceId, dataCentre, state } = member;
    const version = `${member.incarnationEpochMs}|${member.sequence}|${state}`;
    const digest = hash32(`${instanceId}|${version}`, RECORD_SEED);
    const buckets = this.#bucketsOf(dataCentre);
    const index = bucketOf(instanceId);
    buckets[index] = (buckets[index] as number) ^ digest;
    this.#total = (this.#total ^ digest) >>> 0;
  }

  /** Lists the digests of all buckets, for a synchronisation request. */
  list(): DataCentreDigests[] {
    return [...this.#buckets].map(([dataCentre, buckets]) => ({
      dataCentre,
      buckets: [...buckets],
    }));
  }

  /**
   * Lists the buckets whose digests differ from those of another daemon.
   *
   * @param others Digests of the other daemon.
   * @returns Names of the buckets, by data centre and number.
   */
  listDifferences(others: readonly DataCentreDigests[]): string[] {
    const theirs = new Map(others.map((one) => [one.dataCentre, one.buckets]));
    const dataCentres = new Set([...this.#buckets.keys(), ...theirs.keys()]);
    const names: string[] = [];
    for (const dataCentre of [...dataCentres].sort()) {
      const own = this.#buckets.get(dataCentre);
      const their = theirs.get(dataCentre);
      for (let index = 0; index < BUCKETS_COUNT; index++) {
        if ((own?.[index] ?? 0) !== (their?.[index] ?? 0)) {
          names.push(bucketName(dataCentre, index));
        }
      }
    }
    return names;
  }

  #bucketsOf(dataCentre: string): Uint32Array {
    let buckets = this.#buckets.get(dataCentre);
    if (buckets === undefined) {
      buckets = new Uint32Array(BUCKETS_COUNT);
      this.#buckets.set(dataCentre, buckets);
    }
    return buckets;
  }
}
