/** `charts`: prints a state chart as a diagram. */
import { Command, Option } from "clipanion";
import { CHART_NAMES, readChart } from "../charts/load_chart.ts";
import { BaseCommand, CommandError } from "./base_command.ts";
import { formatMermaid, formatPlainText } from "./chart_diagram.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";

/** Prints one chart, or the names of all charts. */
export class ChartsCommand extends BaseCommand {
  static override paths = [["charts"]];
  static override usage = Command.Usage({
    description: "Print a life cycle as a diagram",
    details: `
      Without a name, lists the life cycles. Exit codes: 0 printed, 2 unknown
      name.
    `,
    examples: [["Draw for Mermaid", "goldcrestrelay charts lease --mermaid"]],
  });

  chart = Option.String({ required: false, name: "NAME" });
  mermaid = Option.Boolean("--mermaid", false, {
    description: "Print a Mermaid state diagram",
  });

  /** @inheritdoc */
  override async run(): Promise<ExitCode> {
    if (this.chart === undefined) {
      this.print({ charts: CHART_NAMES }, CHART_NAMES);
      return EXIT_CODES.applied;
    }
    const name = CHART_NAMES.find((item) => item === this.chart);
    if (name === undefined) {
      const message = `No chart "${this.chart}"; one of ${
        CHART_NAMES.join(", ")
      }`;
      throw new CommandError(EXIT_CODES.badInput, message);
    }
    const chart = readChart(name);
    this.print(
      chart,
      this.mermaid ? formatMermaid(chart) : formatPlainText(chart),
    );
    return EXIT_CODES.applied;
  }
}
