/** Schema of a state chart file. */
import { z } from "zod";

const nameSchema = z.string().regex(
  /^[a-z][A-Za-z0-9]*$/,
  "Must be a name in camelCase",
);

const transitionSchema = z.strictObject({
  target: nameSchema.optional().describe(
    "Next state; by default the current one",
  ),
  guard: nameSchema.optional().describe("Method that must return true"),
  actions: z.array(nameSchema).default([]).describe("Methods called in order"),
});

const stateSchema = z.strictObject({
  final: z.literal(true).optional(),
  ignore: z.array(nameSchema).default([]),
  on: z.record(
    nameSchema,
    z.union([transitionSchema, z.array(transitionSchema).min(1)]),
  ).default({}),
});

/** Schema of one `charts/*.jsonc` file. */
export const chartSchema = z.strictObject({
  name: z.string().min(1),
  description: z.string().min(1),
  initial: nameSchema,
  events: z.array(nameSchema).min(1),
  states: z.record(nameSchema, stateSchema),
});

/** A parsed state chart. */
export type Chart = z.infer<typeof chartSchema>;
/** One state of a chart. */
export type ChartState = z.infer<typeof stateSchema>;
/** One transition of a chart. */
export type ChartTransition = z.infer<typeof transitionSchema>;
