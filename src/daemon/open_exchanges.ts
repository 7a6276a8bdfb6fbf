/** HTTP exchanges that the listeners of a daemon have not finished. */
import type { IncomingMessage } from "node:http";
import { ChurnMap } from "../core/churn_map.ts";
import type { RequestHandler } from "../proxy/listener.ts";

/** One exchange whose answer has not been handed over completely. */
export type OpenExchange = {
  readonly listener: string;
  readonly method: string;
  /** Path without the query, which may carry personal data. */
  readonly path: string;
  /** Monotonic time of the arrival, in ms. */
  readonly arrivedMs: number;
};

type Entry = {
  readonly listener: string;
  readonly request: IncomingMessage;
  readonly arrivedMs: number;
};

function describe({ listener, request, arrivedMs }: Entry): OpenExchange {
  const { method = "", url = "" } = request;
  return { listener, method, path: url.split("?", 1)[0] ?? "", arrivedMs };
}

/**
 * Counts exchanges until the last byte of the answer was handed to the system.
 * The services' own counts end earlier, when the answer was written to Node's
 * buffers, and a slow reader would lose the rest at the end of the process.
 */
export class OpenExchanges {
  readonly #open = new ChurnMap<number, Entry>();
  readonly #nowMs: () => number;
  #nextNumber = 0;

  /**
   * @param nowMs Reads the monotonic clock, in ms.
   */
  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  /** Exchanges that are open. */
  get count(): number {
    return this.#open.size;
  }

  /**
   * Wraps the handler of a listener.
   *
   * @param listener Name of the listener for logs.
   * @param handler Handler that answers each request.
   * @returns Handler that also counts the exchange.
   *
   * @example
   * new Listener(open.track("hop", (request, response) => hops.handle(request, response)));
   */
  track(listener: string, handler: RequestHandler): RequestHandler {
    return (request, response) => {
      const number = this.#nextNumber++;
      this.#open.set(number, { listener, request, arrivedMs: this.#nowMs() });
      response.on("close", () => this.#open.delete(number));
      handler(request, response);
    };
  }

  /**
   * Lists open exchanges, oldest first.
   *
   * @param maxCount Longest list.
   * @returns Descriptions for the log.
   */
  list(maxCount: number): OpenExchange[] {
    return this.#open.values().slice(0, maxCount).map(describe);
  }
}
