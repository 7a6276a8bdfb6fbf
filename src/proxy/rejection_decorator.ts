/** Headers of answers to requests that are rejected before they have an id. */
import type { Failure } from "./answer_receiver.ts";
import type { AnswerDecorator } from "./response_receiver.ts";

/** Adds the kind of the error and whether the request may have run. */
export class RejectionDecorator implements AnswerDecorator {
  /** @inheritdoc */
  headHeaders(): string[] {
    return [];
  }

  /** @inheritdoc */
  failureHeaders({ kind, outcome }: Failure): string[] {
    return ["goldcrest-outcome", outcome, "goldcrest-error", kind];
  }
}
