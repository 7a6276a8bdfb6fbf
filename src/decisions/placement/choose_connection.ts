/** Choice among the idle connections to an upstream. */

/**
 * Idle time after which a connection is not used for a request that may run once
 * only. If the upstream has dropped the connection meanwhile, the request fails
 * and cannot be sent again.
 */
export const FRESH_MAX_MS = 200;
/**
 * Idle time up to which such requests take the connections in turns, so that all
 * of them stay fresh. The rest of the fresh time is a margin for delays of this
 * process before the request is written.
 */
export const ROTATED_MAX_MS = 100;

/** Whether a request may be sent again after a failure, or may run once only. */
export type ConnectionUse = "repeatable" | "once";

/** Idle connection. */
export type IdleConnection = {
  /** Monotonic time of the last complete answer, in ms. */
  readonly answeredAtMs: number;
};

/**
 * Chooses the connection for a request: the oldest one that is fresh enough,
 * which keeps it fresh, and otherwise the newest one. A request that may run once
 * only gets none that the upstream may have forgotten.
 *
 * @param idle Connections, with the newest answer last.
 * @param use Whether the request may run once only.
 * @param nowMs Monotonic time, in ms.
 * @returns Index of the connection; -1 when a new one is needed.
 */
export function chooseConnection(
  idle: readonly IdleConnection[],
  use: ConnectionUse,
  nowMs: number,
): number {
  const newestIndex = idle.length - 1;
  const maxMs = use === "once" ? ROTATED_MAX_MS : FRESH_MAX_MS;
  const oldestIndex = idle.findIndex((connection) =>
    isYounger(connection, maxMs, nowMs)
  );
  if (oldestIndex >= 0) {
    return oldestIndex;
  }
  return use === "repeatable" ||
      isYounger(idle[newestIndex], FRESH_MAX_MS, nowMs)
    ? newestIndex
    : -1;
}

/**
 * Inserts a connection, so that the newest answer stays last.
 *
 * @param idle Connections, with the newest answer last; changed.
 * @param connection Connection that has become idle.
 */
export function insertIdle<C extends IdleConnection>(
  idle: C[],
  connection: C,
): void {
  let index = idle.length;
  while (
    index > 0 &&
    (idle[index - 1] as C).answeredAtMs > connection.answeredAtMs
  ) {
    index--;
  }
  idle.splice(index, 0, connection);
}

function isYounger(
  connection: IdleConnection | undefined,
  maxMs: number,
  nowMs: number,
): boolean {
  return connection !== undefined &&
    nowMs - connection.answeredAtMs < maxMs;
}
