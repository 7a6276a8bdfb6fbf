/** Values of the gauges of a daemon. */
import type { LoadState } from "../decisions/admission/admission_policy.ts";
import type { GaugeValues } from "../telemetry/metrics.ts";
import type { ControlStatus } from "./daemon_operator_service.ts";

/** State that the gauge values are computed from. */
export type GaugeSources = {
  /**
   * Load of the last announced upstream, also after its withdrawal; undefined
   * before the first announcement.
   */
  readonly load: LoadState | undefined;
  /** Number of open HTTP exchanges on all listeners. */
  readonly openCount: number;
  /** Bytes that are held for callers, or that they have announced. */
  readonly callerHeldBytes: number;
  /** Number of open connections of callers, peers and the local upstream. */
  readonly callerConnectionsCount: number;
  /** Longest time for which input that is read now may have waited, in ms. */
  readonly inputDelayMs: number;
  readonly isServing: boolean;
  readonly status: ControlStatus;
};

/**
 * Computes the gauge values of a daemon.
 *
 * @param sources State of the data path, the drain and the control plane.
 * @returns Values by metric name.
 */
export function daemonGauges(sources: GaugeSources): GaugeValues {
  const { load, openCount, isServing, status } = sources;
  const { config, members, leases } = status;
  const countMembers = (state: string) =>
    members.filter((member) => member.state === state).length;
  return {
    goldcrest_in_flight: load?.inFlightCount ?? 0,
    goldcrest_limit: load?.limitCount ?? 0,
    goldcrest_queue_length: load?.queuedCount ?? 0,
    goldcrest_admission_level: load?.levelRank ?? 0,
    goldcrest_open_exchanges: openCount,
    goldcrest_caller_held_bytes: sources.callerHeldBytes,
    goldcrest_caller_connections: sources.callerConnectionsCount,
    goldcrest_input_delay_ms: Math.round(sources.inputDelayMs),
    goldcrest_config_generation: config.generation,
    goldcrest_config_confirmed_age_ms: config.confirmedAgeMs,
    goldcrest_members_alive: countMembers("alive"),
    goldcrest_members_suspect: countMembers("suspect"),
    goldcrest_leases_held: leases.filter((lease) => lease.heldBySelf).length,
    goldcrest_draining: isServing ? 0 : 1,
  };
}
