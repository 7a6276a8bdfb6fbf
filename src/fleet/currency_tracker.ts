/** Renews the currency of the configuration from the store and from peers. */
import type { Stream } from "most";
import type { Clock } from "../core/clock.ts";
import type { ControlPart } from "../core/event_loop.ts";
import type { StoredObject } from "../core/platform_client.ts";
import { isKeyDoubtful } from "../decisions/tenants/credential.ts";
import {
  Currency,
  CURRENCY_OLD_MS,
  isReadDue,
} from "../decisions/tenants/currency.ts";
import { CurrencyQueries } from "../decisions/tenants/currency_queries.ts";
import {
  type Instant,
  readInstant,
} from "../decisions/tenants/elapsed_clock.ts";
import type { CurrencyAnswer } from "../schemas/link_schema.ts";
import { errorFields, type Logger } from "../telemetry/logger.ts";
import type { ConfigFollower } from "./config_follower.ts";

/** A connected peer that can be asked for its currency. */
export type AskedPeer = {
  readonly member: { readonly name: string; readonly dataCentre: string };
  readonly state: { readonly isWatching: boolean } | undefined;
  readonly isUp: boolean;
  /** Asks the peer for its currency. */
  queryCurrency(number: number): void;
};

/** Options of {@link CurrencyTracker}. */
export type CurrencyTrackerOptions = {
  clock: Clock;
  config: Pick<
    ConfigFollower,
    "handle" | "hasUnusable" | "routes" | "version"
  >;
  /**
   * Send times of the exact calls to the store that have succeeded, each after
   * the objects that the call returned.
   */
  configReads: Stream<Instant>;
  /** Reads the configuration exactly. Throws {@link PlatformError}. */
  readConfig: () => Promise<StoredObject | undefined>;
  /** Bound of withdrawn keys, in ms; undefined when it is not enforced. */
  revocationMaxMs: number | undefined;
  ownDataCentre: string;
  /** Links to peers. */
  peers: () => Iterable<AskedPeer>;
  /** Whether this daemon watches the store closely and reaches it. */
  isWatching: () => boolean;
  log: Logger;
};

/**
 * Tracks as of when the configuration in force was surely the newest. Peers and
 * the store are asked only while withdrawn keys are bounded and the
 * configuration has tenants.
 */
export class CurrencyTracker implements ControlPart<Instant> {
  readonly name = "currency";
  readonly inputs: Stream<Instant>;
  readonly #options: CurrencyTrackerOptions;
  readonly #currency = new Currency();
  readonly #queries = new CurrencyQueries();
  #readAtMs: number | undefined;
  #isReading = false;
  #wasDoubtful = false;

  /**
   * @param options Clock, configuration, store, peers and bound.
   */
  constructor(options: CurrencyTrackerOptions) {
    this.#options = options;
    this.inputs = options.configReads;
  }

  /** Time since the configuration was surely the newest, in ms. */
  get ageMs(): number {
    return this.#currency.ageMs(this.#now());
  }

  /** @inheritdoc */
  handle(sent: Instant): void {
    // The store holds a version that this daemon cannot use.
    if (!this.#options.config.hasUnusable) {
      this.#currency.prove(sent, this.#now());
    }
  }

  /**
   * Handles the answer of a peer. One with a newer version proves nothing, since
   * that version is not in force here.
   *
   * @param answer Number of the query, version of the peer, and its currency.
   * @param peerName Peer that answers.
   */
  onAnswer({ number, version, ageMs }: CurrencyAnswer, peerName: string): void {
    const sent = this.#queries.answer({ number, peerName });
    if (sent === undefined) {
      return;
    }
    if (ageMs !== null && version <= this.#options.config.version) {
      this.#currency.prove(sent, this.#now(), ageMs);
    }
    this.#queries.settle(this.ageMs <= CURRENCY_OLD_MS);
  }

  /**
   * Asks a peer or the store when it is due. Called once per control interval.
   */
  tick(): void {
    const { config, revocationMaxMs } = this.#options;
    const now = this.#now();
    const elapsedMs = this.#currency.elapsedMs(now);
    const ageMs = this.#currency.ageMs(now);
    // At the start, the watch of the store lists the configuration.
    this.#readAtMs ??= elapsedMs;
    if (
      revocationMaxMs === undefined || config.routes?.tenants === undefined
    ) {
      return;
    }
    this.#logChange(ageMs);
    const isWatching = this.#options.isWatching();
    if (!isWatching || ageMs > CURRENCY_OLD_MS) {
      this.#queryPeer(now, elapsedMs);
    }
    const sinceReadMs = elapsedMs - this.#readAtMs;
    if (!this.#isReading && isReadDue({ ageMs, sinceReadMs, isWatching })) {
      this.#readAtMs = elapsedMs;
      this.#read(now);
    }
  }

  #now(): Instant {
    return readInstant(this.#options.clock);
  }

  #queryPeer(now: Instant, elapsedMs: number): void {
    const { ownDataCentre, peers } = this.#options;
    const connected = [...peers()].filter(({ isUp }) => isUp);
    const query = this.#queries.next(
      connected.map(({ member, state }) => ({
        name: member.name,
        isWatching: state?.isWatching ?? false,
        isRemote: member.dataCentre !== ownDataCentre,
      })),
      now,
      elapsedMs,
    );
    if (query !== undefined) {
      connected.find(({ member }) => member.name === query.peerName)
        ?.queryCurrency(query.number);
    }
  }

  #read(sent: Instant): void {
    const { config, readConfig, log } = this.#options;
    this.#isReading = true;
    readConfig()
      .then((object) => {
        if (object !== undefined) {
          config.handle(object);
        }
        this.handle(sent);
      })
      .catch((error) =>
        log.debug("Read for the currency failed", errorFields(error))
      )
      .finally(() => this.#isReading = false);
  }

  #logChange(ageMs: number): void {
    const { revocationMaxMs, log, config } = this.#options;
    const isDoubtful = isKeyDoubtful({ currencyAgeMs: ageMs, revocationMaxMs });
    if (isDoubtful === this.#wasDoubtful) {
      return;
    }
    this.#wasDoubtful = isDoubtful;
    const fields = { ageMs: Math.round(ageMs), configVersion: config.version };
    if (isDoubtful) {
      log.warn("Keys are not accepted: configuration may be old", fields);
    } else {
      log.info("Keys are accepted again", fields);
    }
  }
}
