/** A fleet of daemons without traffic, as processes. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { z } from "zod";
import {
  type Address,
  addressSchema,
} from "../../src/schemas/common_schema.ts";
import { type Status, statusSchema } from "../../src/schemas/status_schema.ts";
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
  DATA_CENTRES,
  ENDPOINTS_PER_POOL,
  makeFleetTables,
} from "./fleet_tables.ts";

const LOOPBACK = "127.0.0.1";
const START_BATCH_COUNT = 10;
const CONTACTS_COUNT = 3;
const READY_LIMIT_MS = 120_000;
const POLL_INTERVAL_MS = 250;

const controlOffLineSchema = z.object({ operator: addressSchema });

/** A daemon whose cost is measured. */
export type MeasuredDaemon = {
  readonly program: StartedProgram;
  readonly operatorUrl: string;
};

/** One daemon of the fleet. */
export type FleetDaemon = MeasuredDaemon & {
  readonly id: string;
  readonly dataCentre: string;
  readonly peer: Address;
};

/** Starts daemons, applies tables and reads the status of daemons. */
export class Fleet {
  readonly daemons: FleetDaemon[] = [];
  readonly #programs = new ProgramGroup();
  readonly #folder = mkdtempSync(join(tmpdir(), "goldcrestrelay-fleet-"));
  readonly #daemonsCount: number;
  platformUrl = "";

  /**
   * @param daemonsCount Daemons to start.
   */
  constructor(daemonsCount: number) {
    this.#daemonsCount = daemonsCount;
  }

  /** Starts the platform and all daemons, and applies the first tables. */
  async start(): Promise<void> {
    const platform = await this.#programs.start("stand_ins/platform.js", []);
    this.platformUrl = parsePlatformReadyLine(platform.ready);
    while (this.daemons.length < this.#daemonsCount) {
      const from = this.daemons.length;
      const to = Math.min(this.#daemonsCount, from + START_BATCH_COUNT);
      const numbers = Array.from({ length: to - from }, (_, i) => from + i);
      this.daemons.push(
        ...await Promise.all(numbers.map((number) => this.#startOne(number))),
      );
    }
    await this.applyTables(1);
    await this.waitFor((status) =>
      status.state === "ready" &&
      countAlive(status) === this.#daemonsCount
    );
  }

  /**
   * Starts a daemon without control, whose cost is the baseline.
   *
   * @returns The program and its operator listener.
   */
  async startControlOff(): Promise<MeasuredDaemon> {
    const program = await this.#programs.start(
      "bench/scale/control_off_daemon.js",
      [String(this.#daemonsCount)],
    );
    const { operator } = controlOffLineSchema.parse(program.ready);
    const operatorUrl = `http://${operator.host}:${operator.port}`;
    return { program, operatorUrl };
  }

  /** Stops all processes; kills the daemons, which have no work to drain. */
  async stop(): Promise<void> {
    for (const { program } of this.daemons) {
      program.signal("SIGKILL");
    }
    await this.#programs.stop();
    rmSync(this.#folder, { recursive: true });
  }

  /**
   * Applies tables that differ from the previous ones in one entry.
   *
   * @param change Number of the change.
   */
  async applyTables(change: number): Promise<void> {
    const { routes, pools } = makeFleetTables(this.#daemonsCount, { change });
    const code = await this.#programs.run("src/cli/main.js", [
      "apply",
      "--platform",
      this.platformUrl,
      "--routes",
      this.#write("routes.jsonc", routes),
      "--pools",
      this.#write("pools.jsonc", pools),
    ]);
    if (code !== 0) {
      throw new Error(`The apply command ended with exit code ${code}`);
    }
  }

  /**
   * Reads the status of a daemon.
   *
   * @param daemon Daemon of the fleet.
   * @returns Its status.
   */
  async readStatus({ operatorUrl }: FleetDaemon): Promise<Status> {
    const answer = await request(`${operatorUrl}/status`);
    return statusSchema.parse(await answer.body.json());
  }

  /**
   * Waits until a condition holds at every daemon.
   *
   * @param isReached Condition on a status.
   * @param daemons Daemons to check; all by default.
   * @throws {Error} When it does not hold everywhere in time.
   */
  async waitFor(
    isReached: (status: Status) => boolean,
    daemons: readonly FleetDaemon[] = this.daemons,
  ): Promise<void> {
    const deadlineMs = performance.now() + READY_LIMIT_MS;
    let pending = [...daemons];
    while (pending.length > 0) {
      const reached = await Promise.all(
        pending.map(async (daemon) => isReached(await this.readStatus(daemon))),
      );
      pending = pending.filter((_, index) => reached[index] !== true);
      if (performance.now() > deadlineMs) {
        throw new Error(
          `${pending.length} daemons did not reach the expected status in time`,
        );
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  async #startOne(number: number): Promise<FleetDaemon> {
    const id = `instance-${number}`;
    const dataCentre = DATA_CENTRES[number % DATA_CENTRES.length] as string;
    const settingsFile = this.#write(`${id}.jsonc`, {
      instance: { id, dataCentre },
      listeners: ANY_PORT_LISTENERS,
      upstream: {
        pool: `pool-${Math.floor(number / ENDPOINTS_PER_POOL)}`,
        host: LOOPBACK,
        port: 9,
        slotsCount: 10,
        connectionsMaxCount: 1_000,
      },
      platform: { url: this.platformUrl },
      peers: {
        contacts: this.daemons.slice(0, CONTACTS_COUNT).map(({ peer }) => peer),
        keys: [{ id: "bench", secret: "bench-secret-0123456789" }],
      },
      log: { level: "error" },
    });
    const program = await this.#programs.start("bench/scale/fleet_daemon.js", [
      settingsFile,
    ]);
    const { operator, peer } = parseDaemonReadyLine(program.ready);
    return {
      id,
      dataCentre,
      program,
      operatorUrl: urlOf(operator),
      peer,
    };
  }

  #write(name: string, value: unknown): string {
    const file = join(this.#folder, name);
    writeFileSync(file, JSON.stringify(value));
    return file;
  }
}

/**
 * Counts the members that a daemon reports as alive.
 *
 * @param status Status of the daemon.
 * @returns Number of members, itself included.
 */
export function countAlive(status: Status): number {
  return status.members.filter(({ state }) => state === "alive").length;
}
