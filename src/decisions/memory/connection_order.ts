/** Order in which connections of callers are closed when descriptors are short. */
import { STALLED_MIN_MS } from "./eviction_order.ts";

/**
 * Open requests of a connection from which on it is read slowly, and may be closed
 * although they are forwarded.
 */
export const PIPELINED_MAX_COUNT = 16;

/** A connection of a caller. */
export type CallerConnection = {
  /** Requests on it that are forwarded and have no complete answer. */
  readonly forwardedCount: number;
  /** Bytes of the body that is received on it; undefined without one. */
  readonly receivingBytes: number | undefined;
  /** Monotonic time of its last use, in ms. */
  readonly usedAtMs: number;
};

/** Options of {@link chooseClosed}. */
export type ChooseClosedOptions = {
  /** Connections to close. */
  count: number;
  /** Monotonic time, in ms. */
  nowMs: number;
};

/** Rank of a connection; the lowest is closed first. */
function rankOf(
  { forwardedCount, receivingBytes, usedAtMs }: CallerConnection,
  nowMs: number,
): number {
  if (forwardedCount > 0) {
    return 3;
  }
  if (receivingBytes === undefined) {
    return 1;
  }
  return nowMs - usedAtMs >= STALLED_MIN_MS ? 0 : 2;
}

/** Whether a connection has forwarded requests, but not many in a row. */
function isKept({ forwardedCount }: CallerConnection): boolean {
  return forwardedCount > 0 && forwardedCount < PIPELINED_MAX_COUNT;
}

/**
 * Chooses the connections to close: those whose body makes no progress, then
 * idle ones, then those that receive a body, then those with many forwarded
 * requests in a row. Of two with a body the larger one goes first, of two idle
 * ones the one that has been idle for longer, and of two with many requests the
 * one with more.
 *
 * @param connections Connections, oldest first.
 * @param options How many to close, and the time.
 * @returns The connections to close, fewer than the count if the others have
 *   some forwarded requests.
 */
export function chooseClosed<C extends CallerConnection>(
  connections: Iterable<C>,
  { count, nowMs }: ChooseClosedOptions,
): C[] {
  return [...connections]
    .filter((connection) => !isKept(connection))
    .map((connection) => ({ connection, rank: rankOf(connection, nowMs) }))
    .sort((a, b) =>
      a.rank - b.rank ||
      b.connection.forwardedCount - a.connection.forwardedCount ||
      (b.connection.receivingBytes ?? 0) - (a.connection.receivingBytes ?? 0) ||
      a.connection.usedAtMs - b.connection.usedAtMs
    )
    .slice(0, count)
    .map(({ connection }) => connection);
}
