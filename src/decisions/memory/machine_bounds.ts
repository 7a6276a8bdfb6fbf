/** Bounds of a process, derived from the limits of its machine. */

/** Memory of the smallest machine of the deployments, if a machine states none. */
const DEFAULT_MEMORY_BYTES = 250_000_000;
/** Descriptors of the smallest machine of the deployments. */
const DEFAULT_DESCRIPTORS_COUNT = 4_100;
/** Memory of a process that holds nothing for callers. */
const OWN_MEMORY_BYTES = 100_000_000;
/**
 * Part of the other memory for what callers cause to be held. Bodies are copied
 * from what the parser has read, which is not collected at once, and as much is
 * for the first reads of callers that are refused and for those whose bytes were
 * released. With 0.35, a crowd of unfinished bodies took a process over 200 MB.
 */
const HELD_RATIO = 0.25;
/**
 * Part of the heap for what callers cause to be held. Heads are on the heap, and
 * the rest is for the process itself and for what has not been collected.
 */
const HEAP_HELD_RATIO = 0.4;
/** Least bytes that are held for callers, on a machine of any size. */
const HELD_MIN_BYTES = 8_388_608;
/** Part of the descriptors for connections of callers. */
const CALLERS_RATIO = 0.6;
/**
 * Part of the descriptors for connections to the local upstream. The rest is
 * for links, listeners and files.
 */
const UPSTREAM_RATIO = 0.2;
/** Bound on those; the open requests are already limited by the slots. */
const UPSTREAM_MAX_COUNT = 2_000;

/** Limits of the machine; undefined for those that are not stated. */
export type MachineLimits = {
  /** Memory that the process may use. */
  readonly memoryMaxBytes?: number | undefined;
  /** Size that the heap may have. */
  readonly heapMaxBytes?: number | undefined;
  /** File descriptors that the process may open. */
  readonly descriptorsMaxCount?: number | undefined;
};

/** Bounds of what a process holds. */
export type MachineBounds = {
  /** Bytes that are held for callers. */
  readonly heldMaxBytes: number;
  /** Connections of callers. */
  readonly callersMaxCount: number;
  /** Connections to the local upstream. */
  readonly upstreamMaxCount: number;
};

/**
 * Derives the bounds of a process.
 *
 * @param limits Limits of the machine; the smallest machine of the deployments
 *   is assumed for those that are not stated.
 * @returns Bounds, each at least 1.
 */
export function deriveMachineBounds(
  {
    memoryMaxBytes = DEFAULT_MEMORY_BYTES,
    heapMaxBytes = Infinity,
    descriptorsMaxCount = DEFAULT_DESCRIPTORS_COUNT,
  }: MachineLimits,
): MachineBounds {
  const portion = (ratio: number) =>
    Math.max(1, Math.floor(descriptorsMaxCount * ratio));
  return {
    heldMaxBytes: Math.max(
      HELD_MIN_BYTES,
      Math.floor(Math.min(
        (memoryMaxBytes - OWN_MEMORY_BYTES) * HELD_RATIO,
        heapMaxBytes * HEAP_HELD_RATIO,
      )),
    ),
    callersMaxCount: portion(CALLERS_RATIO),
    upstreamMaxCount: Math.min(UPSTREAM_MAX_COUNT, portion(UPSTREAM_RATIO)),
  };
}
