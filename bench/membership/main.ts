/** Membership benchmark: costs per member and update in growing fleets. */
import { writeFileSync } from "node:fs";
import process from "node:process";
import { Cli, Command, Option } from "clipanion";
import {
  type FleetFigures,
  measureFleet,
  type MemberCost,
} from "./measure_fleet.ts";
import { measureRecords } from "./measure_records.ts";
import { measureTransport } from "./measure_transport.ts";

const DEFAULT_STEPS = [25, 50, 100, 200];
const DESIGN_MEMBERS_COUNT = 26_000;

function formatCost({ messages, bytes, cpuUs }: MemberCost): string {
  return `${messages.toFixed(2)} messages, ${bytes.toFixed(0)} bytes, ${
    cpuUs.toFixed(0)
  } us`;
}

function printFleet(figures: FleetFigures): void {
  process.stdout.write(`
${figures.membersCount} members, for each member
  steady state, per second   ${formatCost(figures.steadyPerS)}
  one update                 ${formatCost(figures.perUpdate)}
  join of all at once        ${formatCost(figures.joinOfAll)}
  joined everywhere          ${figures.joinMs.toFixed(0)} ms
  leaving to the last        ${figures.leavingToLastMs.toFixed(0)} ms
  killed to the last         ${figures.killedToLastMs.toFixed(0)} ms
  frozen to the last         ${figures.frozenToLastMs.toFixed(0)} ms
`);
}

/** Measures fleets in steps, the records, and the transport. */
class MembershipCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Measures the membership under a virtual clock, seed 1",
  });

  steps = Option.Array("--step", {
    description: "Members of a fleet; may be repeated",
  });
  json = Option.String("--json", { description: "Writes all figures to FILE" });

  async execute(): Promise<number> {
    const records = measureRecords(DESIGN_MEMBERS_COUNT);
    process.stdout.write(
      `${records.membersCount} records: ${
        records.bytesPerMember.toFixed(0)
      } bytes each, ${records.applyCpuUs.toFixed(1)} us to apply\n`,
    );
    const transport = await measureTransport();
    process.stdout.write(
      `probe over gRPC: ${
        transport.wireBytesPerProbe.toFixed(0)
      } bytes on the wire, ${
        transport.cpuUsPerProbe.toFixed(0)
      } us on both sides\n`,
    );
    const fleets: FleetFigures[] = [];
    for (const step of this.steps?.map(Number) ?? DEFAULT_STEPS) {
      const figures = measureFleet(step);
      printFleet(figures);
      fleets.push(figures);
    }
    if (this.json !== undefined) {
      const result = { records, transport, fleets };
      writeFileSync(this.json, `${JSON.stringify(result, null, 1)}\n`);
    }
    return 0;
  }
}

process.exit(
  await Cli.from([MembershipCommand], { binaryName: "bench:membership" })
    .run(process.argv.slice(2), Cli.defaultContext),
);
