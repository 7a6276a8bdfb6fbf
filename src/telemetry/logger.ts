/** Structured logs: one JSON object per line. */
import loglevel from "loglevel";

/** Fields of a log line in addition to its message. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes structured log lines. */
export interface Logger {
  /** Logs details for developers. */
  debug(message: string, fields?: LogFields): void;
  /** Logs normal events of the life cycle. */
  info(message: string, fields?: LogFields): void;
  /** Logs a failure that the daemon tolerates. */
  warn(message: string, fields?: LogFields): void;
  /** Logs a failure that an operator must investigate. */
  error(message: string, fields?: LogFields): void;
}

/** Lowest level that is written. */
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
  /** Fields that are added to every line, for example the instance. */
  fields?: LogFields;
  /** Writes one line with its line end. */
  write?: (line: string) => void;
  /** Reads the wall clock, in ms since the epoch. */
  wallMs?: () => number;
};

// Fields whose values must not be disclosed, even if code logs a settings object
// or a request by mistake.
const REDACTED_FIELDS: ReadonlySet<string> = new Set([
  "secret",
  "token",
  "authorization",
  "body",
]);

function redact(name: string, value: unknown): unknown {
  return REDACTED_FIELDS.has(name.toLowerCase()) ? "withheld" : value;
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
    // Loggers with a string as name are shared; a symbol creates a separate one.
    this.#logger = loglevel.getLogger(Symbol("goldcrestrelay"));
    this.#logger.methodFactory = (level) => (message, extra: LogFields) => {
      const time = new Date(wallMs()).toISOString();
      const line = { time, level, message, ...fields, ...extra };
      write(`${JSON.stringify(line, redact)}\n`);
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
 * Converts an error to log fields. The stack is omitted to keep lines readable;
 * the message of a `VError` includes those of its causes.
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
