/** Simulates two proxies in front of one database group, driven by a list of actions in virtual time. */
import {
  SeededRandom,
  availabilityZoneId,
  className,
  entryHostId,
  regionId,
  requestId,
  sessionId,
} from '@nutmegcourse/shared'
import type { RoutingSnapshot } from '@nutmegcourse/protocol'
import { ProxyCore } from '../../src/index.js'
import { CLASSES, DATABASE, SERVERS, listedServer, type ServerName } from '../coreFixture.js'
import { CallerChecker } from './callerChecker.js'
import { EventQueue } from './eventQueue.js'
import { COORDINATOR, FakeGroup } from './fakeGroup.js'
import { FakeShell } from './fakeShell.js'
import type { Mutation } from './mutations.js'

export const PROXIES = ['p1', 'p2'] as const
export type ProxyName = (typeof PROXIES)[number]

export type FleetAction =
  | {
      readonly kind: 'request'
      readonly proxy: ProxyName
      readonly session: string
      readonly class: string
      /** It opens a transaction, which the caller usually commits a little later. */
      readonly transaction?: boolean
    }
  | { readonly kind: 'abandon' | 'stop' | 'crash'; readonly proxy: ProxyName }
  | { readonly kind: 'list'; readonly server: ServerName; readonly state: 'live' | 'leaving' }
  | { readonly kind: 'kill' | 'restart' | 'lag' | 'catchUp'; readonly server: ServerName }
  | { readonly kind: 'partition'; readonly cutOff: readonly string[] }
  | { readonly kind: 'heal' }
  /** A change of primary that ends after `steps` of its four steps. */
  | { readonly kind: 'failOver'; readonly steps: number }
  | { readonly kind: 'move'; readonly completes: boolean }
  | { readonly kind: 'loseAnswers'; readonly proxy: ProxyName; readonly count: number }

export interface TimedAction {
  readonly action: FleetAction
  /** Milliseconds to wait before the action. */
  readonly delay: number
}

const LOCATIONS: Record<ProxyName, readonly [string, string]> = {
  p1: ['tanger-nord', 'tanger'],
  p2: ['casa-est', 'casa'],
}
const SETTLING_MILLISECONDS = 12_000

export class Fleet {
  readonly callers = new CallerChecker()
  readonly #events = new EventQueue()
  readonly #random: SeededRandom
  readonly #group: FakeGroup
  readonly #shells: Record<ProxyName, FakeShell>
  #crashes = 0
  readonly #mutation: Mutation
  readonly #latestRequests = new Map<ProxyName, string>()
  readonly #leaving = new Set<ServerName>()
  readonly #stopping = new Set<ProxyName>()
  #sequence = 0
  #requests = 0

  constructor(seed: number, mutation: Mutation = {}) {
    this.#random = new SeededRandom(seed)
    this.#mutation = mutation
    this.#group = new FakeGroup(this.#events, this.#random)
    this.#shells = { p1: this.#newShell('p1'), p2: this.#newShell('p2') }
    this.#group.onRecord = () => {
      this.#propagateRecord()
    }
    for (const name of PROXIES) this.#sendSnapshot(name)
    this.#events.advance(50)
  }

  /** Runs the actions, ends all faults, and returns the violations that callers saw. */
  run(actions: readonly TimedAction[]): readonly string[] {
    for (const { action, delay } of actions) {
      this.#events.advance(delay)
      this.#perform(action)
    }
    this.#events.advance(50)
    this.#heal()
    this.#group.failOver(4)
    this.#events.advance(SETTLING_MILLISECONDS)
    const { primary } = this.#group.record
    for (const name of this.#stopping) {
      if (!this.#shells[name].stopped) this.callers.violations.push(`${name} did not stop`)
    }
    this.callers.checkFinalState(primary === null ? [] : this.#group.server(primary).writes)
    return this.callers.violations
  }

  #perform(action: FleetAction): void {
    switch (action.kind) {
      case 'request':
        this.#request(action.proxy, action.session, action.class, action.transaction === true)
        return
      case 'abandon':
        this.#abandon(action.proxy)
        return
      case 'kill': {
        const server = this.#group.server(action.server)
        server.isAlive = false
        server.incarnation += 1
        return
      }
      case 'restart':
        this.#group.server(action.server).isAlive = true
        return
      case 'lag':
        this.#group.server(action.server).isLagging = true
        return
      case 'catchUp':
        this.#group.server(action.server).isLagging = false
        return
      case 'partition':
        this.#group.cutOff = new Set(action.cutOff)
        return
      case 'heal':
        this.#heal()
        return
      case 'failOver':
        this.#group.failOver(action.steps)
        return
      case 'move':
        this.#group.move(action.completes)
        return
      case 'stop':
        this.#shells[action.proxy].send({ kind: 'stop' })
        this.#stopping.add(action.proxy)
        return
      case 'crash':
        this.#crash(action.proxy)
        return
      case 'list':
        this.#leaving[action.state === 'leaving' ? 'add' : 'delete'](action.server)
        for (const name of PROXIES) this.#sendSnapshot(name)
        return
      case 'loseAnswers':
        this.#shells[action.proxy].loseAnswers(action.count)
        return
    }
  }

  #request(proxy: ProxyName, session: string, workClass: string, wantsTransaction: boolean): void {
    const targets = CLASSES.find(each => each.name === workClass)
    if (targets === undefined) throw new Error(`no class ${workClass}`)
    this.#requests += 1
    const id = `${workClass}-${this.#requests}`
    // A bound session belongs to one incarnation of one proxy, so its name includes both.
    const roams = !session.startsWith('bound')
    const name = roams ? session : `${session}-${proxy}-${this.#crashes}`
    const { access, idempotent, freshnessMilliseconds } = targets
    const opensTransaction = wantsTransaction && access === 'write' && !idempotent
    this.callers.request({
      id,
      proxy,
      session: name,
      access,
      idempotent,
      freshnessMilliseconds,
      opensTransaction,
    })
    this.#latestRequests.set(proxy, id)
    this.#shells[proxy].send({
      kind: 'requestArrived',
      request: requestId(id),
      session: sessionId(name),
      roams: roams && this.#mutation.remembersRoamingSessions !== true,
      database: DATABASE,
      class: className(workClass),
    })
  }

  #abandon(proxy: ProxyName): void {
    const id = this.#latestRequests.get(proxy)
    if (id === undefined || this.callers.get(id).outcome !== 'none') return
    this.callers.abandon(id)
    this.#shells[proxy].send({ kind: 'requestAbandoned', request: requestId(id) })
  }

  /** The process crashes and a new one replaces it; its callers lose their connections. */
  #crash(name: ProxyName): void {
    this.#shells[name].crash()
    this.#stopping.delete(name)
    for (const request of this.callers.requests.values()) {
      if (request.proxy === name) this.callers.abandon(request.id)
    }
    this.#crashes += 1
    this.#shells[name] = this.#newShell(name)
    this.#sendSnapshot(name)
  }

  #heal(): void {
    this.#group.cutOff = new Set()
    this.#leaving.clear()
    for (const server of this.#group.servers) {
      server.isAlive = true
      server.isLagging = false
    }
    for (const name of PROXIES) this.#sendSnapshot(name)
  }

  #propagateRecord(): void {
    for (const name of PROXIES) {
      if (!this.#group.canReach(COORDINATOR, name)) continue
      // Snapshots may arrive out of order.
      const snapshot = this.#snapshot(name)
      const shell = this.#shells[name]
      this.#events.schedule(1 + this.#random.next() * 60, () => {
        shell.send({ kind: 'snapshot', snapshot })
      })
    }
  }

  #sendSnapshot(name: ProxyName): void {
    for (const each of SERVERS) this.#shells[name].noteListed(each, this.#leaving.has(each))
    this.#shells[name].send({ kind: 'snapshot', snapshot: this.#snapshot(name) })
  }

  #snapshot(name: ProxyName): RoutingSnapshot {
    this.#sequence += 1
    const mutate = this.#mutation.classTargets ?? (targets => targets)
    const classes = CLASSES.map(mutate)
    return {
      sequence: this.#sequence,
      entryHost: entryHostId(name),
      targets: {
        version: 1,
        changeId: 'first',
        changedBy: 'test',
        recentChangeIds: [],
        targets: { service: 'quai-sched', classes, defaults: [] },
      },
      targetsConfirmed: true,
      groups: [
        {
          record: this.#group.record,
          backendServers: SERVERS.map(each => this.#listedServer(each)),
        },
      ],
      entryHostCount: PROXIES.length,
    }
  }

  #listedServer(name: ServerName): ReturnType<typeof listedServer> {
    return listedServer(name, { state: this.#leaving.has(name) ? 'leaving' : 'live' })
  }

  #newShell(name: ProxyName): FakeShell {
    const [zone, region] = LOCATIONS[name]
    const location = { zone: availabilityZoneId(zone), region: regionId(region) }
    const core = new ProxyCore(location, this.#random)
    const parts = {
      events: this.#events,
      group: this.#group,
      callers: this.callers,
      random: this.#random,
    }
    return new FakeShell(name, core, parts, this.#mutation)
  }
}
