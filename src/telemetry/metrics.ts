/** Metrics of one daemon in Prometheus text format. */
import { collectDefaultMetrics, Counter, Gauge, Registry } from "prom-client";
import { CALLER_REFUSALS, type CallerRefusal } from "./caller_refusals.ts";
import { type MetricName, METRICS } from "./metric_descriptions.ts";
import { RequestMetrics } from "./request_metrics.ts";
import { summariesText } from "./summaries_text.ts";

/** Current values of the gauges, read each time the metrics are written. */
export type GaugeValues = Readonly<Record<GaugeName, number>>;

/** Name of a metric that {@link METRICS} describes as a gauge. */
export type GaugeName = {
  [N in MetricName]: typeof METRICS[N]["kind"] extends "gauge" ? N : never;
}[MetricName];

// The default of 10 ms wakes an idle daemon 100 times per second.
const LOOP_SAMPLE_INTERVAL_MS = 200;

function isGauge(name: MetricName): name is GaugeName {
  return METRICS[name].kind === "gauge";
}

/**
 * Metrics of a daemon. Each daemon has its own registry, so that the metrics of
 * several daemons in one process, as in tests, are not added together.
 *
 * @example
 * const metrics = new Metrics(() => readGauges());
 * await metrics.text();
 */
export class Metrics {
  /** Counts and latencies of finished requests. */
  readonly requests = new RequestMetrics();
  readonly #registry = new Registry();
  readonly #readGauges: () => GaugeValues;
  readonly #gauges = new Map<GaugeName, Gauge>();

  /**
   * @param readGauges Reads the current values of all gauges.
   * @param refusalsCount Returns how often callers were refused for a reason.
   */
  constructor(
    readGauges: () => GaugeValues,
    refusalsCount: (reason: CallerRefusal) => number,
  ) {
    this.#readGauges = readGauges;
    this.#registerRefusals(refusalsCount);
    this.#registerRequests();
    this.#registerAttempts();
    this.#registerGauges();
  }

  /**
   * Adds the metrics of the Node.js process. They register process-wide
   * observers, so tests omit them.
   */
  collectProcessMetrics(): void {
    collectDefaultMetrics({
      register: this.#registry,
      eventLoopMonitoringPrecision: LOOP_SAMPLE_INTERVAL_MS,
    });
  }

  /**
   * Registry of the counters and gauges; the latency summaries are not part of
   * it.
   *
   * @returns Registry of this daemon.
   */
  get registry(): Registry {
    return this.#registry;
  }

  /**
   * Writes all metrics.
   *
   * @returns Prometheus text format.
   */
  async text(): Promise<string> {
    // All gauges are read in one call, since each call iterates over all members.
    const values = this.#readGauges();
    for (const [name, gauge] of this.#gauges) {
      gauge.set(values[name]);
    }
    const registered = await this.#registry.metrics();
    return `${registered}\n${summariesText(this.requests.listTenantSeries())}`;
  }

  #registerRequests(): void {
    const { requests } = this;
    new Counter({
      name: "goldcrest_requests_total",
      help: METRICS.goldcrest_requests_total.help,
      labelNames: METRICS.goldcrest_requests_total.labels,
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const series of requests.listPoolSeries()) {
          const { side, pool, importanceClass } = series;
          for (const [result, count] of series.counts) {
            this.inc({ side, pool, class: importanceClass, result }, count);
          }
        }
      },
    });
  }

  #registerAttempts(): void {
    const { requests } = this;
    new Counter({
      name: "goldcrest_attempts_total",
      help: METRICS.goldcrest_attempts_total.help,
      labelNames: METRICS.goldcrest_attempts_total.labels,
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const series of requests.listPoolSeries()) {
          const { side, pool, importanceClass, attemptsCount } = series;
          this.inc({ side, pool, class: importanceClass }, attemptsCount);
        }
      },
    });
  }

  #registerRefusals(refusalsCount: (reason: CallerRefusal) => number): void {
    new Counter({
      name: "goldcrest_callers_refused_total",
      help: METRICS.goldcrest_callers_refused_total.help,
      labelNames: METRICS.goldcrest_callers_refused_total.labels,
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const reason of CALLER_REFUSALS) {
          this.inc({ reason }, refusalsCount(reason));
        }
      },
    });
  }

  #registerGauges(): void {
    for (const name of (Object.keys(METRICS) as MetricName[]).filter(isGauge)) {
      const { help } = METRICS[name];
      const gauge = new Gauge({ name, help, registers: [this.#registry] });
      this.#gauges.set(name, gauge);
    }
  }
}
