/** Small deployments: a store, and daemons beside endpoints. */
import { Daemon } from "./daemons_2.mjs";
import { Endpoint } from "./endpoint_2.mjs";
import { pause } from "./script_2.mjs";
import { Store } from "./store_2.mjs";

/** Interval of the check-ins of endpoints, as in the settings of the daemons. */
const HEARTBEAT_MS = 1_500;
/** Time for which a new deployment runs before its first request. */
const SETTLE_MS = 1_500;

/** Builds a manifest from rules and tenants in the platform's format. */
export function createManifest({ version = 7, rules, tenants, limits }) {
  const services = [...new Set(rules.map(({ service }) => service))];
  return {
    version,
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 1048576,
      header_timeout: "3000ms",
      idle_timeout: "15000ms",
      ...limits,
    },
    ...(tenants && { tenants }),
    listeners: rules.map((rule, index) => ({
      host: rule.host,
      rule_set: [{
        name: `r-${index}`,
        kind: rule.kind,
        target_latency: "1000ms",
        priority: 1,
        public: rule.isPublic ?? false,
        match: { path_prefix: rule.prefix },
        action: {
          service: rule.service,
          timeout: rule.timeout ?? "1200ms",
          max_attempts: 2,
        },
      }],
    })),
    clusters: services.map((name) => ({
      name,
      health_path: "/health",
      max_connections: 450,
      protocol: "h1",
      tls: false,
    })),
  };
}

/**
 * Starts a store and machines, one for each endpoint, each in a zone of its own.
 * Returns them when all daemons are ready and know each other.
 */
export async function startDeployment(
  { folder, use },
  { manifest, endpoints, bounds, limits },
) {
  const store = use(new Store());
  const storeAddress = `127.0.0.1:${await store.listen("127.0.0.1")}`;
  store.write("config", "main", manifest);
  const machines = [];
  for (const [index, options] of endpoints.entries()) {
    const { workMs, ...fields } = options;
    const zone = `z${index + 1}`;
    const endpoint = use(
      new Endpoint({ id: `i-${index + 1}`, zone, slots: 60, ...fields }),
    );
    endpoint.workMs = workMs;
    await endpoint.listen();
    const daemon = use(
      new Daemon({
        folder,
        index: index + 1,
        zone,
        endpoint,
        storeAddress,
        bounds,
        limits,
      }),
    );
    daemon.start();
    machines.push({ endpoint, daemon });
  }
  await Promise.all(machines.map(({ daemon }) => daemon.waitUntilReady()));
  for (const { endpoint, daemon } of machines) {
    await endpoint.startHeartbeats(daemon.control, HEARTBEAT_MS);
  }
  await pause(SETTLE_MS);
  return { store, machines };
}

/**
 * Sends requests at random times. Returns a function that stops this and waits for
 * the answers.
 */
export function startTraffic(perS, sendOne) {
  let isStopped = false;
  const open = new Set();
  const next = () => {
    if (isStopped) {
      return;
    }
    const sent = sendOne();
    if (sent !== undefined) {
      open.add(sent);
      sent.finally(() => open.delete(sent));
    }
    setTimeout(next, -Math.log(1 - Math.random()) * 1_000 / perS);
  };
  next();
  return async () => {
    isStopped = true;
    await Promise.all(open);
  };
}
