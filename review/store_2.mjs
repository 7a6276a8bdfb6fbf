/** Stand-in for the platform's store: objects by kind and name, with watches. */
import { createServer } from "node:http";
import { text } from "node:stream/consumers";

/** A store that behaves as the platform's pages say. */
export class Store {
  #objects = new Map();
  #events = [];
  #revision = 1;
  #waiting = new Set();
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });
  /** Decides how a call is answered: "sound" or "silent". */
  chooseFault = () => "sound";

  listen(host) {
    return new Promise((resolve) =>
      this.#server.listen(0, host, () => resolve(this.#server.address().port))
    );
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object without a condition, as the operator does. */
  write(kind, name, spec) {
    const named = this.#objects.get(kind) ?? new Map();
    this.#objects.set(kind, named);
    const rev = ++this.#revision;
    const metadata = {
      name,
      rev,
      create_revision: named.get(name)?.metadata.create_revision ?? rev,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, spec, status: null };
    named.set(name, object);
    this.#record({ kind, rev, object, deleted: false });
    return object;
  }

  read(kind, name) {
    return this.#objects.get(kind)?.get(name);
  }

  #record(event) {
    this.#events.push(event);
    for (const wake of [...this.#waiting]) {
      wake();
    }
  }

  async #handle(request, response) {
    const body = await text(request);
    if (this.chooseFault(request) === "silent") {
      return;
    }
    const url = new URL(request.url, "http://store");
    const [, , , kind, name] = url.pathname.split("/").map(decodeURIComponent);
    const [status, value] = request.method === "GET"
      ? await this.#get(kind, name, url.searchParams)
      : this.#change(request.method, {
        kind,
        name,
        value: body === "" ? {} : JSON.parse(body),
        rev: url.searchParams.get("rev"),
      });
    response.writeHead(status, {
      "content-type": "application/json",
      "store-era": "1",
    });
    response.end(JSON.stringify(value));
  }

  async #get(kind, name, query) {
    if (name !== undefined) {
      const object = this.read(kind, name);
      return object ? [200, object] : [404, {}];
    }
    if (query.has("watch")) {
      return [200, await this.#watch(kind, query)];
    }
    const after = query.get("after") ?? "";
    const items = [...this.#objects.get(kind)?.values() ?? []]
      .filter(({ metadata }) => metadata.name > after);
    return [200, { items, has_more: false, as_of: this.#revision }];
  }

  async #watch(kind, query) {
    const from = Number(query.get("watch"));
    const endsAtMs = performance.now() + Number(query.get("wait_ms") ?? 0);
    for (;;) {
      const events = this.#events
        .filter((event) => event.kind === kind && event.rev > from);
      const leftMs = endsAtMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return {
          events: events.map(({ object, deleted }) => ({ object, deleted })),
          as_of: this.#revision,
        };
      }
      await this.#waitForChange(leftMs);
    }
  }

  #waitForChange(leftMs) {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer);
        this.#waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, leftMs);
      this.#waiting.add(done);
    });
  }

  #change(method, { kind, name, value, rev }) {
    const target = name ?? value.metadata?.name;
    const current = this.read(kind, target);
    if (method === "POST") {
      return current
        ? [409, current]
        : [201, this.write(kind, target, value.spec)];
    }
    if (current === undefined) {
      return [404, {}];
    }
    const expected = rev ?? value.metadata?.rev;
    if (expected !== undefined && Number(expected) !== current.metadata.rev) {
      return [409, current];
    }
    if (method === "DELETE") {
      this.#objects.get(kind).delete(target);
      this.#record({
        kind,
        rev: ++this.#revision,
        object: current,
        deleted: true,
      });
      return [200, current];
    }
    return [200, this.write(kind, target, value.spec)];
  }
}
