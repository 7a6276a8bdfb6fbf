/** `explain`: prints the route, class, pool and bounds of a request, with reasons. */
import { Command, Option } from "clipanion";
import { checkPair, type TableTexts } from "../config/pair_checker.ts";
import { readInput } from "./apply_command.ts";
import { baseTexts, requireValidPair } from "./edit_plan.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { describeExplanation, explainRoute } from "./explain_route.ts";
import { CommandError, PlatformCommand } from "./relay_command.ts";
import { TableWriter } from "./table_writer.ts";

/** Command `explain`. */
export class ExplainCommand extends PlatformCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Explain which rules apply to a request",
    details: `
      Reads the stored tables, or both files. The stored tables may be newer
      than the configuration in force; compare the generation with \`status\`.

      Exit codes: 0 explained, 1 no route matches or the platform fails, 2 bad
      input.
    `,
    examples: [[
      "Explain a call of a tenant",
      "goldcrestrelay explain GET /logs/7 --tenant workshop-dakar",
    ]],
  });

  method = Option.String({ name: "METHOD" });
  requestPath = Option.String({ name: "PATH" });
  tenant = Option.String("--tenant", "default", {
    description: "Tenant of the caller",
  });
  routes = Option.String("--routes", { description: "File of the routes" });
  pools = Option.String("--pools", { description: "File of the pools" });

  /** @inheritdoc */
  override async run(): Promise<ExitCode> {
    const texts = await this.#readTexts();
    requireValidPair(texts, {
      routes: this.routes ?? "tables/routes",
      pools: this.pools ?? "tables/pools",
    });
    const checked = checkPair(texts);
    const explanation = checked.kind === "valid" &&
      explainRoute(checked.tables, {
        method: this.method.toUpperCase(),
        path: this.requestPath,
        tenant: this.tenant,
      });
    if (!explanation) {
      const message = `No route matches ${this.method} ${this.requestPath}`;
      throw new CommandError(EXIT_CODES.error, message);
    }
    this.print(explanation, describeExplanation(explanation));
    return EXIT_CODES.applied;
  }

  async #readTexts(): Promise<TableTexts> {
    const { routes, pools } = this;
    if (routes !== undefined && pools !== undefined) {
      return { routes: await readInput(routes), pools: await readInput(pools) };
    }
    return await this.withPlatform(async (platform) => {
      const writer = new TableWriter(platform);
      const stored = baseTexts({
        routes: await writer.read("routes"),
        pools: await writer.read("pools"),
      });
      return {
        routes: routes ? await readInput(routes) : stored.routes,
        pools: pools ? await readInput(pools) : stored.pools,
      };
    });
  }
}
