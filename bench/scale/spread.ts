/** Summaries of values over the daemons of a fleet. */

/** Mean and largest value. */
export type Spread = { readonly mean: number; readonly max: number };

/** Quantiles of delays. */
export type Delays = {
  readonly median: number;
  readonly p99: number;
  readonly worst: number;
};

/**
 * Summarises values.
 *
 * @param values Values, at least one.
 * @returns Mean and largest value.
 */
export function spreadOf(values: readonly number[]): Spread {
  const sum = values.reduce((total, value) => total + value, 0);
  return { mean: sum / values.length, max: Math.max(...values) };
}

/**
 * Summarises delays.
 *
 * @param values Delays, at least one.
 * @returns Quantiles.
 */
export function delaysOf(values: readonly number[]): Delays {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (ratio: number) =>
    sorted[Math.max(0, Math.ceil(sorted.length * ratio) - 1)] as number;
  return { median: at(0.5), p99: at(0.99), worst: at(1) };
}
