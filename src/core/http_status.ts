/** Ranges of HTTP statuses. */

/** Smallest status that reports a failure of the server. */
export const STATUS_SERVER_ERROR_MIN = 500;

/** Smallest and largest status of HTTP. */
const STATUS_MIN = 100;
const STATUS_MAX = 599;

/** 204 (No Content) and 304 (Not Modified). */
const BODYLESS_STATUSES: readonly number[] = [204, 304];

/**
 * Returns whether a final answer has no body by its status.
 *
 * @param status Status of the answer.
 * @returns True when the answer ends with its head.
 */
export function isBodylessStatus(status: number): boolean {
  return BODYLESS_STATUSES.includes(status);
}

/**
 * Returns whether a number is a status of HTTP. Parsers accept other numbers of
 * three digits, which mean nothing to a caller.
 *
 * @param status Status of an answer.
 * @returns True from 100 to 599.
 */
export function isValidStatus(status: number): boolean {
  return status >= STATUS_MIN && status <= STATUS_MAX;
}
