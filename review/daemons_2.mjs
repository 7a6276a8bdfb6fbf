/** Starts the project's daemons with the command of the deploy file. */
import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const PORTS = { inbound: 8300, outbound: 8304, ready: 8302, control: 8306 };

/** Reads a text field of the role in the deploy file. */
function readDeployField(name) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return new RegExp(`^${name} = "(.*)"$`, "m").exec(text)[1];
}

/** Returns a loopback address of this process that is not in use. */
export function ownAddress(index) {
  const { pid } = process;
  return `127.${1 + pid % 250}.${1 + Math.floor(pid / 250) % 250}.${index}`;
}

/** A daemon beside an endpoint, as a process that can be started again. */
export class Daemon {
  #folder;
  #fields;
  child;

  constructor(
    { folder, index, zone, endpoint, storeAddress, bounds = {}, limits = {} },
  ) {
    this.name = `sidecar-${zone}-${index}`;
    this.ip = ownAddress(index);
    this.#folder = folder;
    const listen = Object.fromEntries(
      Object.entries(PORTS).map(([name, port]) => [name, `${this.ip}:${port}`]),
    );
    this.#fields = {
      node: this.name,
      role: "relay",
      machine_class: "sidecar",
      serves: ["sidecar"],
      ip: this.ip,
      zone,
      region: "r",
      listen,
      internal_ports: [7620, 7635],
      seeds: [],
      bootstrap: true,
      limits: {
        cpu_share: 0.54,
        cores: 2,
        memory_mb: 350,
        max_fds: 4100,
        link_mbps: 1000,
        disk_mb: 0,
        ...limits,
      },
      heartbeat: "1500ms",
      bounds: {
        stability_window: "3000ms",
        ack: "4000ms",
        drain: "2000ms",
        grace: "6s",
        config_apply: "2000ms",
        retry_budget_ratio: 0.2,
        budget_window: "10s",
        budget_slack: 48,
        ...bounds,
      },
      app_addr: `127.0.0.1:${endpoint.port}`,
      service: endpoint.service,
      platform: { address: storeAddress, form: "objects" },
    };
  }

  get outbound() {
    return { host: this.ip, port: PORTS.outbound };
  }

  get control() {
    return { host: this.ip, port: PORTS.control };
  }

  start() {
    const file = join(this.#folder, `${this.name}.jsonc`);
    const template = readFileSync(
      join(ROOT, readDeployField("template")),
      "utf8",
    );
    writeFileSync(
      file,
      template.replace("{{.|json}}", () => JSON.stringify(this.#fields)),
    );
    const [command, ...words] = readDeployField("run").split(" ");
    const program = command === "node" ? process.execPath : command;
    const log = join(this.#folder, `${this.name}.log`);
    this.child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, GOLDCRESTRELAY_CONFIG: file },
      stdio: ["ignore", "pipe", "inherit"],
    });
    const { child } = this;
    const kill = () => child.kill("SIGKILL");
    process.once("exit", kill);
    child.once("exit", () => process.off("exit", kill));
    child.stdout.on(
      "data",
      (part) => writeFileSync(log, part, { flag: "a" }),
    );
  }

  /** Ends the process with a signal, and waits for its end. */
  async stop(signal = "SIGKILL") {
    const { child } = this;
    if (child === undefined || child.exitCode !== null || child.signalCode) {
      return;
    }
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill(signal);
    await ended;
  }

  /** Waits until the daemon says that it is ready. */
  async waitUntilReady() {
    const url = `http://${this.ip}:${PORTS.ready}/v1/readiness`;
    for (let tries = 0; tries < 200; tries++) {
      const answer = await fetch(url, {
        headers: { connection: "close" },
        signal: AbortSignal.timeout(1_000),
      }).catch(() => undefined);
      await answer?.text();
      if (answer?.status === 200) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error(`${this.name} is not ready`);
  }
}
