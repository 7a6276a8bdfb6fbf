/** `explain`: prints the route, class, pool and bounds of a request, with reasons. */
import { Command, Option } from "clipanion";
import { checkPair, type TableTexts } from "../config/pair_checker.ts";
import { readInputFile } from "./apply_command.ts";
import { CommandError, PlatformCommand } from "./base_command.ts";
import { requireValidPair, textsOf } from "./edit_plan.ts";
import { EXIT_CODES, type ExitCode } from "./exit_codes.ts";
import { describeExplanation, explainRoute } from "./explain_route.ts";
import { TableClient } from "./table_client.ts";

/** Explains one request with the stored tables, the files, or one of each. */
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
    // Always valid here; `requireValidPair` throws otherwise.
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
      return {
        routes: await readInputFile(routes),
        pools: await readInputFile(pools),
      };
    }
    return await this.withPlatform(async (platform) => {
      const client = new TableClient(platform);
      const stored = textsOf({
        routes: await client.read("routes"),
        pools: await client.read("pools"),
      });
      return {
        routes: routes ? await readInputFile(routes) : stored.routes,
        pools: pools ? await readInputFile(pools) : stored.pools,
      };
    });
  }
}
