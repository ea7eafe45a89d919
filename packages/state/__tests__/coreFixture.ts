/** A core with one three-server database, and helpers that send messages to it. */
import {
  availabilityZoneId,
  backendServerId,
  className,
  databaseId,
  entryHostId,
  logPosition,
  milliseconds,
  regionId,
  requestId,
  sessionId,
  term,
  SeededRandom,
  VirtualClock,
} from '@nutmegcourse/shared'
import type {
  ClassTargets,
  GroupRecord,
  ListedBackendServer,
  RoutingSnapshot,
} from '@nutmegcourse/protocol'
import { ProxyCore, type ProxyEffect, type ProxyMessage, type ProxyOptions } from '../src/index.js'

export type Effect<Kind extends ProxyEffect['kind']> = Extract<ProxyEffect, { kind: Kind }>
type Arrival = Extract<ProxyMessage, { kind: 'requestArrived' }>

export const DATABASE = databaseId('berths')
export const SERVERS = ['a', 'b', 'c'] as const
export type ServerName = (typeof SERVERS)[number]

const ZONES: Record<ServerName, readonly [string, string]> = {
  a: ['tanger-nord', 'tanger'],
  b: ['tanger-sud', 'tanger'],
  c: ['casa-est', 'casa'],
}

export function classTargets(name: string, given: Partial<ClassTargets> = {}): ClassTargets {
  return {
    name: className(name),
    access: 'read',
    idempotent: given.access !== 'write',
    freshnessMilliseconds: 1000,
    latencyMilliseconds: 500,
    replicaReadShare: given.access === 'write' ? 0 : 0.9,
    ...given,
  }
}

export const CLASSES: readonly ClassTargets[] = [
  classTargets('assign', { access: 'write' }),
  classTargets('upload', { access: 'write', idempotent: true }),
  classTargets('browse'),
  classTargets('lookup', { freshnessMilliseconds: 0 }),
  classTargets('primary_only', { replicaReadShare: 0 }),
]

export function listedServer(
  name: ServerName,
  given: Partial<ListedBackendServer> = {},
): ListedBackendServer {
  const [zone, region] = ZONES[name]
  return {
    kind: 'backendServer',
    id: backendServerId(name),
    database: DATABASE,
    address: '127.0.0.1',
    port: 1,
    zone: availabilityZoneId(zone),
    region: regionId(region),
    state: 'live',
    slots: 3,
    connectionLimit: 25,
    ...given,
  }
}

export function groupRecord(given: Partial<GroupRecord> = {}): GroupRecord {
  return {
    database: DATABASE,
    term: term(1),
    primary: backendServerId('a'),
    phase: { kind: 'stable' },
    coordinator: null,
    attempt: null,
    termStarts: [{ term: term(1), primary: backendServerId('a'), startsAfter: logPosition(0, 0) }],
    ...given,
  }
}

export interface CoreFixtureOptions {
  readonly options?: Partial<ProxyOptions>
  readonly classes?: readonly ClassTargets[]
  readonly entryHostCount?: number
}

/** Drives one core on a virtual clock. Each message returns its effects, which are also kept. */
export class CoreFixture {
  readonly clock = new VirtualClock(1000)
  readonly core: ProxyCore
  readonly effects: ProxyEffect[] = []
  readonly #classes: readonly ClassTargets[]
  #sequence = 0
  #request = 0
  #entryHostCount: number

  constructor({ options = {}, classes = CLASSES, entryHostCount = 2 }: CoreFixtureOptions = {}) {
    const place = {
      zone: availabilityZoneId('tanger-nord'),
      region: regionId('tanger'),
    }
    this.core = new ProxyCore({ ...place, ...options }, new SeededRandom(1))
    this.#classes = classes
    this.#entryHostCount = entryHostCount
  }

  send(message: ProxyMessage): readonly ProxyEffect[] {
    const effects = this.core.handle(message, this.clock.now())
    this.effects.push(...effects)
    return effects
  }

  snapshot(
    record: GroupRecord = groupRecord(),
    servers: readonly ListedBackendServer[] = SERVERS.map(name => listedServer(name)),
    given: Partial<RoutingSnapshot> = {},
  ): readonly ProxyEffect[] {
    this.#sequence += 1
    return this.send({
      kind: 'snapshot',
      snapshot: {
        sequence: this.#sequence,
        entryHost: entryHostId('host-1'),
        targets: {
          version: 1,
          changeId: 'first',
          changedBy: 'test',
          recentChangeIds: [],
          targets: { service: 'quai-sched', classes: this.#classes, defaults: [] },
        },
        targetsConfirmed: true,
        groups: [{ record, backendServers: servers }],
        entryHostCount: this.#entryHostCount,
        ...given,
      },
    })
  }

  /** Makes the core ready: sends a snapshot, opens every connection and answers every question. */
  start(position: readonly [number, number] = [1, 1]): this {
    this.snapshot()
    this.openAll()
    for (const name of SERVERS) this.answer(name, position)
    return this
  }

  /** Reports every connection requested so far as opened. */
  openAll(): void {
    for (const effect of this.takeAll('open')) {
      this.send({ kind: 'connectionOpened', connection: effect.connection })
    }
  }

  /** Answers the position question to a server. */
  answer(
    name: ServerName,
    position: readonly [number, number],
    given: { role?: 'primary' | 'replica'; fenced?: number; askedAt?: number } = {},
  ): readonly ProxyEffect[] {
    const report = {
      role: given.role ?? (name === 'a' ? 'primary' : 'replica'),
      position: logPosition(position[0], position[1]),
      fencedTerm: term(given.fenced ?? position[0]),
    } as const
    const askedAt = milliseconds(given.askedAt ?? this.clock.now())
    return this.send({ kind: 'positionAnswered', server: backendServerId(name), report, askedAt })
  }

  arrive(workClass: string, given: Partial<Arrival> = {}): readonly ProxyEffect[] {
    this.#request += 1
    return this.send({
      kind: 'requestArrived',
      request: requestId(`r${this.#request}`),
      session: sessionId('s'),
      roams: false,
      database: DATABASE,
      class: className(workClass),
      ...given,
    })
  }

  ran(
    request: string,
    position: readonly [number, number] | null = null,
    given: { transactionOpen?: boolean; failed?: boolean; refusedUnrun?: boolean } = {},
  ): readonly ProxyEffect[] {
    return this.send({
      kind: 'requestRan',
      request: requestId(request),
      position: position === null ? null : logPosition(position[0], position[1]),
      transactionOpen: false,
      failed: false,
      ...given,
    })
  }

  /** Advances time in steps, sending a tick whenever the core asks for one. */
  advance(span: number): readonly ProxyEffect[] {
    const effects: ProxyEffect[] = []
    const end = this.clock.now() + span
    for (;;) {
      const wake = this.core.nextWake(this.clock.now())
      const next = wake === null || wake > end ? end : Math.max(wake, this.clock.now() + 0.5)
      this.clock.advance(Math.min(next, end) - this.clock.now())
      effects.push(...this.send({ kind: 'tick' }))
      if (this.clock.now() >= end) return effects
    }
  }

  /** Removes and returns the kept effects of one kind. */
  takeAll<Kind extends ProxyEffect['kind']>(kind: Kind): Effect<Kind>[] {
    const wanted = pick(this.effects, kind)
    const rest = this.effects.filter(effect => effect.kind !== kind)
    this.effects.splice(0, this.effects.length, ...rest)
    return wanted
  }
}

export function pick<Kind extends ProxyEffect['kind']>(
  effects: readonly ProxyEffect[],
  kind: Kind,
): Effect<Kind>[] {
  return effects.filter((effect): effect is Effect<Kind> => effect.kind === kind)
}

export const serversOf = (effects: readonly ProxyEffect[], kind: 'run' | 'askPosition' | 'open') =>
  pick(effects, kind).map(effect => String(effect.server))

export const reasonsOf = (effects: readonly ProxyEffect[]): string[] =>
  pick(effects, 'refuse').map(effect => effect.refusal.reason)
