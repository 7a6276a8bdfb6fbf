/** Schema of a state chart file. */
import { z } from "zod";

const camelCaseSchema = z.string().regex(
  /^[a-z][A-Za-z0-9]*$/,
  "Must be a name in camelCase",
);

const transitionSchema = z.strictObject({
  target: camelCaseSchema.optional().describe(
    "Next state; by default the current one",
  ),
  guard: camelCaseSchema.optional().describe("Method that must return true"),
  actions: z.array(camelCaseSchema).default([]).describe(
    "Methods called in order",
  ),
});

const stateSchema = z.strictObject({
  /** Whether the chart ends in the state. */
  final: z.literal(true).optional(),
  /** Events that have no effect in the state. */
  ignore: z.array(camelCaseSchema).default([]),
  /** Transitions by event, in the order in which their guards are tried. */
  on: z.record(
    camelCaseSchema,
    z.union([transitionSchema, z.array(transitionSchema).min(1)]),
  ).default({}),
});

/** Schema of one `charts/*.jsonc` file. */
export const chartSchema = z.strictObject({
  name: z.string().min(1),
  description: z.string().min(1),
  initial: camelCaseSchema,
  events: z.array(camelCaseSchema).min(1),
  states: z.record(camelCaseSchema, stateSchema),
});

/** A parsed state chart. */
export type Chart = z.infer<typeof chartSchema>;
/** One state of a chart. */
export type ChartState = z.infer<typeof stateSchema>;
/** One transition of a chart. */
export type ChartTransition = z.infer<typeof transitionSchema>;
