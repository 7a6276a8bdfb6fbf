/** The upstream beside the daemon, as it announced itself. */
import type { Announcement } from "../schemas/settings_schema.ts";

/** What an attachment needs of the data path and of membership. */
export interface AttachmentHost {
  /** Forwards requests to this upstream from now on. */
  connect(announcement: Announcement): void;
  /** Changes the number of slots of the connected upstream. */
  resize(slotsCount: number): void;
  /** Tells the peers which upstream this instance has; undefined for none. */
  publish(announcement: Announcement | undefined): void;
}

function isSameAddress(a: Announcement, b: Announcement): boolean {
  return a.pool === b.pool && a.host === b.host && a.port === b.port &&
    a.connectionsMaxCount === b.connectionsMaxCount;
}

/**
 * Keeps the present announcement. A repeated announcement changes nothing, so
 * that an upstream may announce itself periodically.
 */
export class UpstreamAttachment {
  readonly #host: AttachmentHost;
  #connected: Announcement | undefined;
  #withdrawn = true;

  /**
   * @param host Data path and membership.
   */
  constructor(host: AttachmentHost) {
    this.#host = host;
  }

  /** Announcement in force; undefined when there is none. */
  get current(): Announcement | undefined {
    return this.#withdrawn ? undefined : this.#connected;
  }

  /**
   * Accepts an announcement.
   *
   * @param announcement Checked announcement of the upstream.
   */
  announce(announcement: Announcement): void {
    const before = this.#connected;
    const wasWithdrawn = this.#withdrawn;
    this.#connected = announcement;
    this.#withdrawn = false;
    if (before === undefined || !isSameAddress(before, announcement)) {
      this.#host.connect(announcement);
      this.#host.publish(announcement);
      return;
    }
    const resized = before.slotsCount !== announcement.slotsCount;
    if (resized) {
      this.#host.resize(announcement.slotsCount);
    }
    if (resized || wasWithdrawn) {
      this.#host.publish(announcement);
    }
  }

  /** The upstream leaves. Requests that it runs continue. */
  withdraw(): void {
    if (this.#withdrawn) {
      return;
    }
    this.#withdrawn = true;
    this.#host.publish(undefined);
  }
}
