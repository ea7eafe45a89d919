/** Stand-in for the network between zones: one listening port for each source zone and target. */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { z } from 'zod'
import { JsonRpcConnection, listen } from '@nutmegcourse/transport'
import { RelayPipe } from './relayPipe.js'
import { SharedRate } from './sharedRate.js'

export const relaySettingsSchema = z.strictObject({
  address: z.string().default('127.0.0.1'),
  /** Port for the `relay.*` calls. */
  port: z.int().default(0),
  /** Region of each zone. */
  regions: z.record(z.string(), z.string()),
  /** One-way delays between zones of a region and between regions; within a zone there is none. */
  zoneDelayMilliseconds: z.number().min(0).default(0),
  regionDelayMilliseconds: z.number().min(0).default(0),
  /** Bandwidth shared by all traffic in one direction between two regions; absent: unlimited. */
  regionBitsPerSecond: z.number().positive().optional(),
})
export type RelaySettings = z.infer<typeof relaySettingsSchema>

/** `relay.link`: opens a port by which a zone reaches a target. Returns `{ port }`. */
const linkSchema = z.object({
  sourceZone: z.string(),
  targetZone: z.string(),
  target: z.string(),
})
/** `relay.target`: sets the port of a target; until then, connections to it are closed. */
const targetSchema = z.object({ target: z.string(), port: z.int() })
/** `relay.cut`: cuts or heals all traffic between two sets of zones, both ways unless `oneWay`. */
const cutSchema = z.object({
  from: z.array(z.string()),
  to: z.array(z.string()),
  cut: z.boolean(),
  oneWay: z.boolean().default(false),
})

/** `relay.reset`: closes the connections between two sets of zones; bytes in flight are lost. */
const resetSchema = z.object({ from: z.array(z.string()), to: z.array(z.string()) })

interface Link {
  readonly sourceZone: string
  readonly targetZone: string
  readonly target: string
}

interface Flow {
  readonly link: Link
  /** Source to target, then target to source. */
  readonly pipes: readonly [RelayPipe, RelayPipe]
  readonly sockets: readonly Socket[]
  isSilenced: boolean
}

interface Listener {
  readonly server: Server
  readonly port: number
}

const zonePair = (from: string, to: string): string => `${from} ${to}`

export class Relay {
  readonly #settings: RelaySettings
  readonly #targets = new Map<string, number>()
  readonly #servers: Server[] = []
  /** By target, the listeners of its links with their ports. */
  readonly #listeners = new Map<string, Listener[]>()
  readonly #flows = new Set<Flow>()
  readonly #controlSockets = new Set<Socket>()
  readonly #cuts = new Set<string>()
  readonly #rates = new Map<string, SharedRate>()
  readonly #bytes = new Map<string, number>()

  constructor(settings: RelaySettings) {
    this.#settings = settings
  }

  async start(): Promise<number> {
    const { server, port } = await listen(this.#settings.address, this.#settings.port, socket => {
      this.#controlSockets.add(socket)
      socket.once('close', () => this.#controlSockets.delete(socket))
      new JsonRpcConnection(socket, {
        'relay.link': async params => ({ port: await this.addLink(linkSchema.parse(params)) }),
        'relay.target': params => {
          const { target, port: targetPort } = targetSchema.parse(params)
          this.setTarget(target, targetPort)
          return {}
        },
        'relay.cut': params => {
          this.cut(cutSchema.parse(params))
          return {}
        },
        'relay.reset': params => {
          this.reset(resetSchema.parse(params))
          return {}
        },
        /** Bytes since the start, by `source region>target region`. */
        'relay.bytes': () => Object.fromEntries(this.#bytes),
      })
    })
    this.#servers.push(server)
    return port
  }

  stop(): void {
    for (const server of this.#servers) server.close()
    for (const socket of this.#controlSockets) socket.destroy()
    for (const flow of this.#flows) for (const socket of flow.sockets) socket.destroy()
  }

  /** Opens a port by which a zone reaches a target; any free one by default. */
  async addLink(link: Link, wantedPort = 0): Promise<number> {
    const server = createServer({ noDelay: true, allowHalfOpen: true }, socket => {
      this.#accept(link, socket)
    })
    this.#servers.push(server)
    server.listen({ host: this.#settings.address, port: wantedPort })
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    this.#listeners.set(link.target, [...this.#listenersOf(link.target), { server, port }])
    return port
  }

  #listenersOf(target: string): readonly Listener[] {
    return this.#listeners.get(target) ?? []
  }

  /**
   * Refuses new connections to a target, as its machine does when no process listens, or accepts them again. The ports
   * of its links must not be ones that the operating system uses for outgoing connections.
   */
  refuse(target: string, isRefused: boolean): void {
    for (const { server, port } of this.#listenersOf(target)) {
      if (isRefused) server.close()
      else if (!server.listening) server.listen({ host: this.#settings.address, port })
    }
  }

  /** Sets the port on which a target listens. */
  setTarget(name: string, port: number): void {
    this.#targets.set(name, port)
  }

  /**
   * During a cut, a new connection is accepted and stays silent. If the target does not listen, it is
   * accepted and then closed.
   */
  #accept(link: Link, source: Socket): void {
    const targetPort = this.#targets.get(link.target)
    if (targetPort === undefined) {
      source.destroy()
      return
    }
    const target = connect({
      host: this.#settings.address,
      port: targetPort,
      noDelay: true,
      allowHalfOpen: true,
    })
    const pipes: Flow['pipes'] = [
      new RelayPipe(source, target, this.#pipeOptions(link.sourceZone, link.targetZone)),
      new RelayPipe(target, source, this.#pipeOptions(link.targetZone, link.sourceZone)),
    ]
    const flow: Flow = { link, pipes, sockets: [source, target], isSilenced: false }
    this.#flows.add(flow)
    this.#applyCut(flow)
    for (const socket of flow.sockets) {
      socket.once('close', () => {
        this.#removeClosedFlow(flow)
      })
    }
    for (const socket of flow.sockets) socket.on('error', () => undefined)
  }

  #removeClosedFlow(flow: Flow): void {
    if (!flow.sockets.every(socket => socket.closed)) return
    this.#flows.delete(flow)
    for (const pipe of flow.pipes) pipe.close()
  }

  #pipeOptions(from: string, to: string): ConstructorParameters<typeof RelayPipe>[2] {
    const fromRegion = this.#settings.regions[from] ?? from
    const toRegion = this.#settings.regions[to] ?? to
    const direction = `${fromRegion}>${toRegion}`
    return {
      delayMilliseconds: this.#delay(from, to, fromRegion === toRegion),
      rate: fromRegion === toRegion ? null : this.#rate(direction),
      count: bytes => {
        this.#bytes.set(direction, (this.#bytes.get(direction) ?? 0) + bytes)
      },
    }
  }

  #delay(from: string, to: string, sameRegion: boolean): number {
    if (from === to) return 0
    return sameRegion
      ? this.#settings.zoneDelayMilliseconds
      : this.#settings.regionDelayMilliseconds
  }

  #rate(direction: string): SharedRate | null {
    const limit = this.#settings.regionBitsPerSecond
    if (limit === undefined) return null
    const rate = this.#rates.get(direction) ?? new SharedRate(limit)
    this.#rates.set(direction, rate)
    return rate
  }

  cut(change: z.infer<typeof cutSchema>): void {
    for (const from of change.from) {
      for (const to of change.to) {
        const reversePairs = change.oneWay ? [] : [zonePair(to, from)]
        for (const pair of [zonePair(from, to), ...reversePairs]) {
          if (change.cut) this.#cuts.add(pair)
          else this.#cuts.delete(pair)
        }
      }
    }
    for (const flow of [...this.#flows]) this.#applyCut(flow)
  }

  reset(zones: z.infer<typeof resetSchema>): void {
    for (const flow of this.#flowsBetween(zones)) {
      for (const pipe of flow.pipes) pipe.close()
      for (const socket of flow.sockets) socket.destroy()
    }
  }

  /** Permanently silences the existing connections without closing them; new connections work. */
  silence(zones: z.infer<typeof resetSchema>): void {
    for (const flow of this.#flowsBetween(zones)) {
      flow.isSilenced = true
      this.#applyCut(flow)
    }
  }

  #flowsBetween({ from, to }: z.infer<typeof resetSchema>): Flow[] {
    return [...this.#flows].filter(({ link: { sourceZone, targetZone } }) => {
      const isForward = from.includes(sourceZone) && to.includes(targetZone)
      return isForward || (from.includes(targetZone) && to.includes(sourceZone))
    })
  }

  #applyCut({ link, pipes, isSilenced }: Flow): void {
    const [forward, backward] = pipes
    forward.setCut(isSilenced || this.#cuts.has(zonePair(link.sourceZone, link.targetZone)))
    backward.setCut(isSilenced || this.#cuts.has(zonePair(link.targetZone, link.sourceZone)))
  }
}
