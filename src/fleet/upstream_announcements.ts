/** Handles the announcements of the local upstream. */
import { setTimeout as delay } from "node:timers/promises";
import { errorFields, type Logger } from "../telemetry/logger.ts";
import type { FleetSettings } from "../schemas/fleet_schema.ts";
import type { FleetPlatform, HeartbeatAnnouncement } from "./fleet_platform.ts";
import type { LocalUpstream } from "./local_upstream.ts";
import type { MemberDirectory } from "./member_directory.ts";
import type { ControlAnswer, ControlRequest } from "./control_listener.ts";
import type { UpstreamHttpClient } from "./upstream_http_client.ts";

/**
 * Maximum time for which the store delays the acknowledgement of an
 * announcement.
 */
const ACKNOWLEDGE_WAIT_MS = 400;

/** Answer to an announcement that is not applied. */
const INVALID_ANSWER: ControlAnswer = { status: 400, body: "{}" };

/** Options of {@link UpstreamAnnouncements}. */
export type UpstreamAnnouncementsOptions = {
  decode: FleetPlatform["decodeAnnouncement"];
  settings: Pick<FleetSettings, "pool" | "upstream">;
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
   * @returns Acknowledgement, or status 400 for an invalid request and for a
   *   heartbeat of another upstream.
   */
  async handle(request: ControlRequest): Promise<ControlAnswer> {
    const { decode, upstream, log } = this.#options;
    const announcement = decode(request);
    if (announcement === undefined) {
      log.warn("Announcement is not readable", { url: request.url });
      return INVALID_ANSWER;
    }
    if (announcement.kind === "leave") {
      upstream.markLeaving(announcement.upstreamId);
    } else {
      if (!this.#isOfLocalUpstream(announcement)) {
        const { report, address } = announcement;
        log.warn("Heartbeat of another upstream refused", {
          upstreamId: report.upstreamId,
          pool: report.pool,
          address: `${address.host}:${address.port}`,
        });
        return INVALID_ANSWER;
      }
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

  /**
   * Returns whether a heartbeat is of the upstream beside this daemon. One of
   * another writer would replace its state, and a later start would make all
   * heartbeats of the local upstream outdated.
   */
  #isOfLocalUpstream({ address, report }: HeartbeatAnnouncement): boolean {
    const { pool, upstream } = this.#options.settings;
    return report.pool === pool && address.host === upstream.host &&
      address.port === upstream.port;
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
