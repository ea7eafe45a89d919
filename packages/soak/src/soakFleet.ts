/**
 * The fleet of a run: entry hosts as separate processes, stand-ins for the store and the backend
 * servers in this process, and a relay on each link from callers to a host and from a host to the
 * store or a server, so that each of them can fail independently. Hosts connect to each other
 * directly.
 */
import { setTimeout as delay } from 'node:timers/promises'
import {
  availabilityZoneId,
  backendServerId,
  SeededRandom,
  type BackendServerId,
} from '@nutmegcourse/shared'
import type { BackendServerEntry } from '@nutmegcourse/protocol'
import {
  MemoryDialer,
  MemoryGroup,
  MemoryStore,
  Relay,
  freePorts,
  type MemoryServer,
} from '@nutmegcourse/stand-ins'
import {
  portOf,
  serveBackend,
  HEARTBEAT_MILLISECONDS,
  serveStore,
  writeSettings,
  type BackendHooks,
  type StoreEndpointFaults,
  type StoreResponse,
} from '@nutmegcourse/platform/standIns'
import { CALLERS, STORE } from './faultPlan.js'
import { configurationOf } from './fleetConfiguration.js'
import { HARD_LOAD_CONTRACTS, HARD_LOAD_SLOTS, keyOf, limitSlots } from './hardLoad.js'
import { HostProcess } from './hostProcess.js'
import { withPorts } from './memberAddresses.js'
import { Stutters } from './stutters.js'

export interface FleetPlan {
  readonly seed: number
  readonly hosts: number
  readonly services: number
  /** The connection limit of a backend server; a low limit makes only some hosts owners of connections. */
  readonly connectionLimit: number
  /** Whether there are customers and classes, and backend servers have few slots. */
  readonly isHardLoad: boolean
  /** From the acceptance of a promotion until its effect. */
  readonly promotionMilliseconds: number
  /** Whether replicas receive writes some milliseconds late, each another time. */
  readonly isReplicationDelayed: boolean
  /** Whether each version of the configuration adds a route and removes an older one. */
  readonly hasVersionRoutes: boolean
  /** What the servers add to reads, and who observes what they receive and answer. */
  readonly backendHooks: Pick<BackendHooks, 'rowsOf' | 'onReceived' | 'onSigned'>
  readonly program: string
  readonly directory: string
}

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const
const REGIONS = { 'zone-a': 'region-1', 'zone-b': 'region-1', 'zone-c': 'region-2' }

/** The one-way delay of every link through the relay, as between two availability zones. */
const LINK_DELAY_MILLISECONDS = 1
const STATEMENT_WORK_MILLISECONDS = 4
const SERVER_SLOTS = 3
export const DRAIN_MILLISECONDS = 5000
const GRACE_SECONDS = 4
/** From the entry of a new server until it receives and counts for acknowledgements. */
const SUCCESSOR_RECEIVES_MILLISECONDS = 200
const REPLICATION_STEP_MILLISECONDS = 7
/** An entry is removed after three missed heartbeats. */
const ENTRY_LIFETIME_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS
const SERVERS_PER_SERVICE = 3
/** One port each for callers, readiness and other hosts. */
const PORTS_PER_HOST = 3

export class SoakFleet {
  readonly plan: FleetPlan
  readonly store = new MemoryStore()
  readonly groups: readonly MemoryGroup[]
  readonly dialer: MemoryDialer
  readonly relay = new Relay({
    address: '127.0.0.1',
    port: 0,
    regions: {},
    zoneDelayMilliseconds: 0,
    regionDelayMilliseconds: LINK_DELAY_MILLISECONDS,
  })
  readonly hosts: HostProcess[] = []
  readonly stutters: Stutters
  /** The relay port at which callers reach each host. */
  readonly callerPorts = new Map<string, number>()
  /** The port on which each host itself listens for callers. */
  readonly directPorts = new Map<string, number>()
  readonly regions = new Map<string, string>()
  dropsStoreAnswers = false
  /** Called for each call to promote; see `StoreEndpointFaults`. */
  onPromotionCall: NonNullable<StoreEndpointFaults['takesPromotion']> = () => false
  /** Called with each version of the configuration that was published. */
  onPublished: (version: number) => void = () => undefined
  /** How late the store answers all hosts, in milliseconds. */
  storeDelayMilliseconds = 0
  /** Of the hosts that the store does not serve as usual. */
  readonly #storeResponses = new Map<string, StoreResponse>()
  readonly #storeListeners = new Map<string, { closeAllConnections(): void }>()
  #version = 0
  readonly #closeCallbacks: (() => void)[] = []
  readonly #entries = new Map<BackendServerId, BackendServerEntry>()
  readonly #lapsedEntries = new Set<BackendServerId>()
  readonly #replaced = new Set<string>()
  /** The successor of each server that is replaced. */
  readonly #successors = new Map<string, BackendServerId>()
  readonly #replicationMilliseconds = new Map<BackendServerId, number>()
  readonly #lapseTimers = new Map<string, NodeJS.Timeout>()
  /** Every server that ever ran, with its group. */
  readonly #servers = new Map<string, { group: MemoryGroup; server: MemoryServer }>()
  readonly #takenPorts = new Set<number>()
  /** The port of each server itself, by which records name it in the store. */
  readonly #listenPorts = new Map<string, number>()
  /** The relay ports by which each host reaches the servers. */
  readonly #serverPorts = new Map<string, Map<string, number>>()

  constructor(plan: FleetPlan) {
    this.plan = plan
    this.stutters = new Stutters(new SeededRandom(plan.seed))
    this.groups = Array.from({ length: plan.services }, (_, index) => {
      const service = `service-${String(index + 1)}`
      const servers = Array.from({ length: SERVERS_PER_SERVICE }, (__, place) =>
        backendServerId(`${service}-${String(place + 1)}`),
      )
      return new MemoryGroup({
        service,
        servers,
        connectionLimit: plan.connectionLimit,
        promotionMilliseconds: plan.promotionMilliseconds,
        replicationMilliseconds: this.#replicationMilliseconds,
      })
    })
    this.dialer = new MemoryDialer(this.groups)
    this.dialer.hooks.workMilliseconds = STATEMENT_WORK_MILLISECONDS
    if (plan.isHardLoad) limitSlots(this.dialer, this.groups)
  }

  async start(): Promise<void> {
    for (const group of this.groups) await this.#startGroup(group)
    this.publishConfiguration()
    // Allocated together: a port is free until its host listens, so a later call could return it again.
    const ports = await freePorts(this.plan.hosts * PORTS_PER_HOST)
    for (const port of ports) this.#takenPorts.add(port)
    for (let index = 0; index < this.plan.hosts; index += 1) {
      await this.#addHost(index, ports.slice(index * PORTS_PER_HOST))
    }
    const ready = await Promise.all(this.hosts.map(host => host.waitUntilReady()))
    if (!ready.every(Boolean)) throw new Error('an entry host did not become ready in time')
  }

  /** Publishes the next configuration version. */
  publishConfiguration(): void {
    this.#version += 1
    const { isHardLoad, hasVersionRoutes } = this.plan
    this.store.configure(configurationOf(this.#version, this.groups, isHardLoad, hasVersionRoutes))
    this.onPublished(this.#version)
  }

  /** Changes how the store responds to one host; null: as to all others. */
  setStoreResponse(host: string, response: StoreResponse | null): void {
    if (response === null) this.#storeResponses.delete(host)
    else this.#storeResponses.set(host, response)
    // A store that becomes silent leaves its connections open.
    if (response?.kind === 'silent') this.relay.silence({ from: [STORE], to: [host] })
    else this.#storeListeners.get(host)?.closeAllConnections()
  }

  #storeResponseTo(host: string): StoreResponse {
    const delayed: StoreResponse =
      this.storeDelayMilliseconds > 0
        ? { kind: 'late', milliseconds: this.storeDelayMilliseconds }
        : { kind: 'usual' }
    return this.#storeResponses.get(host) ?? delayed
  }

  host(name: string): HostProcess {
    const host = this.hosts.find(each => each.plan.name === name)
    if (host === undefined) throw new Error(`unknown host ${name}`)
    return host
  }

  groupOf(server: string): MemoryGroup {
    return this.#known(server).group
  }

  group(service: string): MemoryGroup {
    const group = this.groups.find(each => each.service === service)
    if (group === undefined) throw new Error(`unknown service ${service}`)
    return group
  }

  /** Also a server that has ended. */
  server(id: string): MemoryServer {
    return this.#known(id).server
  }

  #known(id: string): { group: MemoryGroup; server: MemoryServer } {
    const known = this.#servers.get(id)
    if (known === undefined) throw new Error(`unknown server ${id}`)
    return known
  }

  /** Updates a server's entry with its current role, if the entry changes. */
  updateServerEntry(server: string, isLeaving = false): void {
    const id = backendServerId(server)
    const entry = this.#entries.get(id)
    if (entry === undefined) return
    const { role } = this.server(server)
    const next = { ...entry, role, isLeaving: isLeaving || this.#replaced.has(id) }
    if (entry.role === role && entry.isLeaving === next.isLeaving) return
    this.#putEntry(next)
  }

  #putEntry(entry: BackendServerEntry): void {
    this.#entries.set(entry.server, entry)
    if (!this.#lapsedEntries.has(entry.server)) this.store.listServer(entry)
  }

  /** The server lives, and its entry is missing until it is restored. */
  lapseEntry(server: string): void {
    const id = backendServerId(server)
    if (!this.#entries.has(id)) return
    this.#lapsedEntries.add(id)
    this.store.unlistServer(id)
  }

  restoreEntry(server: string): void {
    const id = backendServerId(server)
    const entry = this.#entries.get(id)
    if (this.#lapsedEntries.delete(id) && entry !== undefined) this.store.listServer(entry)
  }

  /** Whether all others, at least two, hold every acknowledged write of the group. */
  isLogHeldBeside(id: string): boolean {
    const group = this.groupOf(id)
    const others = [...group.servers.values()].filter(server => server.id !== id)
    for (const other of others) group.receive(other)
    const logs = others.map(({ log }) => new Set(log.map(write => write.id)))
    return (
      logs.length >= 2 && group.acknowledged.every(write => logs.every(log => log.has(write.id)))
    )
  }

  /** Ends a server's process: its connections break, and new ones are refused. */
  crashServer(id: string): void {
    const { group, server } = this.#known(id)
    group.crash(server)
    this.dialer.closeConnections(server.id)
    this.relay.refuse(id, true)
  }

  /** Starts a server's process with its log, unless it runs. */
  recoverServer(id: string): void {
    const { group, server } = this.#known(id)
    this.relay.refuse(id, false)
    group.recover(server)
  }

  /** Stops a server; its entry lapses if it stays down. Without its log it doesn't know either that it led. */
  stopServer(id: string, losesLog: boolean): void {
    const { server } = this.#known(id)
    this.crashServer(id)
    if (losesLog) {
      server.log = []
      server.role = 'replica'
    }
    clearTimeout(this.#lapseTimers.get(id))
    const lapse = setTimeout(() => {
      this.lapseEntry(id)
    }, ENTRY_LIFETIME_MILLISECONDS)
    this.#lapseTimers.set(id, lapse)
  }

  startServer(id: string, isEmpty: boolean): void {
    const { group, server } = this.#known(id)
    clearTimeout(this.#lapseTimers.get(id))
    this.relay.refuse(id, false)
    if (isEmpty) group.restartEmpty(server)
    else group.recover(server)
    const entry = this.#entries.get(server.id)
    if (entry === undefined) return
    this.#putEntry({ ...entry, role: server.role, startedAtUnixMilliseconds: Date.now() })
    this.restoreEntry(id)
  }

  /** Announces that the server leaves for good. */
  announceReplacement(id: string): void {
    this.#replaced.add(id)
    this.updateServerEntry(id, true)
  }

  /** Starts the server that takes over the log and the place of a leaving one; its entry comes before it receives. */
  async startSuccessor(leaving: string): Promise<void> {
    const { group, server } = this.#known(leaving)
    const entry = this.#entries.get(server.id)
    if (entry === undefined) return
    const known = [...this.#servers.values()].filter(each => each.group === group)
    const id = backendServerId(`${group.service}-${String(known.length + 1)}`)
    this.#successors.set(leaving, id)
    this.#setReplicationDelay(id, known.length)
    await this.#addServer(group, id, entry.zone)
    await delay(SUCCESSOR_RECEIVES_MILLISECONDS)
    this.#servers.set(id, { group, server: group.addServer(id) })
  }

  /** Ends a leaving server, if its successor has started. */
  endReplacedServer(leaving: string): void {
    const { group, server } = this.#known(leaving)
    const successor = this.#successors.get(leaving)
    if (successor === undefined) {
      this.#replaced.delete(leaving)
      this.updateServerEntry(leaving, false)
    }
    if (successor === undefined || !group.servers.has(server.id)) return
    group.replaceServer(server, successor)
    this.#removeServer(server)
  }

  /** Ends a leaving server, and its log with it, if its successor has started. */
  endLeaver(leaving: string): void {
    const { group, server } = this.#known(leaving)
    if (!this.#successors.has(leaving) || !group.servers.has(server.id)) return
    group.removeServer(server)
    this.#removeServer(server)
  }

  #removeServer({ id }: MemoryServer): void {
    this.relay.refuse(id, true)
    this.dialer.closeConnections(id)
    this.#entries.delete(id)
    this.store.unlistServer(id)
  }

  setReplicationDelay(id: string, milliseconds: number): void {
    this.#replicationMilliseconds.set(backendServerId(id), milliseconds)
  }

  /** Back to what it is without a fault. */
  resetReplicationDelay(id: string): void {
    this.#setReplicationDelay(backendServerId(id), Number(id.split('-').at(-1)))
  }

  /** The replicas of a group receive one after the other. */
  #setReplicationDelay(id: BackendServerId, place: number): void {
    const { isReplicationDelayed } = this.plan
    const milliseconds = isReplicationDelayed
      ? ((place % 3) + 1) * REPLICATION_STEP_MILLISECONDS
      : 0
    this.#replicationMilliseconds.set(id, milliseconds)
  }

  /** Publishes role changes of running servers. */
  updateServerRoles(): void {
    // A successor that is just starting belongs to its group already, and listens only later.
    for (const { group, server } of this.#servers.values()) {
      if (!group.servers.has(server.id) || server.isDown || server.isSilent) continue
      this.updateServerEntry(server.id, this.#entries.get(server.id)?.isLeaving)
    }
  }

  close(): void {
    for (const timer of this.#lapseTimers.values()) clearTimeout(timer)
    for (const host of this.hosts) {
      host.signal('SIGCONT')
      host.signal('SIGKILL')
    }
    for (const close of this.#closeCallbacks) close()
    this.relay.stop()
  }

  async #startGroup(group: MemoryGroup): Promise<void> {
    let place = 0
    for (const server of group.servers.values()) {
      this.#servers.set(server.id, { group, server })
      this.#setReplicationDelay(server.id, place)
      await this.#addServer(group, server.id, availabilityZoneId(ZONES[place % 3] ?? ZONES[0]))
      place += 1
    }
  }

  /** Serves and lists a server. */
  async #addServer(
    group: MemoryGroup,
    id: BackendServerId,
    zone: BackendServerEntry['zone'],
  ): Promise<void> {
    const listener = await serveBackend(this.dialer, group, id, {
      ...this.plan.backendHooks,
      repeatsAfter: (server, kind) => this.stutters.repeatsAfter(server, kind),
      cutsOff: (server, kind, length) => this.stutters.cutsOff(server, kind, length),
      onRepeated: kind => {
        this.stutters.repeated[kind] += 1
      },
    })
    this.#closeCallbacks.push(() => listener.close())
    this.relay.setTarget(id, portOf(listener))
    this.#listenPorts.set(id, portOf(listener))
    for (const host of this.#serverPorts.keys()) await this.#openServerLink(host, id)
    this.#putEntry({
      server: id,
      service: group.service,
      host: '127.0.0.1',
      port: portOf(listener),
      zone,
      slots: this.plan.isHardLoad ? HARD_LOAD_SLOTS : SERVER_SLOTS,
      isLeaving: false,
      role: group.servers.get(id)?.role ?? 'replica',
      startedAtUnixMilliseconds: 1,
    })
  }

  /** A port that nothing of this fleet uses, also not a host or a server that is down. */
  async #takePort(): Promise<number> {
    for (;;) {
      const [port = 0] = await freePorts(1)
      if (this.#takenPorts.has(port)) continue
      this.#takenPorts.add(port)
      return port
    }
  }

  async #addHost(index: number, ports: readonly number[]): Promise<void> {
    const name = `host-${String(index + 1)}`
    const zone = ZONES[index % ZONES.length] ?? ZONES[0]
    this.regions.set(name, REGIONS[zone])
    this.#serverPorts.set(name, new Map())
    for (const server of this.#servers.keys()) await this.#openServerLink(name, server)
    const portAtHost = (server: string): number | undefined =>
      this.#serverPorts.get(name)?.get(server)
    const listener = await serveStore(this.store, this.groups, {
      response: () => this.#storeResponseTo(name),
      portOf: server => portAtHost(server) ?? 0,
      records: {
        toClient: (key, value) => withPorts(key, value, portAtHost),
        toStore: (key, value) => withPorts(key, value, server => this.#listenPorts.get(server)),
      },
      keysOf: customer => [keyOf(customer)],
      losesAnswer: method => method === 'POST' && this.dropsStoreAnswers,
      takesPromotion: (call, carryOut) => this.onPromotionCall(call, carryOut),
    })
    this.#closeCallbacks.push(() => {
      listener.closeAllConnections()
      listener.close()
    })
    this.#storeListeners.set(name, listener)
    this.relay.setTarget(`${STORE} of ${name}`, portOf(listener))
    const store = await this.relay.addLink({
      sourceZone: name,
      targetZone: STORE,
      target: `${STORE} of ${name}`,
    })
    const [callers = 0, readiness = 0, internal = 0] = ports
    this.relay.setTarget(name, callers)
    this.directPorts.set(name, callers)
    const link = { sourceZone: CALLERS, targetZone: name, target: name }
    this.callerPorts.set(name, await this.relay.addLink(link))
    const address = (port: number) => ({ host: '127.0.0.1', port })
    const host = new HostProcess({
      name,
      program: this.plan.program,
      directory: this.plan.directory,
      readinessPort: readiness,
      settings: writeSettings({
        entryHost: name,
        zone,
        regions: REGIONS,
        callers: address(callers),
        readiness: address(readiness),
        internalPorts: [internal, internal],
        store: address(store),
        drainMilliseconds: DRAIN_MILLISECONDS,
        graceSeconds: GRACE_SECONDS,
        ...(this.plan.isHardLoad ? { contracts: HARD_LOAD_CONTRACTS } : {}),
      }),
    })
    this.hosts.push(host)
    host.start()
  }

  /** Opens a separate relay port for each server, so that this host's link to it can fail independently. */
  async #openServerLink(host: string, server: string): Promise<void> {
    const link = { sourceZone: host, targetZone: server, target: server }
    this.#serverPorts.get(host)?.set(server, await this.relay.addLink(link, await this.#takePort()))
  }
}
