/** Client of the daemons' operator listeners. */
import { request } from "undici";
import { type Status, statusSchema } from "../schemas/status_schema.ts";

/** A daemon did not answer, or its answer is an error or cannot be read. */
export class DaemonError extends Error {
  /**
   * @param url URL of the operator listener.
   * @param reason Verb phrase that completes the message, such as `does not answer`.
   */
  constructor(url: string, reason: string) {
    super(`Daemon at ${url} ${reason}`);
    this.name = "DaemonError";
  }
}

/** Status of a daemon, or the error message when it could not be read. */
export type StatusResult = {
  readonly url: string;
  readonly status?: Status;
  readonly error?: string;
};

const TIMEOUT_MS = 3_000;
// A fleet has thousands of daemons; the size of a batch bounds the number of open
// connections.
const BATCH_MAX_COUNT = 64;

async function call(
  url: string,
  path: string,
  method: "GET" | "POST",
): Promise<string> {
  try {
    const answer = await request(`${url.replace(/\/$/, "")}${path}`, {
      method,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const text = await answer.body.text();
    if (answer.statusCode >= 300) {
      throw new DaemonError(url, `answers with status ${answer.statusCode}`);
    }
    return text;
  } catch (error) {
    if (error instanceof DaemonError) {
      throw error;
    }
    throw new DaemonError(url, `does not answer: ${(error as Error).message}`);
  }
}

/** Options of {@link readStatus} and {@link readStatuses}. */
export type StatusOptions = {
  /**
   * Whether the status includes the list of members; default `all`. In a large
   * fleet each list has thousands of members, and the list of one daemon is
   * enough.
   */
  members?: "all" | "none";
};

/**
 * Reads the status of a daemon.
 *
 * @param url URL of the operator listener.
 * @param options Whether the list of members is included.
 * @returns Status, checked against its schema.
 * @throws {DaemonError} When the daemon does not answer, or its answer is an
 * error or not a valid status.
 */
export async function readStatus(
  url: string,
  { members = "all" }: StatusOptions = {},
): Promise<Status> {
  const text = await call(url, `/status?members=${members}`, "GET");
  try {
    return statusSchema.parse(JSON.parse(text));
  } catch {
    throw new DaemonError(url, "answers with an unknown form of status");
  }
}

/**
 * Reads the metrics of a daemon.
 *
 * @param url URL of the operator listener.
 * @returns Metrics in the Prometheus text format.
 * @throws {DaemonError} When the daemon does not answer, or with an error.
 */
export function readMetrics(url: string): Promise<string> {
  return call(url, "/metrics", "GET");
}

/**
 * Starts or cancels the drain of a daemon.
 *
 * @param url URL of the operator listener.
 * @param action `drain` to start, `undrain` to cancel.
 * @throws {DaemonError} When the daemon does not answer, or with an error.
 */
export async function postDrain(
  url: string,
  action: "drain" | "undrain",
): Promise<void> {
  await call(url, `/${action}`, "POST");
}

async function tryReadStatus(
  url: string,
  options: StatusOptions,
): Promise<StatusResult> {
  try {
    return { url, status: await readStatus(url, options) };
  } catch (error) {
    return { url, error: (error as Error).message };
  }
}

/**
 * Reads the status of several daemons, in batches of concurrent requests.
 *
 * @param urls URLs of the operator listeners.
 * @param options Whether the lists of members are included.
 * @returns One result for each URL, in the same order.
 */
export async function readStatuses(
  urls: readonly string[],
  options: StatusOptions = {},
): Promise<StatusResult[]> {
  const results: StatusResult[] = [];
  for (let start = 0; start < urls.length; start += BATCH_MAX_COUNT) {
    const batch = urls.slice(start, start + BATCH_MAX_COUNT);
    results.push(
      ...await Promise.all(batch.map((url) => tryReadStatus(url, options))),
    );
  }
  return results;
}

/**
 * Lists the operator listeners of the queried daemons and of the members that
 * their statuses name.
 *
 * @param results Statuses of the queried daemons.
 * @returns URLs of the queried daemons and of the members that are neither dead
 * nor left. A member with the instance id of a queried daemon that answered is
 * omitted, because the operator may have named this daemon by another address.
 */
export function listDaemonUrls(results: readonly StatusResult[]): string[] {
  const queriedIds = new Set(results.map(({ status }) => status?.instanceId));
  const members = results.flatMap(({ status }) => status?.members ?? [])
    .filter(({ state, instanceId }) =>
      state !== "dead" && state !== "left" && !queriedIds.has(instanceId)
    )
    .flatMap(({ operator }) => operator ?? [])
    .map(({ host, port }) =>
      host.includes(":") ? `http://[${host}]:${port}` : `http://${host}:${port}`
    );
  return [...new Set([...results.map(({ url }) => url), ...members])];
}
