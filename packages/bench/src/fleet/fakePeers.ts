/**
 * The rest of a fleet at one agent's interfaces: every other host answers the agent's dials, and
 * those that would choose the agent as their neighbour dial it. All share one view of the news,
 * as hosts do when nothing is under way.
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
/** As the shipped membership machine spaces them. */
const LARGE_FLEET_HOSTS = 13
const LARGE_FLEET_FACTOR = 2
const LINKS_WITH_HEARTBEATS_BOTH_WAYS = 12
const OPINION_MILLISECONDS = 1000
const TIMEOUT_MILLISECONDS = 5000
/** Beside the link that brings an item first, so many of the others bring it before they hear it. */
const DUPLICATE_SHARE = 0.5

export class FakePeers {
  readonly news = new GossipCore()
  readonly #places: readonly HostLocation[]
  readonly #self: EntryHostId
  readonly #random: RandomSource
  readonly #servers: Server[] = []
  readonly #links = new Map<EntryHostId, JsonRpcConnection>()
  readonly #dialed = new Set<EntryHostId>()
  readonly #opinions: WatcherOpinion[] = []
  #heartbeat: NodeJS.Timeout | undefined
  #opinionTimer: NodeJS.Timeout | undefined
  #messages = 0

  constructor(places: readonly HostLocation[], self: EntryHostId, random: RandomSource) {
    this.#places = places
    this.#self = self
    this.#random = random
  }

  /** Requests and answers that passed on the links, both ways. */
  get messages(): number {
    return this.#messages
  }

  get links(): number {
    return this.#links.size
  }

  /** Listens as every other host; answers their ports, in the order of their places. */
  async listen(): Promise<ReadonlyMap<EntryHostId, number>> {
    const ports = new Map<EntryHostId, number>()
    for (const place of this.#places) {
      if (place.entryHost === this.#self) continue
      const { server, port } = await listen(LOOPBACK, 0, socket => {
        this.#accept(place, socket)
      })
      this.#servers.push(server)
      ports.set(place.entryHost, port)
    }
    return ports
  }

  /** Hosts that would choose the agent as their neighbour and that it does not choose itself. */
  findDialers(): readonly HostLocation[] {
    const self = this.#places.find(place => place.entryHost === this.#self)
    if (self === undefined) throw new Error('the measured host has no place')
    const othersOf = (place: HostLocation): readonly HostLocation[] =>
      this.#places.filter(other => other !== place)
    const chosen = new Set(chooseNeighbours(self, othersOf(self)))
    return this.#places.filter(
      place =>
        place !== self &&
        !chosen.has(place.entryHost) &&
        chooseNeighbours(place, othersOf(place)).includes(this.#self),
    )
  }

  async dial(dialers: readonly HostLocation[], agentPort: number): Promise<void> {
    for (const place of dialers) await this.#dialAs(place, agentPort)
    const isLarge = this.#places.length > LARGE_FLEET_HOSTS
    this.#heartbeat = setInterval(
      () => {
        this.#beat()
      },
      HEARTBEAT_MILLISECONDS * (isLarge ? LARGE_FLEET_FACTOR : 1),
    )
    this.#opinionTimer = setInterval(() => {
      this.#sendOpinions()
    }, OPINION_MILLISECONDS)
  }

  /** The other watchers of a database that the agent watches repeat what they think of its primary. */
  addOpinion(opinion: WatcherOpinion): void {
    this.#opinions.push(opinion)
  }

  /** Something new reaches the agent as it would through its links. */
  inject(item: GossipItem): void {
    this.news.handle({ kind: 'learned', item })
    const links = [...this.#links.values()]
    const first = Math.floor(this.#random.next() * links.length)
    links.forEach((link, index) => {
      if (index !== first && this.#random.next() >= DUPLICATE_SHARE) return
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

  #accept(place: HostLocation, socket: Socket): void {
    const connection: JsonRpcConnection = new JsonRpcConnection(socket, {
      ...this.#handlers(place),
      'peer.hello': () => {
        this.#addLink(place.entryHost, connection)
        return helloOf(place)
      },
    })
  }

  async #dialAs(place: HostLocation, agentPort: number): Promise<void> {
    const handlers = this.#handlers(place)
    const opened = await openJsonRpc(LOOPBACK, agentPort, handlers, TIMEOUT_MILLISECONDS)
    if (opened.isErr()) return
    const hello = helloOf(place)
    const answer = await opened.value.request('peer.hello', hello, TIMEOUT_MILLISECONDS)
    if (answer.isErr()) {
      opened.value.close()
      return
    }
    this.#addLink(place.entryHost, opened.value)
    this.#dialed.add(place.entryHost)
  }

  #addLink(host: EntryHostId, connection: JsonRpcConnection): void {
    this.#links.set(host, connection)
    connection.onClose(() => {
      if (this.#links.get(host) === connection) this.#links.delete(host)
    })
  }

  #beat(): void {
    const bothWays = this.#links.size <= LINKS_WITH_HEARTBEATS_BOTH_WAYS
    for (const [host, link] of this.#links) {
      if (!bothWays && !this.#dialed.has(host)) continue
      this.#messages += 2
      const params = { root: this.news.root }
      void link.request('peer.ping', params, TIMEOUT_MILLISECONDS)
    }
  }

  #sendOpinions(): void {
    for (const opinion of this.#opinions) {
      this.#links.get(opinion.watcher)?.notify('peer.opinion', opinion)
      this.#messages += 1
    }
  }

  #handlers(place: HostLocation): RpcHandlers {
    const counted = (handler: (params: unknown) => unknown) => (params: unknown) => {
      this.#messages += 2
      return handler(params)
    }
    return {
      'peer.identify': () => helloOf(place),
      'peer.ping': counted(() => this.#pingAnswer()),
      'peer.news': counted(params => {
        for (const item of (params as PeerGossipParams).items) {
          this.news.handle({ kind: 'learned', item })
        }
        return null
      }),
      'peer.compare': counted(params => ({
        versions: this.news.differingVersions((params as PeerCompareParams).buckets),
      })),
      'peer.fetch': counted(params => ({
        items: this.news.itemsOf((params as PeerFetchParams).keys),
      })),
      'peer.probe': counted(() => ({ reached: true })),
      'peer.opinion': counted(() => null),
    }
  }

  #pingAnswer(): unknown {
    const item = this.news.get('targets')
    const document = item?.kind === 'targets' ? item.document : targetsOf(1)
    const { version, changeId } = document
    const confirmation = { version, changeId, ageMilliseconds: 500 }
    return { root: this.news.root, confirmation }
  }
}

const helloOf = (place: HostLocation): PeerHello => ({ ...place, incarnation: incarnation(1) })
