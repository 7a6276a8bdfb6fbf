/** Work of one request in the upstream stand-in. */
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { request as sendRequest } from "undici";
import { answerBytes } from "./answer_body.ts";
import type { RequestRecord, UpstreamBehaviour } from "./upstream_settings.ts";

const CHUNK_BYTES = 65_536;
const MS_PER_S = 1_000;

/** What a request asks of its answer, by query parameters of its path. */
export type AnswerWish = {
  readonly token: string;
  /** Length of the body, in bytes. */
  readonly lengthBytes: number;
  readonly chunked: boolean;
  /** Highest speed of the body; 0 is unbounded. */
  readonly bytesPerS: number;
  /** Status of the answer. */
  readonly status: number;
};

/** A call to the next service that was not answered by a success. */
export class NextCallError extends Error {
  /** Status of the next service's answer. */
  readonly status: number;

  /**
   * @param status Status of the next service's answer.
   */
  constructor(status: number) {
    super(`The next service answered ${status}`);
    this.name = "NextCallError";
    this.status = status;
  }
}

/**
 * Reads what a request asks of its answer.
 *
 * @param url Path with query: `token`, `bytes`, `chunked`, `bytesPerS`, `status`.
 * @returns The wish, with defaults for absent parameters.
 *
 * @example
 * readWish("/files/7?token=a1&bytes=50000000&chunked=1");
 */
export function readWish(url: string): AnswerWish {
  const { searchParams } = new URL(url, "http://upstream");
  return {
    token: searchParams.get("token") ?? "",
    lengthBytes: Number(searchParams.get("bytes") ?? 64),
    chunked: searchParams.get("chunked") === "1",
    bytesPerS: Number(searchParams.get("bytesPerS") ?? 0),
    status: Number(searchParams.get("status") ?? 200),
  };
}

/**
 * Reads and drops a request's body.
 *
 * @param request Incoming request.
 * @throws When the body ends early.
 */
export async function readAll(request: IncomingMessage): Promise<void> {
  for await (const _chunk of request) {
    // Only the end of the body matters.
  }
}

/**
 * Calls the next service with the id of the running request, so that the
 * daemon can find class, deadline and attempts of the chain.
 *
 * @param behaviour Behaviour with the next call; nothing is called without one.
 * @param effect Request that runs.
 * @param options Signal that gives the call up.
 * @throws {NextCallError} When the answer is no success.
 */
export async function callNext(
  behaviour: UpstreamBehaviour,
  effect: RequestRecord,
  { signal }: { signal: AbortSignal },
): Promise<void> {
  const { next } = behaviour;
  if (next === undefined) {
    return;
  }
  const separator = next.path.includes("?") ? "&" : "?";
  const path = `${next.path}${separator}token=${effect.token}`;
  const answer = await sendRequest(`${next.url}${path}`, {
    method: next.method,
    headers: { "goldcrest-request-id": effect.requestId },
    signal,
  });
  await answer.body.dump();
  if (answer.statusCode >= 400) {
    throw new NextCallError(answer.statusCode);
  }
}

/**
 * Writes an answer whose bytes follow from tenant and token.
 *
 * @param response Response to write to.
 * @param identity Tenant and wish.
 * @param options Signal that stops the transfer.
 * @throws The signal's reason when it is aborted.
 */
export async function writeAnswer(
  response: ServerResponse,
  identity: { tenant: string; wish: AnswerWish },
  { signal }: { signal: AbortSignal },
): Promise<void> {
  const { tenant, wish } = identity;
  const { token, lengthBytes } = wish;
  response.writeHead(wish.status, {
    "x-token": token,
    ...(wish.chunked ? {} : { "content-length": String(lengthBytes) }),
  });
  for (let fromBytes = 0; fromBytes < lengthBytes; fromBytes += CHUNK_BYTES) {
    const toBytes = Math.min(fromBytes + CHUNK_BYTES, lengthBytes);
    const bytes = answerBytes({ tenant, token }, { fromBytes, toBytes });
    if (!response.write(bytes)) {
      await once(response, "drain", { signal });
    }
    if (wish.bytesPerS > 0) {
      const pauseMs = (bytes.length / wish.bytesPerS) * MS_PER_S;
      await sleep(pauseMs, undefined, { signal });
    }
  }
  response.end();
}
