/**
 * Simulates several failover machines, fake backend servers and a fake store under a virtual clock,
 * joined by links with the latencies of a deployment. Writers acknowledge by a majority, as proxies
 * do.
 */
import {
  SeededRandom,
  attemptId,
  availabilityZoneId,
  backendServerId,
  databaseId,
  entryHostId,
  regionId,
  type BackendServerId,
  type EntryHostId,
  type VirtualClock,
} from '@nutmegcourse/shared'
import type { GroupRecord, ListedBackendServer } from '@nutmegcourse/protocol'
import {
  FailoverCore,
  isNewerRecord,
  type ControlFailure,
  type FailoverEffect,
  type FailoverEvent,
  type FailoverMessage,
  type FailoverOptions,
  type KnownRecord,
  type Watcher,
} from '@nutmegcourse/coordination'

import { FakeBackendServer, type ControlReply } from './fakeBackendServer.js'
import { FakeRecordStore } from './fakeRecordStore.js'
import { MajorityWriters } from './majorityWriters.js'
import { ATLAS_QUAI, VirtualNetwork, type ZoneLayout } from './virtualNetwork.js'

const DATABASE = databaseId('quai-sched-1')
/** Between two transmissions of a primary's log. */
const REPLICATION_INTERVAL_MILLISECONDS = 5
/** Until the other hosts know that a host was killed. */
const MEMBERSHIP_DELAY_MILLISECONDS = 1_000

interface WatcherNode {
  readonly watcher: Watcher
  core: FailoverCore
  wakeAt: number | null
  /** The record by which this host's proxies route. */
  routed: KnownRecord | null
}

export interface SimulationOptions {
  readonly seed?: number
  readonly failover?: Partial<FailoverOptions>
  readonly layout?: ZoneLayout
  /** The index of the server that leads at the start. */
  readonly primary?: number
  /** The zone of each watcher; by default one watcher in each zone. */
  readonly watcherZones?: readonly string[]
  /** Extra delay of replication by server index, in milliseconds. */
  readonly lag?: readonly number[]
  /** Between two writes of each host, in milliseconds. */
  readonly writeIntervals?: readonly number[]
  /** False if the hosts are never told which hosts are alive. */
  readonly isMembershipKnown?: boolean
}

export class FailoverSimulation {
  readonly network: VirtualNetwork
  readonly store: FakeRecordStore
  readonly writers: MajorityWriters
  readonly servers: readonly FakeBackendServer[]
  readonly nodes: readonly WatcherNode[]
  readonly events: FailoverEvent[] = []
  /** Called with each effect before it is executed; false drops the effect. */
  intercept: (host: number, effect: FailoverEffect) => boolean = () => true
  /** Called with each message before its host handles it. */
  observeMessage: (host: number, message: FailoverMessage) => void = () => undefined
  lag: number[]
  /** How much later than a host its proxies learn of a record, by host index, in milliseconds. */
  snapshotDelay: readonly number[] = []
  /** Hosts of an earlier version, by index: they do not report that they hold their writes. */
  readonly silentHosts = new Set<number>()
  /** Calls that wait for the single control connection from a host to a server; absent while idle. */
  readonly #queuedCalls = new Map<string, (() => void)[]>()
  #listedServers: readonly ListedBackendServer[]
  readonly #options: SimulationOptions

  constructor(options: SimulationOptions = {}) {
    this.#options = options
    this.network = new VirtualNetwork(options.layout ?? ATLAS_QUAI)
    this.lag = [...(options.lag ?? [0, 0, 0])]
    const { zones } = this.network.layout
    this.servers = zones.map((zone, index) => makeServer(this.network, zone, index))
    this.#listedServers = this.servers.map((server, index) =>
      this.#createListedServer(server, zones[index] ?? ''),
    )
    this.#setFirstPrimary()
    this.nodes = (options.watcherZones ?? zones).map((zone, index) => this.#makeNode(zone, index))
    const hosts = this.nodes.map(node => node.watcher.entryHost)
    this.store = new FakeRecordStore(
      this.network,
      this.#firstRecord(),
      hosts,
      (host, record, revision) => {
        this.send(host, { kind: 'record', record, revision })
      },
    )
    this.#startNodes()
    this.#scheduleReplication()
    this.writers = new MajorityWriters(
      this.network,
      this.servers,
      hosts,
      host => this.#primaryOf(host),
      options.writeIntervals,
    )
  }

  get clock(): VirtualClock {
    return this.network.clock
  }

  get now(): number {
    return this.network.now
  }

  server(index: number): FakeBackendServer {
    const server = this.servers[index]
    if (server === undefined) throw new Error(`no server ${index}`)
    return server
  }

  node(index: number): WatcherNode {
    const node = this.nodes[index]
    if (node === undefined) throw new Error(`no watcher ${index}`)
    return node
  }

  hostName(index: number): string {
    return this.node(index).watcher.entryHost
  }

  leader(): FakeBackendServer | null {
    const leading = this.servers.filter(server => server.leads && !this.network.isDead(server.id))
    return leading.sort((left, right) => right.lastTerm - left.lastTerm)[0] ?? null
  }

  /** Kills a host or a server; the watchers' connections to a killed server break. */
  kill(name: string): void {
    this.network.kill(name)
    const server = this.servers.find(each => each.id === name)
    if (server === undefined) {
      this.network.schedule(MEMBERSHIP_DELAY_MILLISECONDS, () => {
        this.sendWriters()
      })
      return
    }
    this.nodes.forEach((node, host) => {
      this.network.send(name, node.watcher.entryHost, () => {
        const askedAt = this.clock.now()
        this.send(host, { kind: 'positionFailed', server: server.id, failure: 'lost', askedAt })
      })
    })
  }

  setLeaving(...indexes: readonly number[]): void {
    this.#listedServers = this.#listedServers.map((server, index) =>
      indexes.includes(index) ? { ...server, state: 'leaving' } : server,
    )
    this.nodes.forEach((_, host) => {
      this.send(host, { kind: 'backendServers', servers: this.#listedServers })
    })
  }

  /** Reduces the host list to the lines of the given servers. */
  listOnly(...indexes: readonly number[]): void {
    const servers = this.#listedServers.filter((_, index) => indexes.includes(index))
    this.nodes.forEach((_, host) => {
      this.send(host, { kind: 'backendServers', servers })
    })
  }

  /** Sets the watchers and sends the list to them and to one former watcher. */
  setWatchers(indexes: readonly number[], former: number): void {
    const watchers = indexes.map(index => this.node(index).watcher)
    for (const index of [...indexes, former]) this.send(index, { kind: 'watchers', watchers })
  }

  /** Tells every host which hosts are alive, but for those that left. */
  sendWriters(left: readonly number[] = []): void {
    this.nodes.forEach((_, host) => {
      this.#sendWritersTo(host, left)
    })
  }

  #sendWritersTo(host: number, left: readonly number[]): void {
    if (this.#options.isMembershipKnown === false) return
    this.send(host, { kind: 'writers', hosts: this.#liveHosts(left) })
  }

  /** Starts a new incarnation of the host: its machine loses all state. */
  restart(index: number): void {
    const node = this.node(index)
    node.core = this.#makeCore(node.watcher, index + 100)
    node.wakeAt = null
    this.#sendInitialMessages(index)
  }

  /** Resumes a host that stalled. A process runs its expired timers before it reads what arrived. */
  thawTimersFirst(index: number): void {
    this.runTimers(index)
    this.network.thaw(this.hostName(index))
  }

  /** Runs the expired timers of a host, also of one that has not read yet what arrived. */
  runTimers(index: number): void {
    const { core } = this.node(index)
    const effects = core.handle({ kind: 'tick' }, this.clock.now())
    for (const effect of effects) this.executeEffect(index, effect)
  }

  runFor(span: number): void {
    this.network.runFor(span)
  }

  send(host: number, message: FailoverMessage): void {
    const name = this.hostName(host)
    if (this.network.isDead(name)) return
    this.network.whenRunning(name, () => {
      this.#receive(host, message)
    })
  }

  /** The longest time since `from` without an acknowledged write of any host. */
  gapSince(from: number): number {
    return this.writers.gapSince(from)
  }

  /** The longest time since `from` without an acknowledged write of a single host; skips unavailable hosts. */
  longestHostGapSince(from: number): number {
    const hosts = this.nodes.map(node => node.watcher.entryHost)
    const up = hosts.filter(host => !this.network.isUnavailable(host))
    return Math.max(...up.map(host => this.writers.gapSince(from, host)))
  }

  /** Acknowledged writes that the leader's log lacks or holds more than once. */
  lostOrDuplicatedWrites(): readonly number[] {
    const held = (this.leader()?.log ?? []).flatMap(record => record.write ?? [])
    const counts = new Map<number, number>()
    for (const write of held) counts.set(write, (counts.get(write) ?? 0) + 1)
    return this.writers.acknowledged
      .map(entry => entry.write)
      .filter(write => counts.get(write) !== 1)
  }

  /** Whether every live server follows the leader at its term and every live host routes to it. */
  hasConverged(): boolean {
    const leader = this.leader()
    if (leader === null) return false
    const servers = this.servers.filter(server => !this.network.isUnavailable(server.id))
    const nodes = this.nodes.filter(node => !this.network.isUnavailable(node.watcher.entryHost))
    return (
      servers.every(server => server === leader || server.source === leader.id) &&
      servers.every(server => server.lastTerm === leader.lastTerm) &&
      nodes.every(node => node.routed?.record.primary === leader.id) &&
      nodes.every(node => node.routed?.record.phase.kind === 'stable') &&
      nodes.every(node => node.routed?.record.term === leader.lastTerm)
    )
  }

  steps(): readonly string[] {
    return this.events.map(event => event.step)
  }

  #makeNode(zone: string, index: number): WatcherNode {
    const watcher: Watcher = {
      entryHost: entryHostId(`host-${index}`),
      zone: availabilityZoneId(zone),
      region: regionId(this.network.regionOf(zone)),
    }
    this.network.addProcess(watcher.entryHost, zone)
    return { watcher, core: this.#makeCore(watcher, index), wakeAt: null, routed: null }
  }

  #makeCore(self: Watcher, salt: number): FailoverCore {
    let attempts = 0
    const options = this.#options.failover ?? {}
    const random = new SeededRandom((this.#options.seed ?? 1) * 1_000 + salt)
    return new FailoverCore({ database: DATABASE, self, options }, random, () => {
      attempts += 1
      return attemptId(`${self.entryHost}-${salt}-${attempts}`)
    })
  }

  #firstRecord(): GroupRecord {
    return {
      database: DATABASE,
      term: this.server(0).report().position.term,
      primary: this.server(this.#options.primary ?? 0).id,
      phase: { kind: 'stable' },
      coordinator: null,
      attempt: null,
      termStarts: [],
    }
  }

  #receive(host: number, message: FailoverMessage): void {
    const node = this.node(host)
    this.observeMessage(host, message)
    if (message.kind === 'record') this.#route(node, message)
    for (const effect of node.core.handle(message, this.clock.now())) {
      if (this.intercept(host, effect)) this.executeEffect(host, effect)
    }
    if (node.core.knownRecord !== null) this.#route(node, node.core.knownRecord)
    this.#scheduleWake(host)
  }

  #startNodes(): void {
    this.nodes.forEach((_, index) => {
      this.#sendInitialMessages(index)
    })
  }

  #sendInitialMessages(index: number): void {
    const watchers = this.nodes.map(node => node.watcher)
    this.#sendWritersTo(index, [])
    this.send(index, { kind: 'watchers', watchers })
    this.send(index, { kind: 'backendServers', servers: this.#listedServers })
  }

  #liveHosts(left: readonly number[]): readonly EntryHostId[] {
    return this.nodes
      .filter((_, index) => !left.includes(index))
      .map(node => node.watcher.entryHost)
      .filter(host => !this.network.isDead(host))
  }

  #route(node: WatcherNode, known: KnownRecord): void {
    const delay = this.snapshotDelay[this.nodes.indexOf(node)] ?? 0
    const apply = (): void => {
      if (!isNewerRecord(known, node.routed)) return
      node.routed = known
      if (known.record.phase.kind === 'moving') this.#confirmWhenIdle(node, known.record)
    }
    if (delay === 0) apply()
    else this.network.schedule(delay, apply)
  }

  /** The proxies of a host report once no write of theirs is in flight. */
  #confirmWhenIdle(node: WatcherNode, { coordinator, attempt }: GroupRecord): void {
    const { entryHost } = node.watcher
    const index = this.nodes.indexOf(node)
    const coordinatorIndex = this.nodes.findIndex(each => each.watcher.entryHost === coordinator)
    if (coordinator === null || attempt === null || this.silentHosts.has(index)) return
    this.writers.whenIdle(index, () => {
      if (node.routed?.record.attempt !== attempt) return
      this.network.send(entryHost, coordinator, () => {
        this.send(coordinatorIndex, { kind: 'writesHeld', host: entryHost, attempt })
      })
    })
  }

  #scheduleWake(host: number): void {
    const node = this.node(host)
    const wakeAt = node.core.nextWake(this.clock.now())
    if (wakeAt === null || (node.wakeAt !== null && node.wakeAt <= wakeAt)) return
    node.wakeAt = wakeAt
    this.network.schedule(Math.max(0.1, wakeAt - this.now), () => {
      node.wakeAt = null
      this.send(host, { kind: 'tick' })
    })
  }

  /** Executes an effect without calling `intercept`. */
  executeEffect(host: number, effect: FailoverEffect): void {
    switch (effect.kind) {
      case 'askPosition':
        this.#askPosition(host, effect)
        return
      case 'fence':
        this.#executeControlCall(host, effect, server => server.fence(effect.term))
        return
      case 'promote':
        this.#executeControlCall(host, effect, server => server.promote(effect.term))
        return
      case 'follow':
        this.#executeControlCall(host, effect, server => server.follow(effect.term, effect.primary))
        return
      case 'readRecord':
      case 'swapRecord':
        this.store.call(this.hostName(host), effect, outcome => {
          this.send(host, { kind: 'storeAnswered', call: effect.call, outcome })
        })
        return
      case 'tellWatchers':
        this.#sendToOthers(host, { kind: 'opinion', opinion: effect.opinion })
        return
      case 'announce': {
        const { record, revision } = effect
        this.#route(this.node(host), { record, revision })
        this.#sendToOthers(host, { kind: 'record', record, revision })
        return
      }
      case 'event':
        this.events.push(effect.event)
        return
    }
  }

  #sendToOthers(host: number, message: FailoverMessage): void {
    const from = this.hostName(host)
    this.nodes.forEach((node, index) => {
      if (index === host) return
      this.network.send(from, node.watcher.entryHost, () => {
        this.send(index, message)
      })
    })
  }

  #askPosition(host: number, effect: Extract<FailoverEffect, { kind: 'askPosition' }>): void {
    const askedAt = this.clock.now()
    const { server } = effect
    const fail = (failure: ControlFailure): void => {
      this.send(host, { kind: 'positionFailed', server, failure, askedAt })
    }
    this.#call(
      host,
      effect,
      target => ({ kind: 'report', report: target.report() }),
      fail,
      report => {
        this.send(host, { kind: 'positionAnswered', server, report, askedAt })
      },
    )
  }

  #executeControlCall(
    host: number,
    effect: Extract<FailoverEffect, { kind: 'fence' | 'promote' | 'follow' }>,
    run: (server: FakeBackendServer) => ControlReply,
  ): void {
    const { call } = effect
    const fail = (failure: ControlFailure): void => {
      this.send(host, { kind: 'controlFailed', call, failure })
    }
    this.#call(host, effect, run, fail, report => {
      this.send(host, { kind: 'controlAnswered', call, report })
    })
  }

  #call(
    host: number,
    effect: { readonly server: string; readonly timeoutMilliseconds: number },
    run: (server: FakeBackendServer) => ControlReply,
    fail: (failure: ControlFailure) => void,
    succeed: (report: ReturnType<FakeBackendServer['report']>) => void,
  ): void {
    const from = this.hostName(host)
    const link = `${host} ${effect.server}`
    let isOpen = true
    let isSent = false
    const once = (act: () => void): void => {
      if (!isOpen) return
      isOpen = false
      if (isSent) this.#release(link)
      act()
    }
    this.network.schedule(effect.timeoutMilliseconds, () => {
      once(() => {
        fail('timeout')
      })
    })
    this.#whenFree(link, () => {
      if (!isOpen) {
        this.#release(link)
        return
      }
      isSent = true
      this.#deliver(from, effect.server, run, once, fail, succeed)
    })
  }

  #deliver(
    from: string,
    to: string,
    run: (server: FakeBackendServer) => ControlReply,
    once: (act: () => void) => void,
    fail: (failure: ControlFailure) => void,
    succeed: (report: ReturnType<FakeBackendServer['report']>) => void,
  ): void {
    this.network.send(from, to, () => {
      const target = this.servers.find(server => server.id === to)
      const isDead = target === undefined || this.network.isDead(target.id)
      const reply: ControlReply | 'refused' = isDead ? 'refused' : run(target)
      if (!isDead) this.#replicate(target)
      this.network.send(to, from, () => {
        once(() => {
          if (reply === 'refused') fail('refused')
          else if (reply.kind === 'staleTerm') fail('staleTerm')
          else succeed(reply.report)
        })
      })
    })
  }

  /** Runs now, or once the earlier calls on the connection are answered. */
  #whenFree(link: string, run: () => void): void {
    const waiting = this.#queuedCalls.get(link)
    if (waiting !== undefined) {
      waiting.push(run)
      return
    }
    this.#queuedCalls.set(link, [])
    run()
  }

  #release(link: string): void {
    const next = this.#queuedCalls.get(link)?.shift()
    if (next === undefined) this.#queuedCalls.delete(link)
    else next()
  }

  #replicate(source: FakeBackendServer): void {
    if (source.role !== 'primary') return
    const sent = { term: source.lastTerm, log: source.log, length: source.log.length }
    this.servers.forEach((replica, index) => {
      if (replica === source) return
      this.network.schedule(this.lag[index] ?? 0, () => {
        if (this.network.isDead(source.id)) return
        this.network.send(source.id, replica.id, () => {
          if (!this.network.isDead(replica.id)) replica.replicate(source.id, sent)
        })
      })
    })
  }

  #scheduleReplication(): void {
    this.network.schedule(REPLICATION_INTERVAL_MILLISECONDS, () => {
      for (const server of this.servers) {
        if (!this.network.isUnavailable(server.id)) this.#replicate(server)
      }
      this.#scheduleReplication()
    })
  }

  /** The primary to which the host's proxies write; they hold writes in every phase but `stable`. */
  #primaryOf(host: number): BackendServerId | null {
    const record = this.node(host).routed?.record
    const isUp =
      !this.network.isDead(this.hostName(host)) && !this.network.isFrozen(this.hostName(host))
    return isUp && record?.phase.kind === 'stable' ? record.primary : null
  }

  #setFirstPrimary(): void {
    const primary = this.server(this.#options.primary ?? 0)
    for (const server of this.servers) server.source = primary.id
    primary.source = null
    primary.role = 'primary'
  }

  #createListedServer(server: FakeBackendServer, zone: string): ListedBackendServer {
    return {
      kind: 'backendServer',
      id: server.id,
      database: DATABASE,
      address: '127.0.0.1',
      port: 1,
      zone: availabilityZoneId(zone),
      region: regionId(this.network.regionOf(zone)),
      state: 'live',
      slots: 3,
      connectionLimit: 25,
    }
  }
}

function makeServer(network: VirtualNetwork, zone: string, index: number): FakeBackendServer {
  const id = backendServerId(`server-${index}`)
  network.addProcess(id, zone)
  return new FakeBackendServer(id, [{ term: 1, write: null }], 1)
}
