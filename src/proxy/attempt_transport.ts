/** Interface for sending attempts, and the transport to the local upstream. */
import type { Endpoint } from "../decisions/selection/upstream_directory.ts";
import type {
  AnswerReceiver,
  AnswerSource,
  ForwardRequest,
} from "./answer_receiver.ts";
import type { InboundService } from "./inbound_service.ts";

/** Sends attempts to the daemons beside upstreams. */
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

/**
 * Serves attempts for the local upstream in this process, without a hop, and
 * passes all others to a remote transport.
 */
export class LocalTransport implements AttemptTransport {
  readonly #inbound: InboundService;
  readonly #remote: AttemptTransport;
  readonly #instanceId: string;

  /**
   * @param inbound Service of the local upstream.
   * @param remote Transport for all other endpoints.
   * @param options Id of this instance.
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
