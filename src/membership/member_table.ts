/** Compact store of all members of the fleet. */
import type { Address } from "../schemas/common_schema.ts";
import type {
  MemberAttributes,
  MemberUpdate,
} from "../schemas/member_schema.ts";
import { bucketName, bucketOf, BUCKETS_COUNT } from "./member_digests.ts";

const INITIAL_ROWS_COUNT = 64;
/** Value in the column of hosts for members with an entry in `#otherHosts`. */
const NO_SHARED_HOST = 0xffffffff;

/**
 * Record of a member without its state, which the table stores as the index of
 * a chart state, and without its suspicion.
 */
export type MemberRecord = Omit<MemberUpdate, "state" | "suspectedBy">;

/** Hosts of the listeners of a member. */
type Hosts = {
  readonly peer: string;
  readonly hop: string;
  readonly operator: string;
};

function parseIpv4(host: string): number | undefined {
  const parts = host.split(".");
  if (parts.length !== 4) {
    return undefined;
  }
  return parts.reduce((value, part) => value * 256 + Number(part), 0);
}

function formatIpv4(value: number): string {
  return [24, 16, 8, 0].map((shift) => (value >>> shift) & 255).join(".");
}

/** Interned strings, for names that many rows share. */
class InternedNames {
  readonly #names: string[] = [];
  readonly #indices = new Map<string, number>();

  indexOf(name: string): number {
    const known = this.#indices.get(name);
    if (known !== undefined) {
      return known;
    }
    this.#names.push(name);
    this.#indices.set(name, this.#names.length - 1);
    return this.#names.length - 1;
  }

  nameAt(index: number): string {
    return this.#names[index] as string;
  }
}

/** Columns of the table: the fields of the record of the row's member. */
class Columns {
  readonly incarnations: Float64Array;
  readonly joinTimesMs: Float64Array;
  readonly sequences: Uint32Array;
  readonly hosts: Uint32Array;
  readonly slots: Uint32Array;
  readonly connections: Uint32Array;
  readonly peerPorts: Uint16Array;
  readonly hopPorts: Uint16Array;
  /** 0 when the member announces no operator listener. */
  readonly operatorPorts: Uint16Array;
  readonly pools: Uint16Array;
  readonly dataCentres: Uint16Array;
  readonly states: Uint8Array;
  readonly buckets: Uint8Array;

  constructor(readonly capacity: number) {
    this.incarnations = new Float64Array(capacity);
    this.joinTimesMs = new Float64Array(capacity);
    this.sequences = new Uint32Array(capacity);
    this.hosts = new Uint32Array(capacity);
    this.slots = new Uint32Array(capacity);
    this.connections = new Uint32Array(capacity);
    this.peerPorts = new Uint16Array(capacity);
    this.hopPorts = new Uint16Array(capacity);
    this.operatorPorts = new Uint16Array(capacity);
    this.pools = new Uint16Array(capacity);
    this.dataCentres = new Uint16Array(capacity);
    this.states = new Uint8Array(capacity);
    this.buckets = new Uint8Array(capacity);
  }

  /** Returns a copy with 1.5 times the capacity. */
  grow(): Columns {
    const larger = new Columns(Math.ceil(this.capacity * 1.5));
    larger.incarnations.set(this.incarnations);
    larger.joinTimesMs.set(this.joinTimesMs);
    larger.sequences.set(this.sequences);
    larger.hosts.set(this.hosts);
    larger.slots.set(this.slots);
    larger.connections.set(this.connections);
    larger.peerPorts.set(this.peerPorts);
    larger.hopPorts.set(this.hopPorts);
    larger.operatorPorts.set(this.operatorPorts);
    larger.pools.set(this.pools);
    larger.dataCentres.set(this.dataCentres);
    larger.states.set(this.states);
    larger.buckets.set(this.buckets);
    return larger;
  }
}

/**
 * Stores all members in typed arrays, one for each column: 44 bytes per row
 * besides the instance id and its index. Records are built only when read.
 */
export class MemberTable {
  #columns = new Columns(INITIAL_ROWS_COUNT);
  readonly #ids: (string | undefined)[] = [];
  readonly #rowsById = new Map<string, number>();
  readonly #freeRows: number[] = [];
  readonly #names = new InternedNames();
  /** Hosts of members whose listeners do not share one IPv4 address. */
  readonly #otherHosts = new Map<number, Hosts>();

  /** Number of members. */
  get size(): number {
    return this.#rowsById.size;
  }

  /** Row of a member; undefined for an unknown member. */
  rowOf(instanceId: string): number | undefined {
    return this.#rowsById.get(instanceId);
  }

  /** Rows of all members, in no particular order. */
  rows(): IterableIterator<number> {
    return this.#rowsById.values();
  }

  /**
   * Adds a member.
   *
   * @param record Record of a member that is not in the table.
   * @param stateIndex Index of the initial state of the chart.
   * @returns Row of the member.
   */
  add(record: MemberRecord, stateIndex: number): number {
    const row = this.#freeRows.pop() ?? this.#ids.length;
    if (row >= this.#columns.capacity) {
      this.#columns = this.#columns.grow();
    }
    this.#ids[row] = record.instanceId;
    this.#rowsById.set(record.instanceId, row);
    this.#columns.dataCentres[row] = this.#names.indexOf(record.dataCentre);
    this.#columns.states[row] = stateIndex;
    this.#columns.buckets[row] = bucketOf(record.instanceId);
    this.write(row, record);
    return row;
  }

  /** Removes a member; its row may be reused. */
  remove(row: number): void {
    this.#rowsById.delete(this.idOf(row));
    this.#ids[row] = undefined;
    this.#otherHosts.delete(row);
    this.#freeRows.push(row);
  }

  /** Replaces the record of a member, except its id and data centre. */
  write(row: number, record: MemberRecord): void {
    const columns = this.#columns;
    columns.incarnations[row] = record.incarnationEpochMs;
    columns.sequences[row] = record.sequence;
    columns.slots[row] = record.slotsCount;
    columns.connections[row] = record.connectionsMaxCount;
    columns.peerPorts[row] = record.peerPort;
    columns.hopPorts[row] = record.hopPort;
    columns.operatorPorts[row] = record.operatorPort ?? 0;
    columns.pools[row] = this.#names.indexOf(record.pool);
    this.#writeHosts(row, record);
  }

  /** Reads the record of a member. */
  read(row: number): MemberRecord {
    const columns = this.#columns;
    return {
      instanceId: this.idOf(row),
      dataCentre: this.dataCentreOf(row),
      incarnationEpochMs: this.incarnationOf(row),
      sequence: this.sequenceOf(row),
      ...this.#readHosts(row),
      peerPort: columns.peerPorts[row] as number,
      hopPort: columns.hopPorts[row] as number,
      ...this.#readOperator(row),
      pool: this.poolOf(row),
      slotsCount: columns.slots[row] as number,
      connectionsMaxCount: columns.connections[row] as number,
    };
  }

  /** Instance id of a row. */
  idOf(row: number): string {
    return this.#ids[row] as string;
  }

  /** Data centre of a member. */
  dataCentreOf(row: number): string {
    return this.#names.nameAt(this.#columns.dataCentres[row] as number);
  }

  /** Pool of a member; empty when it has no upstream. */
  poolOf(row: number): string {
    return this.#names.nameAt(this.#columns.pools[row] as number);
  }

  /** Incarnation of a member, in ms since the epoch. */
  incarnationOf(row: number): number {
    return this.#columns.incarnations[row] as number;
  }

  /** Sequence of a member. */
  sequenceOf(row: number): number {
    return this.#columns.sequences[row] as number;
  }

  /** State index of a member. */
  stateIndexOf(row: number): number {
    return this.#columns.states[row] as number;
  }

  /**
   * Lists the rows of the given buckets in one pass over the table.
   *
   * @param names Names of buckets.
   * @returns Rows by name of the bucket, with an entry for each given name.
   */
  listBuckets(names: readonly string[]): Map<string, number[]> {
    const wanted = new Map(names.map((name) => [name, [] as number[]]));
    const rowsByKey = new Map<number, number[] | undefined>();
    for (const row of this.rows()) {
      const bucket = this.#columns.buckets[row] as number;
      const key = (this.#columns.dataCentres[row] as number) * BUCKETS_COUNT +
        bucket;
      if (!rowsByKey.has(key)) {
        const name = bucketName(this.dataCentreOf(row), bucket);
        rowsByKey.set(key, wanted.get(name));
      }
      rowsByKey.get(key)?.push(row);
    }
    return wanted;
  }

  /** Stores the state index of a member. */
  setStateIndex(row: number, stateIndex: number): void {
    this.#columns.states[row] = stateIndex;
  }

  /**
   * Monotonic time at which this daemon learnt that the member joined its current
   * pool in its current incarnation, in ms.
   */
  joinedMsOf(row: number): number {
    return this.#columns.joinTimesMs[row] as number;
  }

  /** Stores the time for {@link joinedMsOf}. */
  setJoinedMs(row: number, joinedMs: number): void {
    this.#columns.joinTimesMs[row] = joinedMs;
  }

  /**
   * Returns the address of a member's operator listener.
   *
   * @param row Row of the member.
   * @returns Address; undefined when the member announces none.
   */
  operatorAddressOf(row: number): Address | undefined {
    const port = this.#columns.operatorPorts[row] as number;
    return port === 0 ? undefined : { host: this.#hostsOf(row).operator, port };
  }

  #writeHosts(row: number, attributes: MemberAttributes): void {
    const { peerHost: peer, hopHost: hop, operatorHost: operator = peer } =
      attributes;
    const value = peer === hop && peer === operator
      ? parseIpv4(peer)
      : undefined;
    if (value === undefined) {
      this.#otherHosts.set(row, { peer, hop, operator });
    } else {
      this.#otherHosts.delete(row);
    }
    this.#columns.hosts[row] = value ?? NO_SHARED_HOST;
  }

  #readHosts(row: number): Pick<MemberAttributes, "peerHost" | "hopHost"> {
    const { peer, hop } = this.#hostsOf(row);
    return { peerHost: peer, hopHost: hop };
  }

  #readOperator(
    row: number,
  ): Pick<MemberAttributes, "operatorHost" | "operatorPort"> {
    const operator = this.operatorAddressOf(row);
    return operator === undefined
      ? {}
      : { operatorHost: operator.host, operatorPort: operator.port };
  }

  #hostsOf(row: number): Hosts {
    const other = this.#otherHosts.get(row);
    if (other !== undefined) {
      return other;
    }
    const host = formatIpv4(this.#columns.hosts[row] as number);
    return { peer: host, hop: host, operator: host };
  }
}
