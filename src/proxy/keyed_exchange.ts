/** Records the outcome of one keyed request. */
import { loadChart } from "../charts/load_chart.ts";
import { StateMachine } from "../charts/state_machine.ts";
import type { IdempotencyLedger } from "../decisions/keys/idempotency_ledger.ts";
import type { Reservation } from "../decisions/keys/keyed_admission.ts";
import type {
  AnswerHead,
  AnswerReceiver,
  AnswerSource,
  Failure,
} from "./answer_receiver.ts";

/** Largest answer body that is recorded, in bytes. */
export const RECORDED_BODY_MAX_BYTES = 65_536;

/**
 * Runs the chart `keyed_request` for one request and passes its answer on to the
 * receiver.
 */
export class KeyedExchange implements AnswerReceiver, AnswerSource {
  readonly #receiver: AnswerReceiver;
  readonly #ledger: IdempotencyLedger;
  readonly #reservation: Reservation;
  readonly #machine: StateMachine;
  readonly #chunks: Buffer[] = [];
  #bodyBytes = 0;
  #head: AnswerHead | undefined;
  #source: AnswerSource | undefined;

  /**
   * @param receiver Stage that receives the answer.
   * @param ledger Ledger of this daemon.
   * @param reservation Ledger entry that is reserved for the request.
   */
  constructor(
    receiver: AnswerReceiver,
    ledger: IdempotencyLedger,
    { reservation }: { reservation: Reservation },
  ) {
    this.#receiver = receiver;
    this.#ledger = ledger;
    this.#reservation = reservation;
    this.#machine = new StateMachine(KEYED_CHART, this);
  }

  /**
   * Connects the stage that runs the request.
   *
   * @param source Handle to cancel the answer or resume its body.
   */
  connect(source: AnswerSource): void {
    this.#source = source;
  }

  /** Records that the request is about to be forwarded. */
  start(): void {
    this.#machine.send("started");
  }

  /** @inheritdoc */
  cancel(): void {
    this.#machine.send("cancelled");
    this.#source?.cancel();
  }

  /** @inheritdoc */
  resume(): void {
    this.#source?.resume();
  }

  /** @inheritdoc */
  onHead(head: AnswerHead): void {
    this.#head = head;
    this.#machine.send("answered");
    this.#receiver.onHead(head);
  }

  /** @inheritdoc */
  onData(chunk: Buffer): boolean {
    this.#bodyBytes += chunk.length;
    if (this.#bodyBytes <= RECORDED_BODY_MAX_BYTES) {
      this.#chunks.push(chunk);
    }
    return this.#receiver.onData(chunk);
  }

  /** @inheritdoc */
  onEnd(): void {
    this.#machine.send("ended");
    this.#receiver.onEnd();
  }

  /** @inheritdoc */
  onFailure(failure: Failure): void {
    this.#machine.send(failure.outcome === "not-run" ? "notRun" : "failed");
    this.#receiver.onFailure(failure);
  }

  /** Action: records the answer, or only its status when it is too large. */
  settleComplete(): void {
    const { status, headers } = this.#head as AnswerHead;
    if (this.#bodyBytes > RECORDED_BODY_MAX_BYTES) {
      this.settleUnknown();
      return;
    }
    const body = Buffer.concat(this.#chunks);
    this.#ledger.settle(this.#reservation, {
      kind: "complete",
      answer: { status, headers, body },
    });
  }

  /** Action: records that the outcome is not known. */
  settleUnknown(): void {
    this.#ledger.settle(this.#reservation, {
      kind: "unknown",
      recordedStatus: this.#head?.status,
    });
  }

  /** Action: frees the key of a request that is proved not to have run. */
  forget(): void {
    this.#ledger.forget(this.#reservation);
  }
}

const KEYED_CHART = loadChart("keyed_request", KeyedExchange.prototype);
