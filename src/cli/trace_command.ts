/** `trace`: finds the cause of a request's outcome in log files. */
import { Command, Option } from "clipanion";
import { readInputFile } from "./apply_command.ts";
import { BaseCommand, CommandError } from "./base_command.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { formatLine, parseLog, traceRequest } from "./request_trace.ts";

/** Prints the log lines of a request and of its downstream calls, and the cause. */
export class TraceCommand extends BaseCommand {
  static override paths = [["trace"]];
  static override usage = Command.Usage({
    description: "Tell from logs what happened to a request",
    details: `
      Reads the log files of any number of daemons and prints what they say of
      the request and of its calls in the order of time, and the cause.

      Exit codes: 0 found, 1 no line names the request, 2 bad input.
    `,
    examples: [[
      "Explain a failed request",
      "goldcrestrelay trace 4ee9978fe8e5985a logs/*.log",
    ]],
  });

  requestId = Option.String({ name: "REQUEST_ID" });
  files = Option.Rest({ required: 1, name: "FILE" });

  /** @inheritdoc */
  override async run(): Promise<ExitCode> {
    const texts = await Promise.all(this.files.map(readInputFile));
    const trace = traceRequest(texts.flatMap(parseLog), this.requestId);
    if (trace.lines.length === 0) {
      throw new CommandError(
        EXIT_CODES.error,
        `No line names the request ${this.requestId}; its daemon may have left it out to bound the log`,
      );
    }
    this.print(trace, [
      ...trace.lines.map(formatLine),
      `Cause: ${trace.cause}`,
    ]);
    return EXIT_CODES.applied;
  }
}
