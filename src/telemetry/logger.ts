/** Structured logs: one JSON object a line. */
import loglevel from "loglevel";

/** Values that a log line carries besides its message. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes structured log lines. */
export interface Logger {
  /** Details for developers. */
  debug(message: string, fields?: LogFields): void;
  /** Normal events of the life cycle. */
  info(message: string, fields?: LogFields): void;
  /** Something failed and the daemon continues without it. */
  warn(message: string, fields?: LogFields): void;
  /** Something failed that an operator must look at. */
  error(message: string, fields?: LogFields): void;
}

/** Least important level that is written. */
export type LogLevel =
  | "trace"
  | "debug"
  | "info"
  | "warn"
  | "error"
  | "silent";

/** Options of {@link JsonLogger}. */
export type JsonLoggerOptions = {
  level: LogLevel;
  /** Fields of every line, for example the instance. */
  fields?: LogFields;
  /** Writes one line with its line end. */
  write?: (line: string) => void;
  /** Reads the wall clock, in ms since the epoch. */
  wallMs?: () => number;
};

// A caller that passes a settings object or a request on by mistake must not
// disclose these.
const WITHHELD_FIELDS: ReadonlySet<string> = new Set([
  "secret",
  "token",
  "authorization",
  "body",
]);

function withhold(name: string, value: unknown): unknown {
  return WITHHELD_FIELDS.has(name.toLowerCase()) ? "withheld" : value;
}

function writeStderr(line: string): void {
  process.stderr.write(line);
}

/**
 * Logger that writes JSON lines through `loglevel`.
 *
 * @example
 * const log = new JsonLogger({ level: "info", fields: { instance: "certify-1" } });
 * log.info("Listening", { port: 8080 });
 */
export class JsonLogger implements Logger {
  readonly #logger: loglevel.Logger;

  /**
   * @param options Level, common fields and destination.
   */
  constructor(options: JsonLoggerOptions) {
    const { write = writeStderr, wallMs = Date.now, fields = {} } = options;
    // A symbol as name keeps each logger apart from loglevel's shared ones.
    this.#logger = loglevel.getLogger(Symbol("goldcrestrelay"));
    this.#logger.methodFactory = (level) => (message, extra: LogFields) => {
      const time = new Date(wallMs()).toISOString();
      const line = { time, level, message, ...fields, ...extra };
      write(`${JSON.stringify(line, withhold)}\n`);
    };
    this.#logger.setLevel(options.level, false);
  }

  /** @inheritdoc */
  debug(message: string, fields: LogFields = {}): void {
    this.#logger.debug(message, fields);
  }

  /** @inheritdoc */
  info(message: string, fields: LogFields = {}): void {
    this.#logger.info(message, fields);
  }

  /** @inheritdoc */
  warn(message: string, fields: LogFields = {}): void {
    this.#logger.warn(message, fields);
  }

  /** @inheritdoc */
  error(message: string, fields: LogFields = {}): void {
    this.#logger.error(message, fields);
  }
}

/** Drops all lines, for tests and tools without logs. */
export class NullLogger implements Logger {
  /** @inheritdoc */
  debug(_message: string, _fields?: LogFields): void {}
  /** @inheritdoc */
  info(_message: string, _fields?: LogFields): void {}
  /** @inheritdoc */
  warn(_message: string, _fields?: LogFields): void {}
  /** @inheritdoc */
  error(_message: string, _fields?: LogFields): void {}
}

/**
 * Describes an error for a log line. Stacks are left out, since a line must
 * stay readable; `VError` messages name the causes.
 *
 * @param error Thrown value.
 * @returns Fields `error` and, where the error has a code, `code`.
 *
 * @example
 * log.warn("Lease was not renewed", errorFields(error));
 */
export function errorFields(error: unknown): LogFields {
  if (!(error instanceof Error)) {
    return { error: String(error) };
  }
  const { code } = error as NodeJS.ErrnoException;
  return { error: error.message, code };
}
