/**
 * Membership benchmark: simulated data centres under a virtual clock, and the
 * membership view of one daemon with synthetic members up to the design size.
 */
import { writeFileSync } from "node:fs";
import { loadavg } from "node:os";
import process from "node:process";
import { Cli, Command, Option } from "clipanion";
import { measureFleet } from "./measure_fleet.ts";
import { measureRecords, type RecordCost } from "./measure_records.ts";

function parseSizes(text: string): number[] {
  return text.split(",").map(Number);
}

class MembershipBench extends Command {
  static override paths = [Command.Default];
  json = Option.String("--json", { description: "File for the figures" });
  fleets = Option.String("--fleets", "100,300,870", {
    description: "Simulated daemons of one data centre",
  });
  records = Option.String("--records", "1000,5000,13000,26000", {
    description: "Synthetic members of one view",
  });

  async execute(): Promise<number> {
    const records: RecordCost[] = [];
    for (const membersCount of parseSizes(this.records)) {
      records.push(await measureRecords(membersCount));
    }
    console.table(records);
    const fleets = parseSizes(this.fleets).map(measureFleet);
    this.context.stdout.write(`${JSON.stringify(fleets, null, 1)}\n`);
    if (this.json !== undefined) {
      const report = { records, fleets, loadAverage: loadavg() };
      writeFileSync(this.json, `${JSON.stringify(report, null, 1)}\n`);
    }
    return 0;
  }
}

const cli = new Cli({ binaryName: "npm run bench:membership --" });
cli.register(MembershipBench);
process.exit(await cli.run(process.argv.slice(2)));
