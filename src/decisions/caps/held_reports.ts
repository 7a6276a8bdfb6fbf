/** Reports of one daemon to the owners on its held requests. */
import type { CapHeld } from "./cap_messages.ts";
import type { LeaseBook } from "./lease_book.ts";
import type { CandidateView } from "./owner_pointer.ts";
import type { TenantTokens } from "./tenant_tokens.ts";

/** Interval of the reports on held requests to an owner. */
const HELD_INTERVAL_MS = 200;
/** Time for which a report holds, so that two may be lost or late. */
const HELD_AHEAD_MS = 800;

/** Options of {@link HeldReports}. */
export type HeldReportsOptions = {
  /** Connections of the daemon to the candidates. */
  view: CandidateView;
  /** Random number of this process. */
  processId: number;
  /** Sends a report to an owner, which may be this daemon. */
  sendHeld: (ownerName: string, held: CapHeld) => void;
};

/** Reports the requests that {@link HeldCharges} counts. */
export class HeldReports {
  readonly #options: HeldReportsOptions;

  /**
   * @param options Connections, number of the process and transport.
   */
  constructor(options: HeldReportsOptions) {
    this.#options = options;
  }

  /**
   * Sends a report when the interval has passed, the owner is connected and
   * there are held requests now or were in the last report.
   *
   * @param ownerName Name of the owner.
   * @param book What the owner has been told.
   * @param tenants All tenants of the daemon with a cap.
   * @param nowMs Monotonic time, in ms.
   */
  reportOnceDue(
    ownerName: string,
    book: LeaseBook,
    tenants: Iterable<TenantTokens>,
    nowMs: number,
  ): void {
    const { view, processId, sendHeld } = this.#options;
    if (
      nowMs - book.heldSentAtMs < HELD_INTERVAL_MS ||
      !view.isConnected(ownerName)
    ) {
      return;
    }
    const reported: { tenantName: string; heldCount: number }[] = [];
    for (const { tenantName, pointer, held } of tenants) {
      const heldCount = pointer.owner === ownerName
        ? held.maxCount(nowMs, HELD_AHEAD_MS)
        : 0;
      if (heldCount > 0) {
        reported.push({ tenantName, heldCount });
      }
    }
    if (reported.length > 0 || book.hasHeld) {
      book.hasHeld = reported.length > 0;
      book.heldSentAtMs = nowMs;
      const sequence = ++book.heldSequence;
      sendHeld(ownerName, { processId, sequence, tenants: reported });
    }
  }
}
