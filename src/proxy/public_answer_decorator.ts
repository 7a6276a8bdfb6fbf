/** Adds headers to answers to callers. */
import type { AnswerHead, Failure } from "./answer_receiver.ts";
import type { AnswerDecorator } from "./response_receiver.ts";

/** Adds request id, tenant, outcome, error kind and recorded status. */
export class PublicAnswerDecorator implements AnswerDecorator {
  readonly #requestId: string;
  readonly #tenant: string;

  /**
   * @param requestId Id of the request that is answered.
   * @param tenant Tenant that the answer belongs to.
   */
  constructor(requestId: string, tenant: string) {
    this.#requestId = requestId;
    this.#tenant = tenant;
  }

  /** @inheritdoc */
  headHeaders(_head: AnswerHead): string[] {
    return [...this.#identity(), "goldcrest-outcome", "complete"];
  }

  /** @inheritdoc */
  failureHeaders(failure: Failure): string[] {
    const recorded = failure.recordedStatus === undefined
      ? []
      : ["goldcrest-recorded-status", String(failure.recordedStatus)];
    return [
      ...this.#identity(),
      "goldcrest-outcome",
      failure.outcome,
      "goldcrest-error",
      failure.kind,
      ...recorded,
    ];
  }

  #identity(): string[] {
    return [
      "goldcrest-request-id",
      this.#requestId,
      "goldcrest-tenant",
      this.#tenant,
    ];
  }
}
