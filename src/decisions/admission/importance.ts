/** Ranks of requests, by which all hops shed in the same order. */
import {
  IMPORTANCE_CLASSES,
  type ImportanceClass,
} from "../../schemas/common_schema.ts";
import { hash32 } from "../../core/hash.ts";

/** Number of admission keys per class. */
export const ADMISSION_KEYS_COUNT = 128;

/** Number by which each hop after the first lowers the rank of a request. */
const RANKS_PER_HOP_COUNT = 16;

/** Number of ranks; a level of this value admits every request. */
export const RANKS_COUNT = IMPORTANCE_CLASSES.length * ADMISSION_KEYS_COUNT;

/** Number of importance classes. */
export const CLASSES_COUNT = IMPORTANCE_CLASSES.length;

/**
 * Derives the admission key, which is the same along the call chain and across
 * retries, so that all hops shed the same requests.
 *
 * @param identity Idempotency key, else the root request id.
 * @returns Integer in `[0, 128)`.
 */
export function admissionKey(identity: string): number {
  return hash32(identity) % ADMISSION_KEYS_COUNT;
}

/**
 * Computes the rank of a request; a lower rank is more important.
 *
 * @param importanceClass Class of the route with the branch rule applied.
 * @param key Admission key in `[0, 128)`.
 * @returns Integer in `[0, 512)`.
 *
 * @example
 * admissionRank("critical", 5); // 5
 */
export function admissionRank(
  importanceClass: ImportanceClass,
  key: number,
): number {
  return IMPORTANCE_CLASSES.indexOf(importanceClass) * ADMISSION_KEYS_COUNT +
    key;
}

/**
 * Returns the importance class of a rank.
 *
 * @param rank Rank in `[0, 512)`.
 * @returns Importance class.
 */
export function rankClass(rank: number): ImportanceClass {
  const index = Math.floor(rank / ADMISSION_KEYS_COUNT);
  return IMPORTANCE_CLASSES[index] ?? "background";
}

/**
 * Lowers a rank by the depth of the request, so that requests on which earlier
 * hops have spent work are preferred within their class.
 *
 * @param rank Rank in `[0, 512)`.
 * @param depthCount Depth in the call graph, in hops; 1 at the entry.
 * @returns Rank lowered by 16 per hop after the first, not below the first rank
 * of its class.
 *
 * @example
 * effectiveRank(300, 2); // 284
 */
export function effectiveRank(rank: number, depthCount: number): number {
  const firstOfClass = rank - rank % ADMISSION_KEYS_COUNT;
  const passedCount = Math.max(0, depthCount - 1);
  return Math.max(firstOfClass, rank - RANKS_PER_HOP_COUNT * passedCount);
}
