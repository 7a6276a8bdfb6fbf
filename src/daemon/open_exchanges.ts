/** Unfinished HTTP exchanges of the listeners of a daemon. */
import type { IncomingMessage } from "node:http";
import { ChurnMap } from "../core/churn_map.ts";
import type { RequestHandler } from "../proxy/listener.ts";

/** Exchange whose answer has not been sent completely. */
export type OpenExchange = {
  readonly listener: string;
  readonly method: string;
  /** Path without the query, which may carry personal data. */
  readonly path: string;
  /** Monotonic time of the arrival, in ms. */
  readonly arrivedMs: number;
};

type TrackedRequest = {
  readonly listener: string;
  readonly request: IncomingMessage;
  readonly arrivedMs: number;
};

function describeExchange(
  { listener, request, arrivedMs }: TrackedRequest,
): OpenExchange {
  const { method = "", url = "" } = request;
  return { listener, method, path: url.split("?", 1)[0] ?? "", arrivedMs };
}

/**
 * Counts exchanges until the last byte of the answer has been passed to the
 * operating system or the connection is closed. The data path regards an exchange
 * as ended earlier, when its answer has been written to the buffers of Node.js; a
 * process that ended then would lose the rest of an answer to a slow client.
 */
export class OpenExchanges {
  readonly #tracked = new ChurnMap<number, TrackedRequest>();
  readonly #nowMs: () => number;
  #nextId = 0;

  /**
   * @param nowMs Reads the monotonic clock, in ms.
   */
  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  /** Number of open exchanges. */
  get count(): number {
    return this.#tracked.size;
  }

  /**
   * Wraps the handler of a listener to track its exchanges.
   *
   * @param listener Name of the listener for logs.
   * @param handler Handler that answers each request.
   * @returns Handler that also tracks the exchange.
   *
   * @example
   * new Listener(open.track("hop", handle), bounds.limitsOf("hop"));
   */
  track(listener: string, handler: RequestHandler): RequestHandler {
    return (request, response) => {
      const id = this.#nextId++;
      this.#tracked.set(id, { listener, request, arrivedMs: this.#nowMs() });
      response.on("close", () => this.#tracked.delete(id));
      handler(request, response);
    };
  }

  /**
   * Lists open exchanges, oldest first.
   *
   * @param maxCount Maximum length of the list.
   * @returns Descriptions for the log.
   */
  list(maxCount: number): OpenExchange[] {
    return this.#tracked.values().slice(0, maxCount).map(describeExchange);
  }
}
