/**
 * The fleet of a run: entry hosts as separate processes, stand-ins for the store and the backend
 * servers in this process, and a relay on each link from callers to a host and from a host to the
 * store or a server, so that each of them can fail independently. Hosts connect to each other
 * directly.
 */
import { availabilityZoneId, backendServerId, type BackendServerId } from '@nutmegcourse/shared'
import type { BackendServerEntry } from '@nutmegcourse/protocol'
import { MemoryDialer, MemoryGroup, MemoryStore, Relay, freePorts } from '@nutmegcourse/stand-ins'
import { portOf, serveBackend, serveStore, writeSettings } from '@nutmegcourse/platform/standIns'
import { CALLERS, STORE } from './faultPlan.js'
import { configurationOf } from './fleetConfiguration.js'
import { HARD_LOAD_CONTRACTS, HARD_LOAD_SLOTS, keyOf, limitSlots } from './hardLoad.js'
import { HostProcess } from './hostProcess.js'

export interface FleetPlan {
  readonly hosts: number
  readonly services: number
  /** The connection limit of a backend server; a low limit makes only some hosts owners of connections. */
  readonly connectionLimit: number
  /** Whether there are customers and classes, and backend servers have few slots. */
  readonly isHardLoad: boolean
  readonly program: string
  readonly directory: string
}

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const
const REGIONS = { 'zone-a': 'region-1', 'zone-b': 'region-1', 'zone-c': 'region-2' }

/** The one-way delay of every link through the relay, as between two availability zones. */
const LINK_DELAY_MILLISECONDS = 1
const STATEMENT_WORK_MILLISECONDS = 4
const SERVER_SLOTS = 3
const PROMOTION_MILLISECONDS = 300
export const DRAIN_MILLISECONDS = 5000
const GRACE_SECONDS = 4
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
  /** The relay port at which callers reach each host. */
  readonly callerPorts = new Map<string, number>()
  readonly regions = new Map<string, string>()
  dropsStoreAnswers = false
  #version = 0
  readonly #closeCallbacks: (() => void)[] = []
  readonly #entries = new Map<BackendServerId, BackendServerEntry>()

  constructor(plan: FleetPlan) {
    this.plan = plan
    this.groups = Array.from({ length: plan.services }, (_, index) => {
      const service = `service-${String(index + 1)}`
      const servers = Array.from({ length: SERVERS_PER_SERVICE }, (__, place) =>
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
    this.dialer.hooks.workMilliseconds = STATEMENT_WORK_MILLISECONDS
    if (plan.isHardLoad) limitSlots(this.dialer, this.groups)
  }

  async start(): Promise<void> {
    for (const group of this.groups) await this.#startGroup(group)
    this.publishConfiguration()
    // Allocated together: a port is free until its host listens, so a later call could return it again.
    const ports = await freePorts(this.plan.hosts * PORTS_PER_HOST)
    for (let index = 0; index < this.plan.hosts; index += 1) {
      await this.#addHost(index, ports.slice(index * PORTS_PER_HOST))
    }
    const ready = await Promise.all(this.hosts.map(host => host.waitUntilReady()))
    if (!ready.every(Boolean)) throw new Error('an entry host did not become ready in time')
  }

  /** Publishes the next configuration version. */
  publishConfiguration(): void {
    this.#version += 1
    const { isHardLoad } = this.plan
    this.store.configure(configurationOf(this.#version, this.groups, isHardLoad))
  }

  host(name: string): HostProcess {
    const host = this.hosts.find(each => each.plan.name === name)
    if (host === undefined) throw new Error(`unknown host ${name}`)
    return host
  }

  groupOf(server: string): MemoryGroup {
    const group = this.groups.find(each => each.servers.has(backendServerId(server)))
    if (group === undefined) throw new Error(`unknown server ${server}`)
    return group
  }

  /** Updates a server's entry with its current role, if the entry changes. */
  updateServerEntry(server: string, isLeaving = false): void {
    const id = backendServerId(server)
    const entry = this.#entries.get(id)
    if (entry === undefined) return
    const { role } = this.groupOf(server).server(id)
    const next = { ...entry, role, isLeaving }
    if (entry.role === role && entry.isLeaving === isLeaving) return
    this.#entries.set(id, next)
    this.store.listServer(next)
  }

  /** Publishes role changes of running servers. */
  updateServerRoles(): void {
    for (const group of this.groups) {
      for (const server of group.servers.values()) {
        if (!server.isDown && !server.isSilent) {
          this.updateServerEntry(server.id, this.#entries.get(server.id)?.isLeaving)
        }
      }
    }
  }

  close(): void {
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
      const listener = await serveBackend(this.dialer, group, server.id)
      this.#closeCallbacks.push(() => listener.close())
      this.relay.setTarget(server.id, portOf(listener))
      const entry: BackendServerEntry = {
        server: server.id,
        service: group.service,
        host: '127.0.0.1',
        port: portOf(listener),
        zone: availabilityZoneId(ZONES[place % ZONES.length] ?? ZONES[0]),
        slots: this.plan.isHardLoad ? HARD_LOAD_SLOTS : SERVER_SLOTS,
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
    this.regions.set(name, REGIONS[zone])
    const serverPorts = await this.#openServerLinks(name)
    const listener = await serveStore(this.store, this.groups, {
      portOf: server => serverPorts.get(server) ?? 0,
      keysOf: customer => [keyOf(customer)],
      losesAnswer: method => method === 'POST' && this.dropsStoreAnswers,
    })
    this.#closeCallbacks.push(() => {
      listener.closeAllConnections()
      listener.close()
    })
    this.relay.setTarget(`${STORE} of ${name}`, portOf(listener))
    const store = await this.relay.addLink({
      sourceZone: name,
      targetZone: STORE,
      target: `${STORE} of ${name}`,
    })
    const [callers = 0, readiness = 0, internal = 0] = ports
    this.relay.setTarget(name, callers)
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
  async #openServerLinks(host: string): Promise<Map<string, number>> {
    const ports = new Map<string, number>()
    for (const group of this.groups) {
      for (const server of group.servers.keys()) {
        const link = { sourceZone: host, targetZone: server, target: server }
        ports.set(server, await this.relay.addLink(link))
      }
    }
    return ports
  }
}
