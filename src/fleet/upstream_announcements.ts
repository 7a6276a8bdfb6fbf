/** Handles the announcements of the upstream beside the daemon. */
import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "../telemetry/logger.ts";
import type { FleetPlatform } from "./fleet_platform.ts";
import type { LocalUpstream } from "./local_upstream.ts";
import type { MemberDirectory } from "./member_directory.ts";
import type { ControlAnswer, ControlCall } from "./control_listener.ts";
import type { UpstreamHttp } from "./upstream_http.ts";

/** Maximum wait for the store until an upstream's leaving is acknowledged. */
const ACKNOWLEDGE_WAIT_MS = 400;

/** Options of {@link UpstreamAnnouncements}. */
export type UpstreamAnnouncementsOptions = {
  decode: FleetPlatform["decodeAnnouncement"];
  upstream: LocalUpstream;
  http: UpstreamHttp;
  directory: MemberDirectory;
  log: Logger;
};

/** Applies announcements, and stores a leaving before it is acknowledged. */
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
   * @param call Control call of the upstream.
   * @returns Acknowledgement, or status 400 for a call that is not valid.
   */
  async handle(call: ControlCall): Promise<ControlAnswer> {
    const { decode, upstream, log } = this.#options;
    const announcement = decode(call);
    if (announcement === undefined) {
      log.warn("Announcement is not readable", { url: call.url });
      return { status: 400, body: "{}" };
    }
    if (announcement.kind === "heartbeat") {
      upstream.handleHeartbeat(announcement.report);
    } else {
      upstream.markLeaving(announcement.upstreamId);
    }
    await this.#storeLeftUpstream();
    return { status: 200, body: "{}" };
  }

  /**
   * Checks the upstream's health and, if there is no report yet, takes it for
   * ready, so that a restarted daemon need not wait for the next heartbeat.
   *
   * @param pool Pool of the upstream.
   * @param healthPath Path of the pool's health check.
   */
  async checkHealth(pool: string, healthPath: string): Promise<void> {
    const { http, upstream } = this.#options;
    const health = await http.checkHealth(healthPath);
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

  async #storeLeftUpstream(): Promise<void> {
    const { upstream, directory } = this.#options;
    const { leftUpstream } = upstream;
    if (leftUpstream === undefined) {
      return;
    }
    await Promise.race([
      directory.storeLeftUpstream(leftUpstream),
      delay(ACKNOWLEDGE_WAIT_MS, undefined, { ref: false }),
    ]);
  }
}
