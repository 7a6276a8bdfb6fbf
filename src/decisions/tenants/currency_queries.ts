/** Decides which peer is asked for its currency, and when. */
import type { Instant } from "./elapsed_clock.ts";

/** Time between two rounds of queries. */
const ROUND_INTERVAL_MS = 1_000;
/** Time without an answer after which another peer is asked. */
const ANSWER_MAX_MS = 300;
/** Maximum number of peers that are asked in one round. */
const PEERS_PER_ROUND_MAX_COUNT = 3;
/**
 * Maximum number of queries whose answers are still accepted. A late answer
 * proves less, but nothing wrong.
 */
const OPEN_MAX_COUNT = 2 * PEERS_PER_ROUND_MAX_COUNT;

/** A connected peer. */
export type CurrencyPeer = {
  readonly name: string;
  /** Whether it watches the store closely and reaches it. */
  readonly isWatching: boolean;
  /** Whether it is in another data centre. */
  readonly isRemote: boolean;
};

type OpenQuery = { readonly peerName: string; readonly sent: Instant };

/** A query that is to be sent. */
export type CurrencyQuery = {
  readonly number: number;
  readonly peerName: string;
};

/**
 * Asks one peer a second, in turn: those that watch the store before others,
 * those of the own data centre before remote ones, and last those that did not
 * answer. Another one is asked when a peer does not answer in time, or when its
 * currency is too old.
 */
export class CurrencyQueries {
  readonly #open = new Map<number, OpenQuery>();
  readonly #tried = new Set<string>();
  /** Elapsed time at which each peer was last asked, in ms. */
  readonly #askedAtMs = new Map<string, number>();
  readonly #silent = new Set<string>();
  #lastNumber = 0;
  #roundAtMs = -Infinity;
  #nextAtMs = -Infinity;

  /**
   * Returns the query that is due, and regards it as sent.
   *
   * @param peers Connected peers.
   * @param now Present moment.
   * @param elapsedMs Elapsed time, suspensions included, in ms.
   * @returns The query; undefined when none is due.
   */
  next(
    peers: readonly CurrencyPeer[],
    now: Instant,
    elapsedMs: number,
  ): CurrencyQuery | undefined {
    if (elapsedMs - this.#roundAtMs >= ROUND_INTERVAL_MS) {
      this.#startRound(peers, elapsedMs);
    } else if (
      elapsedMs < this.#nextAtMs ||
      this.#tried.size >= PEERS_PER_ROUND_MAX_COUNT
    ) {
      return undefined;
    }
    const peer = this.#choose(peers);
    if (peer === undefined) {
      return undefined;
    }
    const peerName = peer.name;
    const number = ++this.#lastNumber;
    this.#tried.add(peerName);
    this.#silent.add(peerName);
    this.#askedAtMs.set(peerName, elapsedMs);
    this.#nextAtMs = elapsedMs + ANSWER_MAX_MS;
    this.#open.set(number, { peerName, sent: now });
    this.#open.delete(number - OPEN_MAX_COUNT);
    return { number, peerName };
  }

  /**
   * Records an answer.
   *
   * @param query Number of the query and name of the peer that answers.
   * @returns Moment at which the query was sent; undefined when it is not known.
   */
  answer({ number, peerName }: CurrencyQuery): Instant | undefined {
    const open = this.#open.get(number);
    if (open?.peerName !== peerName) {
      return undefined;
    }
    this.#open.delete(number);
    this.#silent.delete(peerName);
    return open.sent;
  }

  /**
   * Ends the wait for the answers of the present round.
   *
   * @param isRenewed Whether the currency is young enough, so that no further
   *   peer needs to be asked.
   */
  settle(isRenewed: boolean): void {
    this.#nextAtMs = isRenewed ? Infinity : -Infinity;
  }

  #startRound(peers: readonly CurrencyPeer[], elapsedMs: number): void {
    this.#roundAtMs = elapsedMs;
    this.#tried.clear();
    const names = new Set(peers.map(({ name }) => name));
    for (const name of this.#askedAtMs.keys()) {
      if (!names.has(name)) {
        this.#askedAtMs.delete(name);
        this.#silent.delete(name);
      }
    }
  }

  #choose(peers: readonly CurrencyPeer[]): CurrencyPeer | undefined {
    const askedAtMs = ({ name }: CurrencyPeer) =>
      this.#askedAtMs.get(name) ?? -Infinity;
    let best: CurrencyPeer | undefined;
    for (const peer of peers) {
      if (this.#tried.has(peer.name)) {
        continue;
      }
      const order = best === undefined
        ? -1
        : this.#rank(peer) - this.#rank(best);
      if (
        order < 0 ||
        (order === 0 && askedAtMs(peer) < askedAtMs(best as CurrencyPeer))
      ) {
        best = peer;
      }
    }
    return best;
  }

  #rank({ name, isWatching, isRemote }: CurrencyPeer): number {
    return (this.#silent.has(name) ? 4 : 0) + (isWatching ? 0 : 2) +
      (isRemote ? 1 : 0);
  }
}
