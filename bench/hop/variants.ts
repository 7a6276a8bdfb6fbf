/** The three paths to the upstream that the hop benchmark compares. */
import { z } from "zod";
import type {
  ProgramGroup,
  StartedProgram,
} from "../../stand_ins/program_group.ts";

const portSchema = z.object({ port: z.int() });
const daemonReadySchema = z.object({
  incarnationEpochMs: z.number(),
  callersPort: z.int(),
  hopPort: z.int(),
});

/** Name of a path to the upstream. */
export type VariantName = "direct" | "pass-through" | "daemons";

/** One path to the upstream. */
export type Variant = {
  readonly name: VariantName;
  /** Origin that the load is sent to. */
  readonly origin: string;
  /** Processes between caller and upstream, nearest to the caller first. */
  readonly hops: readonly StartedProgram[];
};

function originOf(port: number): string {
  return `http://127.0.0.1:${port}`;
}

async function startPassThrough(
  programs: ProgramGroup,
  upstreamPort: number,
): Promise<Variant> {
  const program = "bench/hop/pass_through.js";
  const second = await programs.start(program, [originOf(upstreamPort)]);
  const secondPort = portSchema.parse(second.ready).port;
  const first = await programs.start(program, [originOf(secondPort)]);
  const { port } = portSchema.parse(first.ready);
  return {
    name: "pass-through",
    origin: originOf(port),
    hops: [first, second],
  };
}

async function startDaemons(
  programs: ProgramGroup,
  upstreamPort: number,
): Promise<Variant> {
  const program = "bench/hop/bench_daemon.js";
  const start = (settings: unknown) =>
    programs.start(program, [JSON.stringify(settings)]);
  const second = await start({ instanceId: "logbook-1", upstreamPort });
  const { incarnationEpochMs, hopPort } = daemonReadySchema.parse(second.ready);
  const first = await start({
    instanceId: "entry-1",
    target: { instanceId: "logbook-1", incarnationEpochMs, hopPort },
  });
  const { callersPort } = daemonReadySchema.parse(first.ready);
  return {
    name: "daemons",
    origin: originOf(callersPort),
    hops: [first, second],
  };
}

/**
 * Starts one upstream and the three paths to it.
 *
 * @param programs Group that stops the processes.
 * @returns Direct calls, two bare proxies and two daemons.
 */
export async function startVariants(
  programs: ProgramGroup,
): Promise<Variant[]> {
  const upstream = await programs.start(
    "bench/hop/fixed_answer_upstream.js",
    [],
  );
  const { port } = portSchema.parse(upstream.ready);
  return [
    { name: "direct", origin: originOf(port), hops: [] },
    await startPassThrough(programs, port),
    await startDaemons(programs, port),
  ];
}
