/** Announcements of the local upstream. */
import type { Announcement } from "../schemas/settings_schema.ts";

/** Operations of the data path and the membership that an attachment calls. */
export interface AttachmentHost {
  /** Starts to forward requests to this upstream. */
  connect(announcement: Announcement): void;
  /** Changes the number of slots of the connected upstream. */
  resize(slotsCount: number): void;
  /** Announces the upstream to the peers; undefined withdraws it. */
  publish(announcement: Announcement | undefined): void;
}

function isSameConnection(a: Announcement, b: Announcement): boolean {
  return a.pool === b.pool && a.host === b.host && a.port === b.port &&
    a.connectionsMaxCount === b.connectionsMaxCount;
}

/**
 * Keeps the current announcement and applies changes. A repeated announcement
 * has no effect, so that an upstream may announce itself periodically.
 */
export class UpstreamAttachment {
  readonly #host: AttachmentHost;
  #announcement: Announcement | undefined;
  #isWithdrawn = true;

  /**
   * @param host Data path and membership.
   */
  constructor(host: AttachmentHost) {
    this.#host = host;
  }

  /** Announcement in force; undefined when there is none. */
  get current(): Announcement | undefined {
    return this.#isWithdrawn ? undefined : this.#announcement;
  }

  /**
   * Accepts an announcement.
   *
   * @param announcement Validated announcement of the upstream.
   */
  announce(announcement: Announcement): void {
    const previous = this.#announcement;
    const wasWithdrawn = this.#isWithdrawn;
    this.#announcement = announcement;
    this.#isWithdrawn = false;
    if (previous === undefined || !isSameConnection(previous, announcement)) {
      this.#host.connect(announcement);
      this.#host.publish(announcement);
      return;
    }
    const isResized = previous.slotsCount !== announcement.slotsCount;
    if (isResized) {
      this.#host.resize(announcement.slotsCount);
    }
    if (isResized || wasWithdrawn) {
      this.#host.publish(announcement);
    }
  }

  /** Withdraws the upstream; its running requests continue. */
  withdraw(): void {
    if (this.#isWithdrawn) {
      return;
    }
    this.#isWithdrawn = true;
    this.#host.publish(undefined);
  }
}
