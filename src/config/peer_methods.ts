/** Requests about the configuration between daemons. */
import {
  chunkAnswerSchema,
  chunkRequestSchema,
  compareAnswerSchema,
  compareRequestSchema,
  configStepSchema,
  floodAnswerSchema,
} from "../schemas/config_schema.ts";

/** Floods one step to a neighbour; the answer states the neighbour's head. */
export const FLOOD_METHOD = {
  name: "config.flood",
  request: configStepSchema,
  answer: floodAnswerSchema,
} as const;

/** Compares heads; the answer carries the steps that the asker lacks. */
export const COMPARE_METHOD = {
  name: "config.compare",
  request: compareRequestSchema,
  answer: compareAnswerSchema,
} as const;

/** Asks for one chunk of a full copy. */
export const CHUNK_METHOD = {
  name: "config.chunk",
  request: chunkRequestSchema,
  answer: chunkAnswerSchema,
} as const;
