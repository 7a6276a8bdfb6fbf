/** Client of the daemons' operator listeners. */
import { request } from "undici";
import { type Status, statusSchema } from "../schemas/status_schema.ts";

/** A daemon that does not answer as expected. */
export class DaemonError extends Error {
  /**
   * @param url Operator listener.
   * @param reason Phrase for the message.
   */
  constructor(url: string, reason: string) {
    super(`Daemon at ${url} ${reason}`);
    this.name = "DaemonError";
  }
}

/** A daemon with its status, or why there is none. */
export type DaemonView = {
  readonly url: string;
  readonly status?: Status;
  readonly error?: string;
};

const TIMEOUT_MS = 3_000;
// A fleet has thousands of daemons; the tool keeps few connections open.
const CONCURRENCY_MAX = 64;

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

/**
 * Reads the status of a daemon.
 *
 * @param url Operator listener.
 * @returns Checked status.
 * @throws {DaemonError} Without a valid answer.
 */
export async function readStatus(url: string): Promise<Status> {
  const text = await call(url, "/status", "GET");
  try {
    return statusSchema.parse(JSON.parse(text));
  } catch {
    throw new DaemonError(url, "answers with an unknown form of status");
  }
}

/**
 * Reads the metrics of a daemon.
 *
 * @param url Operator listener.
 * @returns Prometheus text.
 * @throws {DaemonError} Without an answer.
 */
export function readMetrics(url: string): Promise<string> {
  return call(url, "/metrics", "GET");
}

/**
 * Starts or cancels the drain of a daemon.
 *
 * @param url Operator listener.
 * @param action Whether to start or to cancel.
 * @throws {DaemonError} Without an answer.
 */
export async function postDrain(
  url: string,
  action: "drain" | "undrain",
): Promise<void> {
  await call(url, `/${action}`, "POST");
}

async function viewDaemon(url: string): Promise<DaemonView> {
  try {
    return { url, status: await readStatus(url) };
  } catch (error) {
    return { url, error: (error as Error).message };
  }
}

/**
 * Reads the status of several daemons, a bounded number at once.
 *
 * @param urls Operator listeners.
 * @returns One view for each, in order.
 */
export async function viewDaemons(
  urls: readonly string[],
): Promise<DaemonView[]> {
  const views: DaemonView[] = [];
  for (let start = 0; start < urls.length; start += CONCURRENCY_MAX) {
    const batch = urls.slice(start, start + CONCURRENCY_MAX);
    views.push(...await Promise.all(batch.map(viewDaemon)));
  }
  return views;
}

/**
 * Lists the operator listeners of the members that daemons name.
 *
 * @param views Daemons that were asked.
 * @returns URLs of members that are not gone, the asked ones included.
 */
export function listMemberUrls(views: readonly DaemonView[]): string[] {
  const members = views.flatMap(({ status }) => status?.members ?? [])
    .filter(({ state }) => state !== "dead" && state !== "left")
    .flatMap(({ operator }) => operator ?? [])
    .map(({ host, port }) =>
      host.includes(":") ? `http://[${host}]:${port}` : `http://${host}:${port}`
    );
  return [...new Set([...views.map(({ url }) => url), ...members])];
}
