/** All metrics of a daemon with their meaning and advice for operators. */

/** Description of one metric on the operators' page. */
export type MetricDescription = {
  readonly kind: "counter" | "gauge" | "summary";
  readonly labels: readonly string[];
  /** Meaning of the value. */
  readonly help: string;
  /** Advice to operators on an unusual value. */
  readonly advice: string;
};

/** Descriptions of the metrics by name. */
export const METRICS = {
  goldcrest_requests_total: {
    kind: "counter",
    labels: ["side", "pool", "class", "result"],
    help: "Finished requests by result; side is outbound where the daemon " +
      "chose the upstream and inbound beside the upstream",
    advice: "Compare result=complete with the sheds of each class. Sheds of " +
      "critical while background is complete are a fault to report",
  },
  goldcrest_attempts_total: {
    kind: "counter",
    labels: ["side", "pool", "class"],
    help: "Attempts that were sent for finished requests",
    advice:
      "Over 1.1 times the requests for 10 s means that the retry budget " +
      "is exceeded; look for a pool whose upstreams fail",
  },
  goldcrest_request_latency_ms: {
    kind: "summary",
    labels: ["side", "tenant", "class"],
    help: "Time from arrival to end, quantiles over the last minute at most",
    advice: "Look at the queue wait first; if that is small, the upstream " +
      "itself is slow",
  },
  goldcrest_queue_wait_ms: {
    kind: "summary",
    labels: ["tenant", "class"],
    help: "Time in the queue beside the upstream",
    advice: "Steadily over 20 ms means overload: add upstreams, or lower " +
      "slotsCount if the upstream is slower than its table says",
  },
  goldcrest_in_flight: {
    kind: "gauge",
    labels: [],
    help: "Requests that run on the own upstream",
    advice: "At the limit for long: the pool is too small for its load",
  },
  goldcrest_limit: {
    kind: "gauge",
    labels: [],
    help: "Concurrency limit of the own upstream",
    advice: "Far below the table's slotsCount: the upstream is slow or " +
      "reports load",
  },
  goldcrest_queue_length: {
    kind: "gauge",
    labels: [],
    help: "Requests that wait for the own upstream",
    advice: "Near queueMaxCount: requests are refused with queue_full",
  },
  goldcrest_admission_level: {
    kind: "gauge",
    labels: [],
    help: "Rank below which requests are admitted; 512 admits all",
    advice: "Below 384 background is shed, below 256 standard too. Find out " +
      "which service is slow before adding capacity",
  },
  goldcrest_open_exchanges: {
    kind: "gauge",
    labels: [],
    help: "HTTP exchanges that are open on all listeners",
    advice: "During a drain this is the work that a stop would cut",
  },
  goldcrest_callers_refused_total: {
    kind: "counter",
    labels: ["reason"],
    help: "Callers refused or closed to protect the process",
    advice: "Any growth of another reason than body_too_large: look for " +
      "`Caller refused` in the logs. Raise the limits under machine if the " +
      "machine has more",
  },
  goldcrest_caller_held_bytes: {
    kind: "gauge",
    labels: [],
    help: "Bytes of request bodies that are held for callers or announced",
    advice: "Bounded by memoryMaxBytes: callers are refused with memory_short",
  },
  goldcrest_caller_connections: {
    kind: "gauge",
    labels: [],
    help: "Open connections of callers, other daemons and the local upstream",
    advice: "0.6 of descriptorsMaxCount at most: idle connections are closed",
  },
  goldcrest_input_delay_ms: {
    kind: "gauge",
    labels: [],
    help: "Longest time for which input that is read now may have waited",
    advice: "100 and more: the process is behind, and starts requests only " +
      "after it has read what has arrived behind them",
  },
  goldcrest_config_generation: {
    kind: "gauge",
    labels: [],
    help: "Generation of the configuration in force; 0 before the first one",
    advice: "Differs between daemons for over 5 s: look at the platform and " +
      "at the peers of the daemon that is behind",
  },
  goldcrest_config_confirmed_age_ms: {
    kind: "gauge",
    labels: [],
    help: "Time since a peer or the platform last confirmed the configuration",
    advice: "Grows during an outage of the platform; see platform_outage.md",
  },
  goldcrest_members_alive: {
    kind: "gauge",
    labels: [],
    help: "Instances that this daemon holds alive, itself included",
    advice: "Compare with the instances that you run; a difference between " +
      "daemons is a partition",
  },
  goldcrest_members_suspect: {
    kind: "gauge",
    labels: [],
    help: "Instances that miss probes",
    advice: "Many at once: a network fault or too little processor time",
  },
  goldcrest_leases_held: {
    kind: "gauge",
    labels: [],
    help: "Leases that this daemon holds",
    advice: "The sum over all daemons is 2 per data centre for the readers " +
      "and 1 for the acceptor",
  },
  goldcrest_draining: {
    kind: "gauge",
    labels: [],
    help: "1 while the daemon refuses new work",
    advice: "1 without a planned stop: someone posted /drain; post /undrain",
  },
} as const satisfies Record<string, MetricDescription>;

/** Name of a metric that {@link METRICS} describes. */
export type MetricName = keyof typeof METRICS;
