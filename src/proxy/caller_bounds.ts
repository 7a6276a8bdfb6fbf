/** Bounds on what the listeners of a daemon hold. */
import { CallerConnections } from "../decisions/memory/caller_connections.ts";
import type { MachineLimits } from "../decisions/memory/machine_bounds.ts";
import type { CallerRefusals } from "../telemetry/caller_refusals.ts";
import type { Logger } from "../telemetry/logger.ts";
import { createCallerLimits } from "../reception/caller_limits.ts";

/**
 * Part of the connections of each listener. They are separate, so that a crowd
 * of callers does not close the connections of other daemons or of the local
 * upstream.
 */
const CONNECTION_RATIOS = { callers: 0.5, hop: 0.3, outbound: 0.2 } as const;

/** Listener that handles requests. */
export type ListenerName = keyof typeof CONNECTION_RATIOS;

/** Bounds of one daemon, which its listeners share. */
export class CallerBounds {
  /** Records callers that are refused or closed. */
  readonly refusals: CallerRefusals;
  /** Connections of each listener. */
  readonly connections: Readonly<Record<ListenerName, CallerConnections>>;

  /**
   * @param machine Limits of the machine.
   * @param log Logger for refusals.
   */
  constructor(machine: MachineLimits, log: Logger) {
    const limits = createCallerLimits(machine, log);
    this.refusals = limits.refusals;
    const createConnections = (listener: ListenerName): CallerConnections => {
      const maxCount = Math.max(
        1,
        Math.floor(limits.connectionsMaxCount * CONNECTION_RATIOS[listener]),
      );
      const connections: CallerConnections = new CallerConnections(
        maxCount,
        ({ isNew }) =>
          this.refusals.record(
            isNew ? "connection_refused" : "connection_closed",
            { listener, connectionsCount: connections.count },
          ),
      );
      return connections;
    };
    this.connections = {
      callers: createConnections("callers"),
      hop: createConnections("hop"),
      outbound: createConnections("outbound"),
    };
  }

  /** Number of open connections of all listeners. */
  get connectionsCount(): number {
    return Object.values(this.connections)
      .reduce((sum, { count }) => sum + count, 0);
  }
}
