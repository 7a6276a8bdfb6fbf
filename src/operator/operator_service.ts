/** Interface through which the operator listener controls the daemon. */
import type { Announcement } from "../schemas/settings_schema.ts";
import type { Status } from "../schemas/status_schema.ts";

/** Whether the daemon accepts requests, and the reason if not. */
export type Readiness =
  | { readonly ready: true }
  | { readonly ready: false; readonly reason: string };

/** Operations for operators and for the local upstream. */
export interface OperatorService {
  /** Returns whether the daemon accepts requests. */
  readiness(): Readiness;
  /**
   * Returns the state of the daemon.
   *
   * @param options Whether the members are listed.
   * @returns Status; its list of members is empty if `listsMembers` is false.
   */
  status(options: { listsMembers: boolean }): Status;
  /** Returns all metrics in Prometheus text format. */
  metricsText(): Promise<string>;
  /** Starts a drain without ending the process. */
  drain(): void;
  /** Ends a drain; returns false without effect if the process is ending. */
  undrain(): boolean;
  /** Accepts the announcement of the local upstream. */
  announce(announcement: Announcement): void;
  /** Withdraws the local upstream. */
  withdraw(): void;
}
