/** Order in which callers are refused when memory is short. */

/** A caller whose request has not been forwarded. */
export type EvictableCaller = {
  /** Bytes that are held for it, or that it has announced. */
  readonly claimBytes: number;
  /** Monotonic time of its last bytes, in ms. */
  readonly progressAtMs: number;
};

/** Time without bytes after which a caller makes no progress, in ms. */
export const STALLED_MIN_MS = 1_000;

/** Options of {@link chooseEvicted}. */
export type ChooseEvictedOptions = {
  /** Bytes that must be released. */
  excessBytes: number;
  /** Monotonic time, in ms. */
  nowMs: number;
};

/**
 * Chooses the callers to refuse: those that make no progress before those that
 * do, and large before small. Among equals the latest one goes first, so that
 * those whose bodies are nearly complete are not refused for newcomers.
 *
 * @param callers Callers whose requests have not been forwarded, oldest first.
 * @param options Bytes to release and the time.
 * @returns The callers to refuse, whose claims reach the excess if all of them
 *   together do.
 */
export function chooseEvicted<C extends EvictableCaller>(
  callers: Iterable<C>,
  { excessBytes, nowMs }: ChooseEvictedOptions,
): C[] {
  const isStalled = ({ progressAtMs }: C) =>
    nowMs - progressAtMs >= STALLED_MIN_MS;
  const ordered = [...callers].reverse().sort((a, b) =>
    Number(isStalled(b)) - Number(isStalled(a)) || b.claimBytes - a.claimBytes
  );
  let releasedBytes = 0;
  let count = 0;
  while (count < ordered.length && releasedBytes < excessBytes) {
    releasedBytes += (ordered[count] as C).claimBytes;
    count++;
  }
  return ordered.slice(0, count);
}
