/** Ranges of HTTP statuses. */

/** Smallest status that reports a failure of the server. */
export const STATUS_SERVER_ERROR_MIN = 500;
