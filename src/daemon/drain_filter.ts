/** Refusal of new requests while the daemon drains. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { v4 as randomRequestId } from "uuid";
import type { RequestHandler } from "../proxy/listener.ts";
import { PublicAnswerDecorator } from "../proxy/public_answer_decorator.ts";
import { ResponseReceiver } from "../proxy/response_receiver.ts";
import { DEFAULT_TENANT } from "../proxy/tenant_check.ts";

function answerDraining(response: ServerResponse): void {
  // The caller must not send its next request to this instance.
  response.shouldKeepAlive = false;
  const answer = new PublicAnswerDecorator(randomRequestId(), DEFAULT_TENANT);
  new ResponseReceiver(response, answer).onFailure({
    kind: "draining",
    outcome: "not-run",
  });
}

/**
 * Lets requests pass or answers them `draining`.
 *
 * @example
 * const gate = new WorkGate();
 * new Listener(gate.guard((request, response) => entry.handle(request, response)));
 * gate.close();
 */
export class DrainFilter {
  #open = true;

  /** Refuses new requests. */
  close(): void {
    this.#open = false;
  }

  /** Accepts new requests again. */
  reopen(): void {
    this.#open = true;
  }

  /**
   * Wraps the handler of a listener.
   *
   * @param handler Handler of accepted requests.
   * @param continues Tells whether a request belongs to accepted work.
   * @returns Handler that refuses new work while the gate is closed.
   */
  guard(
    handler: RequestHandler,
    continues: (request: IncomingMessage) => boolean = () => false,
  ): RequestHandler {
    return (request, response) => {
      if (this.#open || continues(request)) {
        handler(request, response);
        return;
      }
      answerDraining(response);
    };
  }
}
