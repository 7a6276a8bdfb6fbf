/** Refuses new requests while the daemon drains. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { v4 as randomRequestId } from "uuid";
import type { RequestHandler } from "../proxy/listener.ts";
import { PublicAnswerDecorator } from "../proxy/public_answer_decorator.ts";
import { ResponseReceiver } from "../proxy/response_receiver.ts";
import { DEFAULT_TENANT } from "../proxy/tenant_check.ts";

function answerDraining(response: ServerResponse): void {
  // Closes the connection, so that the caller sends its next request elsewhere.
  response.shouldKeepAlive = false;
  const answer = new PublicAnswerDecorator(randomRequestId(), DEFAULT_TENANT);
  new ResponseReceiver(response, answer).onFailure({
    kind: "draining",
    outcome: "not-run",
  });
}

/**
 * Passes requests to a handler, or answers new ones `draining` during a drain.
 *
 * @example
 * const filter = new DrainFilter();
 * new Listener(filter.guard(handle), bounds.limitsOf("callers"));
 * filter.refuseNewWork();
 */
export class DrainFilter {
  #acceptsNewWork = true;

  /** Refuses new requests. */
  refuseNewWork(): void {
    this.#acceptsNewWork = false;
  }

  /** Accepts new requests again. */
  acceptNewWork(): void {
    this.#acceptsNewWork = true;
  }

  /**
   * Wraps the handler of a listener.
   *
   * @param handler Handler of accepted requests.
   * @param belongsToAcceptedWork Returns whether a request is part of work
   *   that is already accepted.
   * @returns Handler that refuses new work during a drain.
   */
  guard(
    handler: RequestHandler,
    belongsToAcceptedWork: (request: IncomingMessage) => boolean = () => false,
  ): RequestHandler {
    return (request, response) => {
      if (this.#acceptsNewWork || belongsToAcceptedWork(request)) {
        handler(request, response);
        return;
      }
      answerDraining(response);
    };
  }
}
