/**
 * Fakes the rest of the fleet for one agent: every other host accepts the agent's connections, and
 * those that would choose the agent as their neighbour connect to it. All share one gossip state,
 * as hosts do once all items have spread.
 */
import type { Server, Socket } from 'node:net'
import {
  GossipCore,
  chooseNeighbours,
  type HostLocation,
  type WatcherOpinion,
} from '@nutmegcourse/coordination'
import type {
  GossipItem,
  PeerCompareParams,
  PeerFetchParams,
  PeerHello,
  PeerGossipParams,
} from '@nutmegcourse/protocol'
import { incarnation, type EntryHostId, type RandomSource } from '@nutmegcourse/shared'
import { JsonRpcConnection, listen, openJsonRpc, type RpcHandlers } from '@nutmegcourse/transport'
import { targetsOf } from './platformFakes.js'

const LOOPBACK = '127.0.0.1'
const HEARTBEAT_MILLISECONDS = 1000
/** Same heartbeat spacing as in the production membership protocol. */
const LARGE_FLEET_HOSTS = 13
const LARGE_FLEET_FACTOR = 2
const LINKS_WITH_HEARTBEATS_BOTH_WAYS = 12
const OPINION_MILLISECONDS = 1000
const TIMEOUT_MILLISECONDS = 5000
/**
 * Probability that another link also delivers an item, because it sent the item before it learned
 * that the agent has it.
 */
const DUPLICATE_PROBABILITY = 0.5

export class FakePeers {
  readonly gossip = new GossipCore()
  readonly #locations: readonly HostLocation[]
  readonly #self: EntryHostId
  readonly #random: RandomSource
  readonly #servers: Server[] = []
  readonly #links = new Map<EntryHostId, JsonRpcConnection>()
  readonly #dialed = new Set<EntryHostId>()
  readonly #opinions: WatcherOpinion[] = []
  #heartbeat: NodeJS.Timeout | undefined
  #opinionTimer: NodeJS.Timeout | undefined
  #messages = 0

  constructor(locations: readonly HostLocation[], self: EntryHostId, random: RandomSource) {
    this.#locations = locations
    this.#self = self
    this.#random = random
  }

  /** Requests, answers and opinions on the links, in both directions, without the handshakes. */
  get messages(): number {
    return this.#messages
  }

  get links(): number {
    return this.#links.size
  }

  /** Listens as every other host; resolves with their ports, in the order of their locations. */
  async listen(): Promise<ReadonlyMap<EntryHostId, number>> {
    const ports = new Map<EntryHostId, number>()
    for (const location of this.#locations) {
      if (location.entryHost === this.#self) continue
      const { server, port } = await listen(LOOPBACK, 0, socket => {
        this.#accept(location, socket)
      })
      this.#servers.push(server)
      ports.set(location.entryHost, port)
    }
    return ports
  }

  /** Hosts that would choose the agent as their neighbour but are not chosen by it. */
  findDialers(): readonly HostLocation[] {
    const self = this.#locations.find(location => location.entryHost === this.#self)
    if (self === undefined) throw new Error('the measured host is not among the locations')
    const othersOf = (location: HostLocation): readonly HostLocation[] =>
      this.#locations.filter(other => other !== location)
    const chosen = new Set(chooseNeighbours(self, othersOf(self)))
    return this.#locations.filter(
      location =>
        location !== self &&
        !chosen.has(location.entryHost) &&
        chooseNeighbours(location, othersOf(location)).includes(this.#self),
    )
  }

  async dial(dialers: readonly HostLocation[], agentPort: number): Promise<void> {
    for (const location of dialers) await this.#dialAs(location, agentPort)
    const isLarge = this.#locations.length > LARGE_FLEET_HOSTS
    this.#heartbeat = setInterval(
      () => {
        this.#sendHeartbeats()
      },
      HEARTBEAT_MILLISECONDS * (isLarge ? LARGE_FLEET_FACTOR : 1),
    )
    this.#opinionTimer = setInterval(() => {
      this.#sendOpinions()
    }, OPINION_MILLISECONDS)
  }

  /** Adds an opinion on a primary that a fake watcher sends repeatedly. */
  addOpinion(opinion: WatcherOpinion): void {
    this.#opinions.push(opinion)
  }

  /** Delivers a new item to the agent as its links would, including duplicates. */
  inject(item: GossipItem): void {
    this.gossip.handle({ kind: 'learned', item })
    const links = [...this.#links.values()]
    const first = Math.floor(this.#random.next() * links.length)
    links.forEach((link, index) => {
      if (index !== first && this.#random.next() >= DUPLICATE_PROBABILITY) return
      this.#messages += 2
      const params: PeerGossipParams = { items: [item] }
      void link.request('peer.news', params, TIMEOUT_MILLISECONDS)
    })
  }

  close(): void {
    clearInterval(this.#heartbeat)
    clearInterval(this.#opinionTimer)
    for (const server of this.#servers) server.close()
    for (const link of this.#links.values()) link.close()
  }

  #accept(location: HostLocation, socket: Socket): void {
    const connection: JsonRpcConnection = new JsonRpcConnection(socket, {
      ...this.#handlers(location),
      'peer.hello': () => {
        this.#addLink(location.entryHost, connection)
        return helloOf(location)
      },
    })
  }

  async #dialAs(location: HostLocation, agentPort: number): Promise<void> {
    const handlers = this.#handlers(location)
    const opened = await openJsonRpc(LOOPBACK, agentPort, handlers, TIMEOUT_MILLISECONDS)
    if (opened.isErr()) return
    const hello = helloOf(location)
    const answer = await opened.value.request('peer.hello', hello, TIMEOUT_MILLISECONDS)
    if (answer.isErr()) {
      opened.value.close()
      return
    }
    this.#addLink(location.entryHost, opened.value)
    this.#dialed.add(location.entryHost)
  }

  #addLink(host: EntryHostId, connection: JsonRpcConnection): void {
    this.#links.set(host, connection)
    connection.onClose(() => {
      if (this.#links.get(host) === connection) this.#links.delete(host)
    })
  }

  #sendHeartbeats(): void {
    const bothWays = this.#links.size <= LINKS_WITH_HEARTBEATS_BOTH_WAYS
    for (const [host, link] of this.#links) {
      if (!bothWays && !this.#dialed.has(host)) continue
      this.#messages += 2
      const params = { root: this.gossip.root }
      void link.request('peer.ping', params, TIMEOUT_MILLISECONDS)
    }
  }

  #sendOpinions(): void {
    for (const opinion of this.#opinions) {
      this.#links.get(opinion.watcher)?.notify('peer.opinion', opinion)
      this.#messages += 1
    }
  }

  #handlers(location: HostLocation): RpcHandlers {
    const counted = (handler: (params: unknown) => unknown) => (params: unknown) => {
      this.#messages += 2
      return handler(params)
    }
    return {
      'peer.identify': () => helloOf(location),
      'peer.ping': counted(() => this.#pingAnswer()),
      'peer.news': counted(params => {
        for (const item of (params as PeerGossipParams).items) {
          this.gossip.handle({ kind: 'learned', item })
        }
        return null
      }),
      'peer.compare': counted(params => ({
        versions: this.gossip.differingVersions((params as PeerCompareParams).buckets),
      })),
      'peer.fetch': counted(params => ({
        items: this.gossip.itemsOf((params as PeerFetchParams).keys),
      })),
      'peer.probe': counted(() => ({ reached: true })),
      'peer.opinion': counted(() => null),
    }
  }

  #pingAnswer(): unknown {
    const item = this.gossip.get('targets')
    const document = item?.kind === 'targets' ? item.document : targetsOf(1)
    const { version, changeId } = document
    const confirmation = { version, changeId, ageMilliseconds: 500 }
    return { root: this.gossip.root, confirmation }
  }
}

const helloOf = (location: HostLocation): PeerHello => ({
  ...location,
  incarnation: incarnation(1),
})
