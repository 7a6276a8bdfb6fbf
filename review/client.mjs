// Stand-in for a client beside a daemon.
import { Agent, request } from "node:http";
import { randomBytes } from "node:crypto";

/**
 * Sends one request and reads the answer to its end.
 *
 * @param machine Machine whose daemon gets the request.
 * @param options Host, path, method, body, time budget in ms, the reading rate
 *   in bytes a second, and the agent of a kept connection.
 * @returns Result with the id, the status (0 without an answer), the number of
 *   body bytes, and whether the answer was complete.
 */
export function send(machine, options) {
  const {
    host,
    path,
    method = "GET",
    body,
    headers = {},
    deadlineMs,
    bytesPerS = Infinity,
    agent = new Agent({ keepAlive: false }),
  } = options;
  const result = {
    id: options.id ?? randomBytes(8).toString("hex"),
    status: 0,
    bytes: 0,
    isComplete: false,
    sentMs: performance.now(),
    headers: {},
    endedMs: undefined,
    error: undefined,
  };
  return new Promise((resolve) => {
    const end = (error) => {
      if (result.endedMs !== undefined) {
        return;
      }
      clearTimeout(timer);
      result.endedMs = performance.now();
      result.error = error?.code ?? error?.message;
      resolve(result);
    };
    const timer = setTimeout(() => {
      end(new Error("time budget"));
      sent.destroy();
    }, deadlineMs);
    const sent = request({
      ...machine.outbound,
      method,
      path,
      agent,
      headers: {
        host,
        "attempt-id": result.id,
        "deadline-ms": String(deadlineMs),
        ...headers,
      },
    }, (answer) => {
      result.status = answer.statusCode;
      result.headers = answer.headers;
      answer.on("data", (chunk) => {
        result.bytes += chunk.length;
        if (options.collect) {
          result.text = (result.text ?? "") + chunk.toString("latin1");
        }
        if (bytesPerS !== Infinity) {
          answer.pause();
          setTimeout(() => answer.resume(), chunk.length / bytesPerS * 1_000);
        }
      });
      answer.on("end", () => {
        result.isComplete = answer.complete;
        result.text ??= "";
        end(answer.complete ? undefined : new Error("incomplete"));
      });
      answer.on("error", end);
      answer.on("close", () => end(new Error("closed")));
    });
    sent.on("error", end);
    sent.end(body);
  });
}

/** Describes a result for the record. */
export function describe(result, startedMs) {
  const at = Math.round(result.sentMs - startedMs);
  const took = Math.round(result.endedMs - result.sentMs);
  return `request ${result.id} sent at ${at} ms: status ${result.status}, ` +
    `${result.bytes} bytes, ${
      result.isComplete ? "complete" : `no complete answer (${result.error})`
    } after ${took} ms`;
}
