/** Starts a deployment as processes: platform, daemons and upstreams. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { z } from "zod";
import type { Address } from "../../src/schemas/common_schema.ts";
import type { Settings } from "../../src/schemas/settings_schema.ts";
import { statusSchema } from "../../src/schemas/status_schema.ts";
import {
  ProgramGroup,
  type StartedProgram,
} from "../../stand_ins/program_group.ts";
import {
  ANY_PORT_LISTENERS,
  parseDaemonReadyLine,
  parsePlatformReadyLine,
  urlOf,
} from "../../stand_ins/ready_lines.ts";
import {
  type RequestRecord,
  requestRecordSchema,
  type UpstreamBehaviour,
} from "../../stand_ins/upstream_settings.ts";
import { type Deployment, type PoolPlan, SERVICE_MS } from "./deployments.ts";

const LOOPBACK = "127.0.0.1";
const POLL_INTERVAL_MS = 200;
const READY_LIMIT_MS = 60_000;
const SPREAD_RATIO = 0.3;

const upstreamLineSchema = z.object({ port: z.int(), controlPort: z.int() });

/** One instance of the deployment. */
export type HarnessInstance = {
  readonly pool: string;
  readonly daemon: StartedProgram;
  readonly upstream: StartedProgram;
  readonly peer: Address;
  /** URL of the callers listener. */
  readonly entryUrl: string;
  readonly operatorUrl: string;
  readonly controlUrl: string;
};

/** Deployment that runs as processes. */
export class DeploymentHarness {
  readonly instances: HarnessInstance[] = [];
  readonly #deployment: Deployment;
  readonly #policy: Settings["policy"];
  readonly #programs = new ProgramGroup();
  readonly #folder = mkdtempSync(join(tmpdir(), "goldcrestrelay-bed-"));
  #platform: StartedProgram | undefined;
  #platformUrl = "";

  /**
   * @param deployment Deployment to start.
   * @param policy Overload policy of its daemons.
   */
  constructor(deployment: Deployment, policy: Settings["policy"]) {
    this.#deployment = deployment;
    this.#policy = policy;
  }

  /** Starts all processes, applies the tables and waits until all are ready. */
  async start(): Promise<void> {
    const platform = await this.#programs.start("stand_ins/platform.js", []);
    this.#platform = platform;
    this.#platformUrl = parsePlatformReadyLine(platform.ready);
    for (const pool of this.#deployment.pools) {
      for (let number = 1; number <= pool.endpointsCount; number++) {
        this.instances.push(await this.#startInstance(pool, number));
      }
    }
    await this.#applyTables();
    await this.#waitUntilReady();
  }

  /** Kills the platform stand-in. */
  killPlatform(): void {
    this.#platform?.signal("SIGKILL");
  }

  /** Stops all processes. */
  async stop(): Promise<void> {
    await this.#programs.stop();
    rmSync(this.#folder, { recursive: true });
  }

  /**
   * Changes the behaviour of all upstreams of a pool.
   *
   * @param pool Pool name.
   * @param change Fields to change.
   */
  async changeBehaviour(
    pool: string,
    change: Partial<UpstreamBehaviour>,
  ): Promise<void> {
    const members = this.instances.filter((member) => member.pool === pool);
    await Promise.all(members.map(async ({ controlUrl }) => {
      const answer = await request(`${controlUrl}/behaviour`, {
        method: "POST",
        body: JSON.stringify(change),
      });
      await answer.body.dump();
    }));
  }

  /** Reads the requests that upstreams recorded, in the order of instances. */
  async readRequests(): Promise<RequestRecord[][]> {
    return await Promise.all(this.instances.map(async ({ controlUrl }) => {
      const answer = await request(`${controlUrl}/effects`);
      return z.array(requestRecordSchema).parse(await answer.body.json());
    }));
  }

  async #startInstance(
    pool: PoolPlan,
    number: number,
  ): Promise<HarnessInstance> {
    const id = `${pool.name}-${number}`;
    const { dataCentres } = this.#deployment;
    const dataCentre = dataCentres[(number - 1) % dataCentres.length] as string;
    const settingsFile = this.#write(`${id}.jsonc`, {
      instance: { id, dataCentre },
      listeners: ANY_PORT_LISTENERS,
      platform: { url: this.#platformUrl },
      peers: {
        contacts: this.#contacts(),
        keys: [{ id: "bench", secret: "bench-secret-0123456789" }],
      },
      policy: this.#policy,
      log: { level: "error" },
    });
    const daemon = await this.#programs.start("src/daemon/main.js", [
      settingsFile,
    ]);
    const listeners = parseDaemonReadyLine(daemon.ready);
    const operatorUrl = urlOf(listeners.operator);
    const upstream = await this.#startUpstream(pool, number, {
      operatorUrl,
      outboundUrl: urlOf(listeners.outbound),
    });
    const { controlPort } = upstreamLineSchema.parse(upstream.ready);
    return {
      pool: pool.name,
      daemon,
      upstream,
      peer: listeners.peer,
      entryUrl: urlOf(listeners.callers),
      operatorUrl,
      controlUrl: urlOf({ host: LOOPBACK, port: controlPort }),
    };
  }

  async #startUpstream(
    pool: PoolPlan,
    number: number,
    urls: { operatorUrl: string; outboundUrl: string },
  ): Promise<StartedProgram> {
    const { name, slotsCount, connectionsMaxCount, nextPath } = pool;
    const settings = {
      pool: name,
      connectionsMaxCount,
      seed: number,
      announceUrl: urls.operatorUrl,
      behaviour: {
        slotsCount,
        serviceMs: SERVICE_MS,
        spreadRatio: SPREAD_RATIO,
        ...(nextPath && { next: { url: urls.outboundUrl, path: nextPath } }),
      },
    };
    return await this.#programs.start("stand_ins/upstream.js", [
      JSON.stringify(settings),
    ]);
  }

  async #applyTables(): Promise<void> {
    const { pools, dataCentres, routes, overloadPreference } = this.#deployment;
    const poolEntries = pools.map(({ name, nextPath: _, ...pool }) => [name, {
      ...pool,
      dataCentres: dataCentres.slice(0, pool.endpointsCount),
      callersMaxCount: pools.reduce((sum, one) => sum + one.endpointsCount, 0),
      queueMaxCount: pool.slotsCount * 10,
      coldStartMs: 0,
    }]);
    const tables = {
      routes: this.#write("routes.jsonc", {
        rules: { overloadPreference },
        routes,
      }),
      pools: this.#write("pools.jsonc", {
        pools: Object.fromEntries(poolEntries),
      }),
    };
    const exitCode = await this.#programs.run("src/cli/main.js", [
      "apply",
      "--platform",
      this.#platformUrl,
      "--routes",
      tables.routes,
      "--pools",
      tables.pools,
    ]);
    if (exitCode !== 0) {
      throw new Error(`The apply command ended with exit code ${exitCode}`);
    }
  }

  async #waitUntilReady(): Promise<void> {
    const deadlineMs = performance.now() + READY_LIMIT_MS;
    while (!(await this.#isReady())) {
      if (performance.now() > deadlineMs) {
        throw new Error("The deployment did not become ready");
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  async #isReady(): Promise<boolean> {
    const statuses = await Promise.all(
      this.instances.map(async ({ operatorUrl }) => {
        const answer = await request(`${operatorUrl}/status`);
        return statusSchema.parse(await answer.body.json());
      }),
    );
    return statuses.every((status) =>
      status.state === "ready" &&
      status.members.filter((member) => member.state === "alive").length ===
        this.instances.length
    );
  }

  /** Contact of a new daemon: the first one, which sends it the other members. */
  #contacts(): Address[] {
    const [first] = this.instances;
    return first === undefined ? [] : [first.peer];
  }

  #write(name: string, value: unknown): string {
    const file = join(this.#folder, name);
    writeFileSync(file, JSON.stringify(value));
    return file;
  }
}
