/** Least squares fit with the error of its slope. */
import { fitLine } from "../config/measure.ts";
import type { Fit } from "./slopes_schema.ts";

/**
 * Fits a line by least squares.
 *
 * @param points Pairs of x and y, with at least two different values of x.
 * @returns Intercept, slope and the standard error of the slope, which is
 * zero for two points.
 *
 * @example
 * fitWithError([[0, 1], [1, 3], [2, 5]]); // slope 2, slopeError 0
 */
export function fitWithError(
  points: readonly (readonly [number, number])[],
): Fit {
  const { slope, intercept } = fitLine(points);
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const sumOfSquares = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const residual = points.reduce(
    (sum, [x, y]) => sum + (y - intercept - slope * x) ** 2,
    0,
  );
  const degreesOfFreedom = Math.max(1, points.length - 2);
  const slopeError = Math.sqrt(residual / degreesOfFreedom / sumOfSquares);
  return { intercept, slope, slopeError };
}

/**
 * Evaluates a fit.
 *
 * @param fit Fitted line.
 * @param x Position on the x axis.
 * @returns Value of the line at that position.
 */
export function valueAt({ intercept, slope }: Fit, x: number): number {
  return intercept + slope * x;
}
