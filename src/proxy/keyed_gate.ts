/**
 * Checks keyed requests against the ledger of this instance, the key owner and the
 * self-fence.
 */
import { createHash } from "node:crypto";
import type { ConfigSource } from "../decisions/config_source.ts";
import type { IdempotencyLedger } from "../decisions/keys/idempotency_ledger.ts";
import type {
  KeyClock,
  KeyedAdmission,
  KeyedContext,
  KeyedDecision,
  KeyedRequest,
} from "../decisions/keys/keyed_admission.ts";
import type { UpstreamDirectory } from "../decisions/selection/upstream_directory.ts";
import { errorAnswer, type ErrorKind } from "../errors/error_kinds.ts";
import type {
  AnswerReceiver,
  ForwardRequest,
  ServingState,
} from "./answer_receiver.ts";
import { KeyedExchange } from "./keyed_exchange.ts";

/** Components that {@link KeyedGate} uses. */
export type KeyedGateParts = {
  admission: KeyedAdmission;
  ledger: IdempotencyLedger;
  clock: KeyClock;
  config: ConfigSource;
  directory: UpstreamDirectory;
};

/** Options of {@link KeyedGate}. */
export type KeyedGateOptions = {
  /** Reads the monotonic clock, in ms. */
  nowMs: () => number;
};

// The self-fence must detect that the process was frozen even if no keyed
// request arrives.
const FENCE_CHECK_INTERVAL_MS = 500;
const DIGEST_BYTES = 16;
const UNKNOWN_LENGTH = "chunked";

function bodyLengthOf({ body, headers }: ForwardRequest): string {
  if (body === null || Buffer.isBuffer(body)) {
    return String(body?.length ?? 0);
  }
  const index = headers.findIndex((name, position) =>
    position % 2 === 0 && name.toLowerCase() === "content-length"
  );
  return headers[index + 1] ?? UNKNOWN_LENGTH;
}

function toKeyedRequest(request: ForwardRequest): KeyedRequest {
  const { pool, tenant, method, path, idempotencyKey } = request.context;
  const requestDigest = createHash("sha256")
    .update(`${method} ${path} ${bodyLengthOf(request)}`)
    .digest()
    .subarray(0, DIGEST_BYTES)
    .toString("base64url");
  return { pool, tenant, key: idempotencyKey as string, requestDigest };
}

/** Checks keyed requests before they are admitted and before they run. */
export class KeyedGate {
  readonly #parts: KeyedGateParts;
  readonly #options: KeyedGateOptions;
  #timer: NodeJS.Timeout | undefined;

  /**
   * @param parts Admission, ledger, clock, configuration and directory.
   * @param options Monotonic clock.
   */
  constructor(parts: KeyedGateParts, options: KeyedGateOptions) {
    this.#parts = parts;
    this.#options = options;
  }

  /** Starts the periodic check of the self-fence. */
  start(): void {
    this.#timer = setInterval(() => {
      const { admission, directory } = this.#parts;
      admission.checkFence(directory.peerConnectivity(), this.#options.nowMs());
    }, FENCE_CHECK_INTERVAL_MS);
    this.#timer.unref();
  }

  /** Stops the periodic check of the self-fence. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Reserves a ledger entry for a request, or answers a request that must not
   * run.
   *
   * @param request Keyed request.
   * @param receiver Stage that receives the answer.
   * @param options State of this daemon to report with the answer.
   * @returns Stage that records the outcome; undefined if the request was
   * answered.
   */
  reserve(
    request: ForwardRequest,
    receiver: AnswerReceiver,
    { serving }: { serving: ServingState },
  ): KeyedExchange | undefined {
    const { admission, ledger } = this.#parts;
    const decision = admission.begin(
      toKeyedRequest(request),
      this.#context(request),
    );
    if (decision.kind === "run") {
      const { reservation } = decision;
      return new KeyedExchange(receiver, ledger, { reservation });
    }
    answerWithoutRunning(decision, receiver, { serving });
    return undefined;
  }

  /**
   * Repeats the checks directly before a request is forwarded.
   *
   * @param request Keyed request that holds a reservation.
   * @returns Error kind of a refusal; undefined when the request may run.
   */
  recheck(request: ForwardRequest): ErrorKind | undefined {
    return this.#parts.admission.recheck(
      toKeyedRequest(request),
      this.#context(request),
    );
  }

  #context({ context }: ForwardRequest): KeyedContext {
    const { clock, config, directory } = this.#parts;
    const tables = config.current()?.tables;
    return {
      rules: {
        // Without a configuration every key is too old to run.
        keyRetentionMs: tables?.pools.pools[context.pool]?.keyRetentionMs ?? 0,
        clockSkewMaxMs: tables?.routes.rules.clockSkewMaxMs ?? 0,
      },
      peerConnectivity: directory.peerConnectivity(),
      nowMs: this.#options.nowMs(),
      nowEpochMs: clock.nowEpochMs(),
    };
  }
}

function answerWithoutRunning(
  decision: Exclude<KeyedDecision, { kind: "run" }>,
  receiver: AnswerReceiver,
  { serving }: { serving: ServingState },
): void {
  if (decision.kind === "refuse") {
    const { error, recordedStatus } = decision;
    const { outcome } = errorAnswer(error);
    receiver.onFailure({ kind: error, outcome, serving, recordedStatus });
    return;
  }
  const { status, headers, body } = decision.answer;
  receiver.onHead({ status, headers, serving });
  if (body.length > 0) {
    receiver.onData(Buffer.from(body));
  }
  receiver.onEnd();
}
