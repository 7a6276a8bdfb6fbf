/** Generates sections of the pages from schemas, error kinds, metrics and charts. */
import type { z } from "zod";
import { CHART_NAMES, readChart } from "../charts/load_chart.ts";
import { formatMermaid } from "../cli/chart_diagram.ts";
import {
  ERROR_ANSWERS,
  errorAnswer,
  type ErrorKind,
  type RetryAdvice,
} from "../errors/error_kinds.ts";
import {
  announcementSchema,
  settingsSchema,
} from "../schemas/settings_schema.ts";
import {
  poolsTableSchema,
  routesTableSchema,
} from "../schemas/tables_schema.ts";
import { type MetricName, METRICS } from "../telemetry/metric_descriptions.ts";
import { ERROR_ADVICE } from "./error_advice.ts";
import { formatTable } from "./markdown_table.ts";
import { listFields } from "./schema_fields.ts";

const RETRY_TEXTS: Readonly<Record<RetryAdvice, string>> = {
  never: "no",
  always: "yes",
  "if-repeatable": "keyed or idempotent only",
  "same-key": "yes, same key",
};

function fieldsSection(schema: z.ZodType): string {
  return formatTable(
    ["field", "meaning", "unit", "default", "bounds"],
    listFields(schema).map((field) => [
      `\`${field.path}\``,
      field.meaning,
      field.unit,
      field.presence,
      field.bounds,
    ]),
  );
}

function errorsSection(): string {
  const kinds = Object.keys(ERROR_ANSWERS) as ErrorKind[];
  return formatTable(
    [
      "kind",
      "HTTP",
      "outcome",
      "caller may retry",
      "after",
      "meaning",
      "what to do",
    ],
    kinds.map((kind) => {
      const answer = errorAnswer(kind);
      return [
        `\`${kind}\``,
        String(answer.status),
        answer.outcome,
        RETRY_TEXTS[answer.retry],
        answer.retryAfterS === undefined ? "" : `${answer.retryAfterS} s`,
        answer.message,
        ERROR_ADVICE[kind],
      ];
    }),
  );
}

function metricsSection(): string {
  return formatTable(
    ["metric", "kind", "labels", "meaning", "what to do"],
    (Object.keys(METRICS) as MetricName[]).map((name) => {
      const { kind, labels, help, advice } = METRICS[name];
      return [`\`${name}\``, kind, labels.join(", "), help, advice];
    }),
  );
}

function chartsSection(): string {
  return CHART_NAMES.map((name) => {
    const chart = readChart(name);
    const diagram = ["```mermaid", ...formatMermaid(chart), "```"].join("\n");
    return `## ${name}\n\n${chart.description}.\n\n${diagram}`;
  }).join("\n\n");
}

/** Generators by section name, as in the markers of the pages. */
export const SECTION_GENERATORS: Readonly<Record<string, () => string>> = {
  routes: () => fieldsSection(routesTableSchema),
  pools: () => fieldsSection(poolsTableSchema),
  settings: () => fieldsSection(settingsSchema),
  announcement: () => fieldsSection(announcementSchema),
  errors: errorsSection,
  metrics: metricsSection,
  charts: chartsSection,
};
