/** Handles the announcements of the local upstream. */
import { setTimeout as delay } from "node:timers/promises";
import { errorFields, type Logger } from "../telemetry/logger.ts";
import type { FleetPlatform } from "./fleet_platform.ts";
import type { LocalUpstream } from "./local_upstream.ts";
import type { MemberDirectory } from "./member_directory.ts";
import type { ControlAnswer, ControlRequest } from "./control_listener.ts";
import type { UpstreamHttpClient } from "./upstream_http_client.ts";

/**
 * Maximum time for which the store delays the acknowledgement of an
 * announcement.
 */
const ACKNOWLEDGE_WAIT_MS = 400;

/** Options of {@link UpstreamAnnouncements}. */
export type UpstreamAnnouncementsOptions = {
  decode: FleetPlatform["decodeAnnouncement"];
  upstream: LocalUpstream;
  client: UpstreamHttpClient;
  directory: MemberDirectory;
  log: Logger;
};

/**
 * Applies announcements. The departure of an upstream is written to the store
 * before the announcement is acknowledged, if the store answers in time.
 */
export class UpstreamAnnouncements {
  readonly #options: UpstreamAnnouncementsOptions;

  /**
   * @param options Decoder, upstream with its client, directory and logger.
   */
  constructor(options: UpstreamAnnouncementsOptions) {
    this.#options = options;
  }

  /**
   * Handles one announcement.
   *
   * @param request Control request of the upstream.
   * @returns Acknowledgement, or status 400 for an invalid request.
   */
  async handle(request: ControlRequest): Promise<ControlAnswer> {
    const { decode, upstream, log } = this.#options;
    const announcement = decode(request);
    if (announcement === undefined) {
      log.warn("Announcement is not readable", { url: request.url });
      return { status: 400, body: "{}" };
    }
    if (announcement.kind === "leave") {
      upstream.markLeaving(announcement.upstreamId);
    } else {
      // A late heartbeat of an upstream that has left must not be accepted
      // before this process knows of the departure.
      await this.#options.directory.ownRecordKnown;
      upstream.handleHeartbeat(announcement.report);
    }
    await this.#storeDeparture();
    return { status: 200, body: "{}" };
  }

  /**
   * Records that an upstream has said in an answer that it leaves. The departure
   * is stored as that of an announcement.
   *
   * @param upstreamId Upstream that leaves.
   */
  markLeaving(upstreamId: string): void {
    const { upstream } = this.#options;
    if (upstream.isLeaving) {
      return;
    }
    upstream.markLeaving(upstreamId);
    this.#storeDeparture().catch((error) =>
      this.#options.log.warn("Departure was not stored", errorFields(error))
    );
  }

  /**
   * Checks the upstream's health. A healthy upstream without a heartbeat so far
   * is treated as ready, so that a restarted daemon need not wait for the next
   * heartbeat.
   *
   * @param pool Pool of the upstream.
   * @param healthPath Path of the pool's health check.
   */
  async checkHealth(pool: string, healthPath: string): Promise<void> {
    const { client, upstream } = this.#options;
    await this.#options.directory.ownRecordKnown;
    const health = await client.checkHealth(healthPath);
    if (health !== undefined && upstream.report === undefined) {
      upstream.handleHeartbeat({
        ...health,
        pool,
        state: "ready",
        sequence: 0,
        startedEpochMs: 0,
        coldRemainingMs: 0,
      });
    }
  }

  async #storeDeparture(): Promise<void> {
    const { upstream, directory } = this.#options;
    const { departure } = upstream;
    if (departure === undefined) {
      return;
    }
    await Promise.race([
      directory.storeDeparture(departure),
      delay(ACKNOWLEDGE_WAIT_MS, undefined, { ref: false }),
    ]);
  }
}
