/** Ways to send an attempt to the daemon beside an upstream. */
import type { Endpoint } from "../decisions/upstream_directory.ts";
import type {
  AnswerReceiver,
  AnswerSource,
  ForwardRequest,
} from "./answer_receiver.ts";
import type { InboundService } from "./inbound_service.ts";

/** Sends one attempt. */
export interface AttemptTransport {
  /**
   * Sends a request to the daemon beside an endpoint. The receiver may be
   * called before this returns.
   */
  send(
    endpoint: Endpoint,
    request: ForwardRequest,
    receiver: AnswerReceiver,
  ): AnswerSource;
}

/** Sends attempts for the own upstream directly to the local service. */
export class LocalTransport implements AttemptTransport {
  readonly #inbound: InboundService;
  readonly #remote: AttemptTransport;
  readonly #instanceId: string;

  /**
   * @param inbound Service of the own upstream.
   * @param remote Transport for all other endpoints.
   * @param options Id of the own instance.
   */
  constructor(
    inbound: InboundService,
    remote: AttemptTransport,
    options: { instanceId: string },
  ) {
    this.#inbound = inbound;
    this.#remote = remote;
    this.#instanceId = options.instanceId;
  }

  /** @inheritdoc */
  send(
    endpoint: Endpoint,
    request: ForwardRequest,
    receiver: AnswerReceiver,
  ): AnswerSource {
    if (endpoint.instanceId !== this.#instanceId) {
      return this.#remote.send(endpoint, request, receiver);
    }
    return this.#inbound.serve(request, receiver);
  }
}
