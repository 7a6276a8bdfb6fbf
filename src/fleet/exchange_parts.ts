/** Parts of the daemon that forwarded requests use. */
import type { RetryBudget } from "../decisions/retries/retry_budget.ts";
import type { ErrorKind } from "../errors/error_kinds.ts";
import type { FleetRoute } from "../schemas/fleet_schema.ts";
import type { ChannelTable } from "./channel_table.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { UsageCapGate } from "./usage_cap_gate.ts";

/** Parts of the daemon that all exchanges share. */
export type ExchangeParts = {
  channels: ChannelTable;
  budget: RetryBudget;
  decisions: DecisionLog;
  /** Pool of this daemon's instance. */
  callerPool: string;
  /** Name of the header with the caller's request id, in lower case. */
  requestIdHeader: string;
  /** Number of daemons that share the retry budget. */
  daemonsCount: () => number;
  /**
   * Number of runs that one request of a route causes: its own and those of its
   * downstream calls.
   */
  runsPerRequest: (routeName: string) => number;
  /** Whether a pool that requests of a route use admits only a part of them. */
  isShedding: (route: FleetRoute) => boolean;
  /** Whether the upstreams of a pool refuse more than retries make up for. */
  isRefusing: (pool: string) => boolean;
  /** Usage caps of the tenants. */
  usage: UsageCapGate;
  /**
   * Checks the key of a request again after it has waited. Returns the kind of
   * the refusal; undefined when the request may be forwarded.
   */
  recheckKey: (request: RoutedRequest) => ErrorKind | undefined;
  /** Called at the end of each request, for metrics. */
  onEnd: (request: RoutedRequest, outcome: string) => void;
};
