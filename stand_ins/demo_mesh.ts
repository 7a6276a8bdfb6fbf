/** Processes of the demo: platform, daemons and upstreams of two data centres. */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { z } from "zod";
import type { Address } from "../src/schemas/common_schema.ts";
import type { ProgramGroup, StartedProgram } from "./program_group.ts";
import {
  ANY_PORT_LISTENERS,
  parseDaemonReadyLine,
  parsePlatformReadyLine,
  urlOf,
} from "./ready_lines.ts";
import type { UpstreamBehaviour } from "./upstream_settings.ts";

const DATA_CENTRES = ["dakar-plateau", "thies-nord"] as const;
const POLL_INTERVAL_MS = 100;
const READY_LIMIT_MS = 30_000;

const upstreamReadySchema = z.object({
  port: z.int(),
  controlPort: z.int(),
});

type ServiceName = "inscription" | "certify" | "logbook";

/** Behaviour of the upstreams, and the call that each makes for a request. */
const SERVICES: Readonly<
  Record<ServiceName, {
    behaviour: Partial<UpstreamBehaviour>;
    next?: { method: "GET" | "POST"; path: string };
  }>
> = {
  inscription: {
    behaviour: { slotsCount: 30, serviceMs: 5 },
    next: { method: "POST", path: "/votes" },
  },
  certify: { behaviour: { slotsCount: 4, serviceMs: 40, spreadRatio: 0.3 } },
  logbook: {
    behaviour: { slotsCount: 100, serviceMs: 5 },
    next: { method: "GET", path: "/verdicts" },
  },
};

/** One instance: a daemon with the upstream beside it. */
export type DemoInstance = {
  readonly service: ServiceName;
  readonly callersUrl: string;
  readonly operatorUrl: string;
  readonly outboundUrl: string;
  /** Listener for the records and the behaviour of the upstream. */
  readonly controlUrl: string;
  readonly daemon: StartedProgram;
};

/** The running mesh. */
export type DemoMesh = {
  readonly platformUrl: string;
  readonly instances: readonly DemoInstance[];
};

/** Options of {@link startMesh}. */
export type StartMeshOptions = {
  /** Writes the settings of a daemon and returns the path of the file. */
  writeSettings: (instanceId: string, settings: unknown) => string;
};

async function startInstance(
  programs: ProgramGroup,
  service: ServiceName,
  settingsFile: string,
): Promise<{ instance: DemoInstance; peer: Address }> {
  const daemon = await programs.start("src/daemon/main.js", [settingsFile]);
  const listeners = parseDaemonReadyLine(daemon.ready);
  const outboundUrl = urlOf(listeners.outbound);
  const operatorUrl = urlOf(listeners.operator);
  const { behaviour, next } = SERVICES[service];
  const settings = {
    pool: service,
    announceUrl: operatorUrl,
    behaviour: {
      ...behaviour,
      ...(next === undefined ? {} : { next: { ...next, url: outboundUrl } }),
    },
  };
  const upstream = await programs.start("stand_ins/upstream.js", [
    JSON.stringify(settings),
  ]);
  const { controlPort } = upstreamReadySchema.parse(upstream.ready);
  const instance = {
    service,
    daemon,
    outboundUrl,
    callersUrl: urlOf(listeners.callers),
    operatorUrl,
    controlUrl: urlOf({ host: "127.0.0.1", port: controlPort }),
  };
  return { instance, peer: listeners.peer };
}

function createSettings(
  instance: { id: string; dataCentre: string },
  platformUrl: string,
  contacts: readonly unknown[],
) {
  return {
    instance,
    listeners: ANY_PORT_LISTENERS,
    platform: { url: platformUrl },
    peers: {
      contacts,
      keys: [{ id: "demo", secret: "the demo's own shared secret" }],
    },
    log: { level: "error" },
  };
}

/**
 * Starts the platform stand-in and one instance of each service in both data
 * centres.
 *
 * @param programs Group that ends the processes.
 * @param options Writer of settings files.
 * @returns The mesh; its daemons have no configuration yet.
 */
export async function startMesh(
  programs: ProgramGroup,
  options: StartMeshOptions,
): Promise<DemoMesh> {
  const platform = await programs.start("stand_ins/platform.js", []);
  const platformUrl = parsePlatformReadyLine(platform.ready);
  const instances: DemoInstance[] = [];
  const contacts: unknown[] = [];
  for (const dataCentre of DATA_CENTRES) {
    for (const service of Object.keys(SERVICES) as ServiceName[]) {
      const id = `${service}-${DATA_CENTRES.indexOf(dataCentre) + 1}`;
      const settings = createSettings({ id, dataCentre }, platformUrl, [
        ...contacts,
      ]);
      const started = await startInstance(
        programs,
        service,
        options.writeSettings(id, settings),
      );
      contacts.push(started.peer);
      instances.push(started.instance);
    }
  }
  return { platformUrl, instances };
}

async function isOk(url: string): Promise<boolean> {
  const answer = await request(url).catch(() => undefined);
  await answer?.body.dump();
  return answer?.statusCode === 200;
}

/**
 * Waits until all URLs answer with status 200.
 *
 * @param condition Condition to name in the error message.
 * @param urls URLs to request.
 * @throws {Error} When one of them does not within 30 s.
 */
export async function waitUntilOk(
  condition: string,
  urls: readonly string[],
): Promise<void> {
  const limitMs = performance.now() + READY_LIMIT_MS;
  while (true) {
    const results = await Promise.all(urls.map(isOk));
    if (results.every(Boolean)) {
      return;
    }
    if (performance.now() > limitMs) {
      const missing = urls.filter((_url, index) => !results[index]);
      throw new Error(`Still not ${condition}: ${missing.join(", ")}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

/**
 * Changes the behaviour of all upstreams of a service.
 *
 * @param mesh Running mesh.
 * @param service Service to change.
 * @param change Fields to change.
 */
export async function changeBehaviour(
  mesh: DemoMesh,
  service: ServiceName,
  change: Partial<UpstreamBehaviour>,
): Promise<void> {
  const upstreams = mesh.instances.filter((one) => one.service === service);
  await Promise.all(upstreams.map(async ({ controlUrl }) => {
    const answer = await request(`${controlUrl}/behaviour`, {
      method: "POST",
      body: JSON.stringify(change),
    });
    await answer.body.dump();
  }));
}

/**
 * Stops all daemons gracefully while their upstreams still run.
 *
 * @param mesh Running mesh.
 * @returns Exit codes; 0 for each daemon that cut off no request.
 */
export function drainDaemons(mesh: DemoMesh): Promise<(number | null)[]> {
  return Promise.all(mesh.instances.map(({ daemon }) => {
    daemon.signal("SIGTERM");
    return daemon.exited;
  }));
}
