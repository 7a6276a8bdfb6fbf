/** Requests between daemons for the distribution of the configuration. */
import {
  chunkAnswerSchema,
  chunkRequestSchema,
  compareAnswerSchema,
  compareRequestSchema,
  configStepSchema,
  floodAnswerSchema,
} from "../schemas/config_schema.ts";

/** Sends one step to a neighbour; the answer contains the neighbour's head. */
export const FLOOD_METHOD = {
  name: "config.flood",
  request: configStepSchema,
  answer: floodAnswerSchema,
} as const;

/** Compares heads; the answer contains the steps that the sender lacks. */
export const COMPARE_METHOD = {
  name: "config.compare",
  request: compareRequestSchema,
  answer: compareAnswerSchema,
} as const;

/** Requests one chunk of a full copy. */
export const CHUNK_METHOD = {
  name: "config.chunk",
  request: chunkRequestSchema,
  answer: chunkAnswerSchema,
} as const;
