/** Ranges of HTTP statuses. */

/** Smallest status that reports a failure of the server. */
export const STATUS_SERVER_ERROR_MIN = 500;

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
