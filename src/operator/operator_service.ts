/** What the operator listener needs of the daemon. */
import type { Announcement } from "../schemas/settings_schema.ts";
import type { Status } from "../schemas/status_schema.ts";

/** Whether the daemon takes requests, and why not. */
export type Readiness =
  | { readonly ready: true }
  | { readonly ready: false; readonly reason: string };

/** The daemon as operators and the upstream beside it see it. */
export interface OperatorService {
  /** Tells whether the daemon takes requests. */
  readiness(): Readiness;
  /**
   * Describes the daemon.
   *
   * @param options Whether the members are listed.
   * @returns Status; without members when they are not asked for.
   */
  status(options: { listsMembers: boolean }): Status;
  /** Writes all metrics in Prometheus text format. */
  metricsText(): Promise<string>;
  /** Starts a drain without ending the process. */
  drain(): void;
  /** Takes work again; returns false when the process is ending. */
  undrain(): boolean;
  /** Accepts the announcement of the upstream beside the daemon. */
  announce(announcement: Announcement): void;
  /** The upstream beside the daemon leaves. */
  withdraw(): void;
}
