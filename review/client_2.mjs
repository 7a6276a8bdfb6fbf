/** Sends requests as the platform's clients do. */
import { randomBytes } from "node:crypto";
import { request } from "node:http";

/** Returns a new attempt id. */
export function newAttemptId() {
  return randomBytes(8).toString("hex");
}

/**
 * Sends one request on a new connection. Resolves with its status, 0 when there is
 * no complete answer.
 */
export function send(
  { host, port },
  { routeHost, path, id, deadlineMs, method = "GET", key, body },
) {
  return new Promise((resolve) => {
    const done = (status, answer = {}) => {
      clearTimeout(timer);
      resolve({ status, ...answer });
    };
    const sent = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        host: routeHost,
        "attempt-id": id,
        "deadline-ms": String(deadlineMs),
        ...(key && { authorization: `Bearer ${key}` }),
      },
    }, (answer) => {
      let text = "";
      answer.setEncoding("latin1");
      answer.on("data", (part) => text += part);
      answer.on("error", () => done(0));
      answer.on("end", () =>
        done(answer.complete ? answer.statusCode : 0, {
          headers: answer.headers,
          text,
        }));
    });
    const timer = setTimeout(() => sent.destroy(), deadlineMs);
    sent.on("error", () => done(0));
    sent.end(body);
  });
}
