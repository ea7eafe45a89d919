/** A proxy core in front of one database with three servers, driven by explicit messages. */
import {
  SeededRandom,
  VirtualClock,
  availabilityZoneId,
  backendServerId,
  className,
  databaseId,
  entryHostId,
  logPosition,
  milliseconds,
  regionId,
  requestId,
  term,
} from '@nutmegcourse/shared'
import type { ClassTargets, GroupRecord, ListedBackendServer } from '@nutmegcourse/protocol'
import { ProxyCore, type ProxyEffect, type ProxyMessage } from '@nutmegcourse/state'

export const BENCH_DATABASE = databaseId('berths')
export const BENCH_SERVERS = ['a', 'b', 'c'] as const
export type BenchServer = (typeof BENCH_SERVERS)[number]
/** High enough that no decision waits for a connection. */
const CONNECTION_LIMIT = 500

function listedServer(name: BenchServer): ListedBackendServer {
  const isNear = name !== 'c'
  return {
    kind: 'backendServer',
    id: backendServerId(name),
    database: BENCH_DATABASE,
    address: '127.0.0.1',
    port: 1,
    zone: availabilityZoneId(`zone-${name}`),
    region: regionId(isNear ? 'near' : 'far'),
    state: 'live',
    slots: 3,
    connectionLimit: CONNECTION_LIMIT,
  }
}

const RECORD: GroupRecord = {
  database: BENCH_DATABASE,
  term: term(1),
  primary: backendServerId('a'),
  phase: { kind: 'stable' },
  coordinator: null,
  attempt: null,
  termStarts: [],
}

export function benchClass(name: string, given: Partial<ClassTargets>): ClassTargets {
  return {
    name: className(name),
    access: 'read',
    idempotent: true,
    freshnessMilliseconds: 1000,
    latencyMilliseconds: 200,
    replicaReadShare: 0,
    ...given,
  }
}

/**
 * The proxy's location: `near` is the primary's zone, in a region with two servers; `far` is the
 * zone of the only server in the other region.
 */
export type BenchPlace = 'near' | 'far'

const PLACES = {
  near: { zone: availabilityZoneId('zone-a'), region: regionId('near') },
  far: { zone: availabilityZoneId('zone-c'), region: regionId('far') },
} as const

export class BenchCore {
  readonly clock = new VirtualClock()
  readonly core: ProxyCore
  readonly #classes: readonly ClassTargets[]
  readonly #onEffects: ((effects: readonly ProxyEffect[]) => void) | null

  /** Without `onEffects`, `start` immediately opens the connections that the core asks for. */
  constructor(
    classes: readonly ClassTargets[],
    place: BenchPlace = 'near',
    onEffects: ((effects: readonly ProxyEffect[]) => void) | null = null,
  ) {
    this.#classes = classes
    this.#onEffects = onEffects
    this.core = new ProxyCore(PLACES[place], new SeededRandom(1))
  }

  /** Sends the core its first snapshot. */
  start(): void {
    const targets = { service: 'bench', classes: this.#classes, defaults: [] }
    const effects = this.send({
      kind: 'snapshot',
      snapshot: {
        sequence: 1,
        entryHost: entryHostId('host-1'),
        targets: {
          version: 1,
          changeId: 'bench',
          changedBy: 'bench',
          recentChangeIds: [],
          targets,
        },
        targetsConfirmed: true,
        groups: [{ record: RECORD, backendServers: BENCH_SERVERS.map(listedServer) }],
        entryHostCount: 1,
      },
    })
    for (const effect of effects) {
      if (effect.kind !== 'open' || this.#onEffects !== null) continue
      this.send({ kind: 'connectionOpened', connection: effect.connection })
    }
  }

  send(message: ProxyMessage): readonly ProxyEffect[] {
    const effects = this.core.handle(message, this.clock.now())
    this.#onEffects?.(effects)
    return effects
  }

  reportPosition(name: BenchServer, offset: number, askedAt: number): readonly ProxyEffect[] {
    return this.send({
      kind: 'positionAnswered',
      server: backendServerId(name),
      report: {
        role: name === 'a' ? 'primary' : 'replica',
        position: logPosition(1, offset),
        fencedTerm: term(1),
      },
      askedAt: milliseconds(askedAt),
    })
  }

  completeRequest(id: string, offset: number | null): readonly ProxyEffect[] {
    return this.send({
      kind: 'requestRan',
      request: requestId(id),
      position: offset === null ? null : logPosition(1, offset),
      transactionOpen: false,
      failed: false,
    })
  }
}
