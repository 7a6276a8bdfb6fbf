/** Readable log of the messages of a session, for golden files. */
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { fileURLToPath } from "node:url";
import type { CallRecord } from "../../stand_ins/call_record.ts";
import type { Direction, TcpRelay } from "./tcp_relay.ts";

const HEAD_END = "\r\n\r\n";
const SHOWN_HEADER = /^(goldcrest-|idempotency-key|retry-after)/i;
const UUID = /[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}/g;
const GOLDEN_FOLDER = new URL("../../../golden/", import.meta.url);

/** Fields of the hop and answer headers whose values differ between runs. */
const VARYING_FIELDS: readonly [RegExp, string][] = [
  [/\d{5,}\.k1\.[\w-]{22}/g, "<token>"],
  [/;1[5-9]\d{11};/g, ";<incarnation>;"],
  // The admission key is a hash of the request id.
  [/^(goldcrest-hop: (?:[^;]*;){9})\d+/, "$1<admission key>"],
  [/;\d+,(\d+),\d+;<token>/g, ";<remaining ms>,$1,<sent at ms>;<token>"],
  [/^(goldcrest-deadline-ms: )\d+/i, "$1<remaining ms>"],
];

/**
 * Records the heads of the HTTP messages that pass through relays, in order: the
 * first line and the headers of `SHOWN_HEADER`. A head is found only if it
 * arrives in one chunk.
 *
 * @example
 * const log = new SessionLog();
 * log.watch("hop", instance.hopRelay);
 * const { actual, expected } = log.loadGolden("enrolment");
 */
export class SessionLog {
  readonly #lines: string[] = [];
  readonly #names = new Map<string, string>();

  /**
   * Records the messages of a relay.
   *
   * @param name Name of the connection in the log.
   * @param relay Relay that the messages pass through.
   */
  watch(name: string, relay: TcpRelay): void {
    relay.observe((direction, chunk) => this.#add(name, direction, chunk));
  }

  /**
   * Records a call and its answer.
   *
   * @param title Description of the call.
   * @param record Record of the call.
   */
  addCall(title: string, record: CallRecord): void {
    const { status, outcome, errorKind, whole, requestId } = record;
    this.#lines.push(
      `caller: ${title}`,
      `  request id ${this.#nameOf(requestId)}`,
      `  status ${status}, outcome ${outcome}, error ${
        errorKind || "none"
      }, whole answer ${whole ? "yes" : "no"}`,
      "",
    );
  }

  /**
   * Returns the session with its golden file for comparison. Writes the file
   * first when the environment variable `GOLDEN_UPDATE` is set.
   *
   * @param name Name of the file without its extension.
   * @returns The session and the content of the golden file.
   */
  loadGolden(name: string): { actual: string; expected: string } {
    const path = fileURLToPath(new URL(`${name}.txt`, GOLDEN_FOLDER));
    const actual = this.#lines.join("\n");
    if (process.env.GOLDEN_UPDATE !== undefined) {
      writeFileSync(path, actual);
    }
    return { actual, expected: readFileSync(path, "utf8") };
  }

  #add(name: string, direction: Direction, chunk: Buffer): void {
    const text = chunk.toString("latin1");
    const end = text.indexOf(HEAD_END);
    if (end < 0) {
      return;
    }
    const [first = "", ...headers] = text.slice(0, end).split("\r\n");
    const arrow = direction === "toTarget" ? "->" : "<-";
    const shown = headers.filter((header) => SHOWN_HEADER.test(header));
    this.#lines.push(
      `${name} ${arrow} ${this.#normalise(first)}`,
      ...shown.map((header) => `  ${this.#normalise(header)}`),
      "",
    );
  }

  #normalise(line: string): string {
    const named = line.replace(UUID, (id) => this.#nameOf(id));
    return VARYING_FIELDS.reduce(
      (text, [pattern, replacement]) => text.replace(pattern, replacement),
      named,
    );
  }

  #nameOf(id: string): string {
    const name = this.#names.get(id) ?? `<id ${this.#names.size + 1}>`;
    this.#names.set(id, name);
    return name;
  }
}
