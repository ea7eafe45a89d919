/** Stand-in for the platform's host list; changes become visible after a configurable lag. */
import type { Server, Socket } from 'node:net'
import { z } from 'zod'
import type { HostListResult, ListedHost } from '@nutmegcourse/protocol'
import { JsonRpcConnection, listen } from '@nutmegcourse/transport'

export const hostListSettingsSchema = z.strictObject({
  address: z.string().default('127.0.0.1'),
  port: z.int().default(0),
  /** Zones that reach hosts at other addresses; each gets its own port for queries. */
  zones: z.array(z.string()).default([]),
  /** How long a change takes to appear in `hosts.list`. */
  lagMilliseconds: z.number().min(0).default(0),
})
export type HostListSettings = z.infer<typeof hostListSettingsSchema>

/** Where one zone reaches a host, if not at the host's own address (because of a relay between). */
export interface ZoneRoute {
  readonly zone: string
  readonly hostId: string
  readonly address: string
  readonly port: number
}

/** Parameters of `hosts.set`: hosts to add or replace, hosts to remove and zone routes to add. */
export interface HostListChange {
  readonly hosts?: readonly ListedHost[]
  readonly removedIds?: readonly string[]
  readonly routes?: readonly ZoneRoute[]
  /** Ignores the lag; used for the first entries of a deployment. */
  readonly immediate?: boolean
}

const changeSchema: z.ZodType<HostListChange> = z.custom<HostListChange>(
  value => typeof value === 'object' && value !== null,
)

export interface HostListPorts {
  /** For `hosts.set`, and for `hosts.list` with the hosts' own addresses. */
  readonly port: number
  readonly zonePorts: Readonly<Record<string, number>>
}

export class HostListServer {
  readonly #settings: HostListSettings
  readonly #sockets = new Set<Socket>()
  readonly #hosts = new Map<string, ListedHost>()
  readonly #routes = new Map<string, ZoneRoute>()
  readonly #timers = new Set<NodeJS.Timeout>()
  #version = 0
  readonly #servers: Server[] = []

  constructor(settings: HostListSettings) {
    this.#settings = settings
  }

  async start(): Promise<HostListPorts> {
    const port = await this.#listen(this.#settings.port, null)
    const zonePorts: Record<string, number> = {}
    for (const zone of this.#settings.zones) zonePorts[zone] = await this.#listen(0, zone)
    return { port, zonePorts }
  }

  stop(): void {
    for (const server of this.#servers) server.close()
    for (const timer of this.#timers) clearTimeout(timer)
    for (const socket of this.#sockets) socket.destroy()
  }

  async #listen(requestedPort: number, zone: string | null): Promise<number> {
    const { server, port } = await listen(this.#settings.address, requestedPort, socket => {
      this.#sockets.add(socket)
      socket.once('close', () => this.#sockets.delete(socket))
      new JsonRpcConnection(socket, {
        'hosts.list': () => this.#list(zone),
        'hosts.set': params => {
          this.#scheduleChange(changeSchema.parse(params))
          return {}
        },
      })
    })
    this.#servers.push(server)
    return port
  }

  #scheduleChange(change: HostListChange): void {
    if (change.immediate === true || this.#settings.lagMilliseconds === 0) {
      this.#apply(change)
      return
    }
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      this.#apply(change)
    }, this.#settings.lagMilliseconds)
    this.#timers.add(timer)
  }

  #apply(change: HostListChange): void {
    for (const host of change.hosts ?? []) this.#hosts.set(host.id, host)
    for (const id of change.removedIds ?? []) this.#hosts.delete(id)
    for (const route of change.routes ?? [])
      this.#routes.set(`${route.zone} ${route.hostId}`, route)
    this.#version += 1
  }

  #list(zone: string | null): HostListResult {
    const hosts = [...this.#hosts.values()].map(host => this.#asSeenFrom(host, zone))
    return { version: this.#version, hosts }
  }

  #asSeenFrom(host: ListedHost, zone: string | null): ListedHost {
    const route = zone === null ? undefined : this.#routes.get(`${zone} ${host.id}`)
    return route === undefined ? host : { ...host, address: route.address, port: route.port }
  }
}
