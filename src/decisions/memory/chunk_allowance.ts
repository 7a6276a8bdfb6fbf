/** Bound on the number of chunks of a body, each of which takes time to read. */

/** Chunks of any size that each body may have. */
const BURST_COUNT = 1_024;
/** Mean size from which on the number of chunks is not bounded. */
const MEAN_SIZE_MIN_BYTES = 16;
/** Chunks of any size that a body may have per ms of its duration. */
const PER_MS_COUNT = 1;

/** What has been received of the body of an answer or a request. */
export type ReceivedChunks = {
  /** Number of chunks. */
  readonly count: number;
  /** Bytes of all chunks. */
  readonly sizeBytes: number;
  /** Time since the request was sent or its head received, in ms. */
  readonly elapsedMs: number;
};

/**
 * Returns whether a body has more chunks than one that is not faulty. An
 * endless body in chunks of a few bytes takes the processor time of many
 * requests long before its size is conspicuous. Bodies with small chunks that
 * arrive one by one, as their sender produces them, are allowed.
 *
 * @param received Chunks so far.
 * @returns True when the body should be aborted, or read more slowly.
 */
export function hasTooManyChunks(
  { count, sizeBytes, elapsedMs }: ReceivedChunks,
): boolean {
  return count > BURST_COUNT + sizeBytes / MEAN_SIZE_MIN_BYTES +
      elapsedMs * PER_MS_COUNT;
}
