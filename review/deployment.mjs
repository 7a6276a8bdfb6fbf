// A small deployment on loopback addresses: the platform's store, endpoints and
// the project's daemons, which run as separate processes with the command of the
// deploy file.
import { spawn } from "node:child_process";
import {
  mkdtempSync,
  readFileSync,
  realpathSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { connect } from "node:net";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { StoreStandIn } from "../dist/platform/testing/store_stand_in.js";
import { describe } from "./client.mjs";
import { Endpoint } from "./endpoint.mjs";

const PORTS = {
  inbound: 8300,
  app: 8301,
  ready: 8302,
  outbound: 8304,
  control: 8306,
  metrics: 7621,
};
/** Bounds of both site files. */
export const BOUNDS = {
  drain: "2000ms",
  grace: "6s",
  stability_window: "3000ms",
  config_apply: "2000ms",
  retry_budget_ratio: 0.2,
  budget_window: "10s",
  budget_slack: 48,
};
const HEARTBEAT_MS = 1_500;
const READY_MAX_MS = 20_000;
const DURATION_MAX_MS = 110_000;
const ZONES = ["dakar-plateau", "thies-nord", "zig-centre"];

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Reads the command that starts a daemon from the deploy file. */
function readCommand() {
  const text = readFileSync("deploy/system.toml", "utf8");
  const run = /^run = "(.*)"$/m.exec(text)[1];
  return run.split(" ");
}

/** Reports whether nothing listens at an address. */
function isFree(host, port) {
  return new Promise((resolve) => {
    const socket = connect({ host, port });
    socket.once("connect", () => {
      socket.destroy();
      resolve(false);
    });
    socket.once("error", () => resolve(true));
  });
}

/** Sends one small HTTP request; resolves with the status, or 0. */
export function call({ host, port, method = "GET", path, body }) {
  return new Promise((resolve) => {
    const sent = request(
      { host, port, method, path, agent: false, timeout: 2_000 },
      (answer) => {
        answer.resume();
        answer.on("end", () => resolve(answer.statusCode));
        answer.on("error", () => resolve(0));
      },
    );
    sent.on("timeout", () => sent.destroy());
    sent.on("error", () => resolve(0));
    sent.end(body);
  });
}

/** One machine: an endpoint, and the daemon beside it. */
class Machine {
  constructor(deployment, { name, service, zone, ip, slots }) {
    this.deployment = deployment;
    this.name = name;
    this.service = service;
    this.zone = zone;
    this.ip = ip;
    this.slots = slots;
    this.endpoint = new Endpoint({ id: `i-${name}`, service, slots });
    this.endpoint.outbound = this.outbound;
    this.born = Date.now();
    this.sequence = 0;
    this.heartbeats = undefined;
    this.child = undefined;
    this.settingsFile = join(deployment.folder, `${name}.jsonc`);
  }

  get outbound() {
    return { host: this.ip, port: PORTS.outbound };
  }

  writeSettings() {
    const address = (port) => `${this.ip}:${port}`;
    const fields = {
      node: this.name,
      role: "relay",
      machine_class: "sidecar",
      serves: ["sidecar"],
      ip: this.ip,
      zone: this.zone,
      listen: {
        inbound: address(PORTS.inbound),
        outbound: address(PORTS.outbound),
        ready: address(PORTS.ready),
        control: address(PORTS.control),
      },
      internal_ports: [7620, 7635],
      seeds: [],
      bootstrap: true,
      limits: { cores: 2, memory_mb: 350, max_fds: 4100, disk_mb: 0 },
      data_dir: null,
      heartbeat: `${HEARTBEAT_MS}ms`,
      bounds: BOUNDS,
      app_addr: address(PORTS.app),
      service: this.service,
      platform: {
        address: `127.0.0.1:${this.deployment.storePort}`,
        form: "objects",
        writes_per_s: 400,
        reads_per_s: 2000,
        history: "20s",
      },
    };
    const template = readFileSync("platform/settings.jsonc.template", "utf8");
    writeFileSync(
      this.settingsFile,
      template.replace("{{.|json}}", () => JSON.stringify(fields)),
    );
  }

  startDaemon() {
    const [program, ...parameters] = readCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(
      program === "node" ? process.execPath : program,
      parameters,
      {
        env: {
          PATH,
          HOME,
          LANG: LANG ?? "C.UTF-8",
          GOLDCRESTRELAY_CONFIG: this.settingsFile,
        },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    this.child = child;
    this.exited = new Promise((resolve) => child.once("exit", resolve));
    child.once("exit", (code, signal) => {
      this.deployment.record(
        `daemon of ${this.name} ended: code ${code}, signal ${signal}`,
      );
    });
    const keep = (chunk) => {
      if (process.env.DAEMON_LOG) {
        process.stderr.write(chunk);
      }
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
  }

  /** Sends a check-in of the endpoint; resolves with the status. */
  heartbeat({ state = "ready", sequence = ++this.sequence } = {}) {
    return call({
      host: this.ip,
      port: PORTS.control,
      method: "POST",
      path: `/v1/rpc?call=instances.heartbeat&of=${this.endpoint.id}`,
      body: JSON.stringify({
        address: `${this.ip}:${PORTS.app}`,
        born: this.born,
        info: {
          service: this.service,
          version: "v1",
          zone: this.zone,
          slots: this.slots,
        },
        status: { state, sequence, cold_remaining: "0ms" },
      }),
    });
  }

  /** Says that the endpoint leaves; resolves with the status. */
  deregister() {
    return call({
      host: this.ip,
      port: PORTS.control,
      method: "POST",
      path: `/v1/rpc?call=instances.deregister&of=${this.endpoint.id}`,
    });
  }

  startHeartbeats() {
    this.heartbeat();
    this.heartbeats = setInterval(() => this.heartbeat(), HEARTBEAT_MS);
  }

  stopHeartbeats() {
    clearInterval(this.heartbeats);
  }

  /** Question of the platform whether the daemon is ready. */
  async isReady() {
    const status = await call({
      host: this.ip,
      port: PORTS.ready,
      path: "/v1/readiness",
    });
    return status === 200;
  }
}

/** Store, machines and the record of one run. */
export class Deployment {
  constructor() {
    this.lines = [];
    this.startedMs = performance.now();
    this.machines = [];
    this.store = new StoreStandIn();
    this.folder = mkdtempSync(join(realpathSync(tmpdir()), "review-"));
  }

  /** Adds a line to the record, with the time since the start in ms. */
  record(line) {
    const ms = Math.round(performance.now() - this.startedMs);
    this.lines.push(`${String(ms).padStart(6)} ${line}`);
  }

  /** Adds a line for each request that was sent, with its answer. */
  recordResults(results, describeMore = () => "") {
    for (const result of results) {
      this.lines.push(
        `       ${describe(result, this.startedMs)}${describeMore(result)}`,
      );
    }
  }

  /** Adds a line for each run at an endpoint. */
  recordRuns() {
    for (const { endpoint } of this.machines) {
      for (const { requestId, method, path, atMs, outcome } of endpoint.runs) {
        const ms = Math.round(atMs - this.startedMs);
        this.lines.push(
          `       run of ${requestId} at ${endpoint.id} from ${ms} ms: ` +
            `${method} ${path}, ${outcome}`,
        );
      }
    }
  }

  /** Kills the processes that this run started. */
  kill() {
    for (const { child } of this.machines) {
      child?.kill("SIGKILL");
    }
  }

  /**
   * Starts the store with a manifest, and one machine for each entry.
   *
   * @param options Manifest without its version, and machines with their
   *   service and slots.
   */
  async start({ manifest, machines }) {
    this.storePort = (await this.store.listen()).port;
    this.store.write("config", "main", { version: 7, ...manifest });
    const network = await this.#findNetwork(machines.length);
    machines.forEach((machine, index) => {
      this.machines.push(
        new Machine(this, {
          ...machine,
          zone: machine.zone ?? ZONES[index % ZONES.length],
          ip: `${network}.${index + 1}`,
        }),
      );
    });
    for (const machine of this.machines) {
      await machine.endpoint.listen(machine.ip, PORTS.app);
      machine.writeSettings();
      machine.startDaemon();
    }
    for (const machine of this.machines) {
      await this.untilReady(machine);
      machine.startHeartbeats();
    }
    // The links between the daemons come up.
    await pause(3_000);
  }

  async untilReady(machine) {
    const endMs = performance.now() + READY_MAX_MS;
    while (!(await machine.isReady())) {
      if (performance.now() > endMs) {
        throw new Error(`The daemon of ${machine.name} is not ready`);
      }
      await pause(50);
    }
  }

  /** Ends all processes that this run started. */
  async stop() {
    for (const machine of this.machines) {
      machine.stopHeartbeats();
      machine.child?.kill("SIGKILL");
      await machine.exited;
      machine.endpoint.close();
    }
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Finds three bytes of a loopback network whose ports are free. */
  async #findNetwork(count) {
    for (;;) {
      const byte = () => 1 + Math.floor(Math.random() * 250);
      const network = `127.${byte()}.${byte()}`;
      const checks = [];
      for (let index = 1; index <= count; index++) {
        for (const port of Object.values(PORTS)) {
          checks.push(isFree(`${network}.${index}`, port));
        }
      }
      if ((await Promise.all(checks)).every(Boolean)) {
        return network;
      }
    }
  }
}

/** Builds a manifest in the platform's format, without its version. */
export function createManifest(routes) {
  const services = [...new Set(routes.map(({ service }) => service))];
  return {
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 67108864,
      header_timeout: "3000ms",
      idle_timeout: "15000ms",
    },
    listeners: routes.map((route, index) => ({
      host: route.host,
      rule_set: [{
        name: `r-${index}`,
        kind: route.kind,
        target_latency: "1500ms",
        priority: route.priority ?? 0,
        match: { path_prefix: route.prefix },
        action: {
          service: route.service,
          timeout: route.timeout,
          max_attempts: 2,
        },
      }],
    })),
    clusters: services.map((name) => ({
      name,
      health_path: "/health",
      max_connections: 1234,
      protocol: "h1",
      tls: false,
    })),
  };
}

/** Exit codes of a case; `run.sh` turns the first into 1. */
const EXIT = { broken: 10, held: 0, couldNotRun: 2 };

/**
 * Runs a case, prints its record, and exits with a code of {@link EXIT}. The first
 * parameter of the program is `trouble` or `calm`; the latter leaves the disruption
 * out.
 *
 * @param play Plays the case on a deployment, with or without the disruption;
 *   resolves with whether the rule was broken.
 * @param options Time after which the case is given up, in ms.
 */
export async function runCase(play, { durationMaxMs = DURATION_MAX_MS } = {}) {
  const mode = process.argv[2];
  if (mode !== "trouble" && mode !== "calm") {
    console.error("The parameter must be trouble or calm");
    process.exit(EXIT.couldNotRun);
  }
  const deployment = new Deployment();
  let code = EXIT.couldNotRun;
  process.once("exit", () => deployment.kill());
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
    process.once(signal, () => process.exit(EXIT.couldNotRun));
  }
  const limit = setTimeout(() => {
    deployment.record("the case took too long");
    console.log(deployment.lines.join("\n"));
    process.exit(EXIT.couldNotRun);
  }, durationMaxMs);
  try {
    deployment.record(`mode: ${mode}`);
    const isBroken = await play(deployment, mode === "trouble");
    deployment.recordRuns();
    code = isBroken ? EXIT.broken : EXIT.held;
    deployment.record(isBroken ? "the rule was broken" : "the rule held");
  } catch (error) {
    deployment.record(`the case could not run: ${error.stack}`);
  }
  await deployment.stop();
  clearTimeout(limit);
  console.log(deployment.lines.join("\n"));
  process.exit(code);
}
