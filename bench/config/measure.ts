/** Processor time and memory of a repeated action. */
import process from "node:process";

const US_PER_MS = 1_000;
const WARM_UP_RATIO = 0.2;
const HEAP_VALUES_COUNT = 5;

/**
 * Measures the processor time of an action, user and system together.
 *
 * @param repeatsCount Number of measured repetitions.
 * @param action Receives the number of the repetition.
 * @returns Processor time of one repetition, in ms.
 */
export function measureCpuMs(
  repeatsCount: number,
  action: (repetition: number) => void,
): number {
  const warmUpsCount = Math.ceil(repeatsCount * WARM_UP_RATIO);
  for (let index = 0; index < warmUpsCount; index++) {
    action(index);
  }
  const start = process.cpuUsage();
  for (let index = 0; index < repeatsCount; index++) {
    action(warmUpsCount + index);
  }
  const { user, system } = process.cpuUsage(start);
  return (user + system) / US_PER_MS / repeatsCount;
}

/**
 * Measures the heap that a value retains, as the mean of several values,
 * because the heap of the engine itself varies by some 100 KB.
 *
 * @param make Makes the value.
 * @returns Retained heap in bytes; NaN without `--expose-gc`.
 */
export function measureHeapBytes(make: () => unknown): number {
  const { gc } = globalThis as { gc?: () => void };
  if (gc === undefined) {
    return NaN;
  }
  const values: unknown[] = [];
  gc();
  const beforeBytes = process.memoryUsage().heapUsed;
  for (let index = 0; index < HEAP_VALUES_COUNT; index++) {
    values.push(make());
  }
  gc();
  const retainedBytes = process.memoryUsage().heapUsed - beforeBytes;
  return retainedBytes / values.length;
}

/**
 * Fits a line by least squares.
 *
 * @param points Pairs of x and y.
 * @returns Slope and intercept.
 */
export function fitLine(
  points: readonly (readonly [number, number])[],
): { slope: number; intercept: number } {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce(
    (sum, [x, y]) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}
