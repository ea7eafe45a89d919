/**
 * The fleet of a run: real entry hosts as processes, stand-ins of the store and of the backend
 * servers in this one, and a relay on every way between them, so that each way can fail by itself.
 */
import { availabilityZoneId, backendServerId, type BackendServerId } from '@nutmegcourse/shared'
import type { BackendServerEntry, FleetConfiguration, Route } from '@nutmegcourse/protocol'
import { MemoryDialer, MemoryGroup, MemoryStore, Relay, freePorts } from '@nutmegcourse/stand-ins'
import { portOf, serveBackend, serveStore, writeSettings } from '@nutmegcourse/platform/standIns'
import { CALLERS, STORE } from './faultPlan.js'
import { HostProcess } from './hostProcess.js'

export interface WorldPlan {
  readonly hosts: number
  readonly services: number
  /** Connections that a backend server takes; few make owners of some hosts. */
  readonly connectionLimit: number
  readonly program: string
  readonly directory: string
}

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const
const REGIONS = { 'zone-a': 'region-1', 'zone-b': 'region-1', 'zone-c': 'region-2' }

/** One way, between any two; what one availability zone takes to the next. */
const DELAY_MILLISECONDS = 1
const WORK_MILLISECONDS = 4
const PROMOTION_MILLISECONDS = 300
export const DRAIN_MILLISECONDS = 5000
const GRACE_SECONDS = 4
export const BOUNDED_AGE_MILLISECONDS = 1500
const SERVERS_EACH = 3
/** For callers, readiness, and other hosts. */
const PORTS_EACH = 3

export type Guarantee = 'latest' | 'bounded' | 'own'
export const GUARANTEES: readonly Guarantee[] = ['latest', 'bounded', 'own']

export const databaseName = (service: string, guarantee: Guarantee): string =>
  `${service}-${guarantee}`

export class SoakWorld {
  readonly plan: WorldPlan
  readonly store = new MemoryStore()
  readonly groups: readonly MemoryGroup[]
  readonly dialer: MemoryDialer
  readonly relay = new Relay({
    address: '127.0.0.1',
    port: 0,
    regions: {},
    zoneDelayMilliseconds: 0,
    regionDelayMilliseconds: DELAY_MILLISECONDS,
  })
  readonly hosts: HostProcess[] = []
  /** Where callers reach each host. */
  readonly callerPorts = new Map<string, number>()
  losesStoreAnswers = false
  #version = 0
  readonly #closing: (() => void)[] = []
  readonly #entries = new Map<BackendServerId, BackendServerEntry>()

  constructor(plan: WorldPlan) {
    this.plan = plan
    this.groups = Array.from({ length: plan.services }, (_, index) => {
      const service = `service-${String(index + 1)}`
      const servers = Array.from({ length: SERVERS_EACH }, (__, place) =>
        backendServerId(`${service}-${String(place + 1)}`),
      )
      return new MemoryGroup({
        service,
        servers,
        connectionLimit: plan.connectionLimit,
        promotionMilliseconds: PROMOTION_MILLISECONDS,
      })
    })
    this.dialer = new MemoryDialer(this.groups)
    this.dialer.hooks.workMilliseconds = WORK_MILLISECONDS
  }

  async start(): Promise<void> {
    for (const group of this.groups) await this.#startGroup(group)
    this.configure()
    // All at once: a port drawn earlier is free still when the next are drawn, until its host listens.
    const ports = await freePorts(this.plan.hosts * PORTS_EACH)
    for (let index = 0; index < this.plan.hosts; index += 1) {
      await this.#addHost(index, ports.slice(index * PORTS_EACH))
    }
    const ready = await Promise.all(this.hosts.map(host => host.whenReady()))
    if (!ready.every(Boolean)) throw new Error('a host never became ready')
  }

  /** Writes the next version: the routes, with time limits that change from version to version. */
  configure(): void {
    this.#version += 1
    const timeout = 700 + (this.#version % 4) * 100
    const route = (service: string, guarantee: Guarantee): Route => ({
      name: `r-${service}-${guarantee}`,
      database: databaseName(service, guarantee),
      service,
      guarantee: GUARANTEE_TYPES[guarantee],
      statementTimeoutMilliseconds: timeout,
      latencyTargetMilliseconds: 600,
      priority: 1,
      isPublic: false,
    })
    const configuration: FleetConfiguration = {
      version: this.#version,
      routes: this.groups.flatMap(({ service }) => GUARANTEES.map(each => route(service, each))),
      services: this.groups.map(({ service, connectionLimit }) => ({
        name: service,
        connectionLimit,
        synchronousReplicas: 1,
      })),
      customers: [],
      idleTransactionMilliseconds: 2000,
    }
    this.store.configure(configuration)
  }

  host(name: string): HostProcess {
    const host = this.hosts.find(each => each.plan.name === name)
    if (host === undefined) throw new Error(`no host ${name}`)
    return host
  }

  groupOf(server: string): MemoryGroup {
    const group = this.groups.find(each => each.servers.has(backendServerId(server)))
    if (group === undefined) throw new Error(`no server ${server}`)
    return group
  }

  /** Writes a server's entry anew, in the role that it has now. */
  list(server: string, isLeaving = false): void {
    const id = backendServerId(server)
    const entry = this.#entries.get(id)
    if (entry === undefined) return
    const { role } = this.groupOf(server).server(id)
    const next = { ...entry, role, isLeaving }
    if (entry.role === role && entry.isLeaving === isLeaving) return
    this.#entries.set(id, next)
    this.store.listServer(next)
  }

  /** Servers say at once when their role changes, those that run. */
  listRoles(): void {
    for (const group of this.groups) {
      for (const server of group.servers.values()) {
        if (!server.isDown && !server.isSilent) {
          this.list(server.id, this.#entries.get(server.id)?.isLeaving)
        }
      }
    }
  }

  close(): void {
    for (const host of this.hosts) {
      host.signal('SIGCONT')
      host.signal('SIGKILL')
    }
    for (const close of this.#closing) close()
    this.relay.stop()
  }

  async #startGroup(group: MemoryGroup): Promise<void> {
    let place = 0
    for (const server of group.servers.values()) {
      const listener = await serveBackend(this.dialer, group, server.id)
      this.#closing.push(() => listener.close())
      this.relay.target(server.id, portOf(listener))
      const entry: BackendServerEntry = {
        server: server.id,
        service: group.service,
        host: '127.0.0.1',
        port: portOf(listener),
        zone: availabilityZoneId(ZONES[place % ZONES.length] ?? ZONES[0]),
        slots: 3,
        isLeaving: false,
        role: server.role,
        startedAtUnixMilliseconds: 1,
      }
      this.#entries.set(server.id, entry)
      this.store.listServer(entry)
      place += 1
    }
  }

  async #addHost(index: number, ports: readonly number[]): Promise<void> {
    const name = `host-${String(index + 1)}`
    const zone = ZONES[index % ZONES.length] ?? ZONES[0]
    const serverPorts = await this.#serverPorts(name)
    const listener = await serveStore(this.store, this.groups, {
      portOf: server => serverPorts.get(server) ?? 0,
      losesAnswer: method => method === 'POST' && this.losesStoreAnswers,
    })
    this.#closing.push(() => {
      listener.closeAllConnections()
      listener.close()
    })
    this.relay.target(`${STORE} of ${name}`, portOf(listener))
    const store = await this.relay.open({
      sourceZone: name,
      targetZone: STORE,
      target: `${STORE} of ${name}`,
    })
    const [callers = 0, readiness = 0, internal = 0] = ports
    this.relay.target(name, callers)
    const link = { sourceZone: CALLERS, targetZone: name, target: name }
    this.callerPorts.set(name, await this.relay.open(link))
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
      }),
    })
    this.hosts.push(host)
    host.start()
  }

  /** A port of its own for each server, so that this host's way to it can fail alone. */
  async #serverPorts(host: string): Promise<Map<string, number>> {
    const ports = new Map<string, number>()
    for (const group of this.groups) {
      for (const server of group.servers.keys()) {
        const link = { sourceZone: host, targetZone: server, target: server }
        ports.set(server, await this.relay.open(link))
      }
    }
    return ports
  }
}

const GUARANTEE_TYPES: Readonly<Record<Guarantee, Route['guarantee']>> = {
  latest: { kind: 'latest' },
  bounded: { kind: 'bounded', maximumAgeMilliseconds: BOUNDED_AGE_MILLISECONDS },
  own: { kind: 'ownWrites', maximumAgeMilliseconds: BOUNDED_AGE_MILLISECONDS },
}
