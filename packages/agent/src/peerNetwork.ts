/**
 * Links to other agents: dials the wanted peers, accepts incoming connections, keeps one link per pair
 * of agents, and sends heartbeats. Owns the sockets of the links.
 */
import type { Socket } from 'node:net'
import { err, errAsync, type Result, type ResultAsync } from 'neverthrow'
import type {
  PeerHello,
  PeerPingParams,
  PeerPingResult,
  TrafficTotal,
} from '@nutmegcourse/protocol'
import type { Clock, EntryHostId, Milliseconds } from '@nutmegcourse/shared'
import {
  JsonRpcConnection,
  openJsonRpc,
  type RpcHandlers,
  type TransportError,
} from '@nutmegcourse/transport'
import { checkedHandler, type UnreadableListener } from './checkedParams.js'
import { DialBackoff } from './dialBackoff.js'
import { helloSchema } from './messageSchemas.js'
import { TrafficCounter } from './trafficCounter.js'

const HELLO_TIMEOUT_MILLISECONDS = 1000
/** A link whose heartbeat is not answered in time is closed; a new connection may still get through. */
const PING_TIMEOUT_MILLISECONDS = 3000
/** With more links than this, only the side that dialed sends heartbeats; the answer serves both. */
const MAX_LINKS_WITH_HEARTBEATS_BOTH_WAYS = 12

export interface PeerNetworkListener {
  linked(peer: EntryHostId): void
  /** The link broke, could not be established, or another host answered. */
  lost(peer: EntryHostId): void
  /** The link was closed on purpose. */
  unlinked(peer: EntryHostId): void
  messageReceived(peer: EntryHostId): void
  pingAnswered(peer: EntryHostId, answer: PeerPingResult, askedAt: Milliseconds): void
  /** What another side sent cannot be read. */
  readonly unreadable: UnreadableListener
}

export interface PeerNetworkOptions {
  readonly clock: Clock
  readonly hello: () => PeerHello
  readonly ping: () => PeerPingParams
  readonly endpointOf: (
    host: EntryHostId,
  ) => { readonly address: string; readonly port: number } | null
  /** Handlers for calls of a peer; `peer` returns null until the peer has sent its hello. */
  readonly peerHandlers: (peer: () => EntryHostId | null) => RpcHandlers
  readonly listener: PeerNetworkListener
}

interface Link {
  readonly connection: JsonRpcConnection
  readonly peer: PeerHello
  readonly dialed: boolean
}

export class PeerNetwork {
  readonly #options: PeerNetworkOptions
  readonly #links = new Map<EntryHostId, Link>()
  readonly #connections = new Set<JsonRpcConnection>()
  readonly #dialing = new Set<EntryHostId>()
  readonly #backoff = new DialBackoff()
  readonly #traffic = new TrafficCounter()
  #wanted: ReadonlySet<EntryHostId> = new Set()
  #closed = false

  constructor(options: PeerNetworkOptions) {
    this.#options = options
  }

  get linkedPeers(): readonly EntryHostId[] {
    return [...this.#links.keys()]
  }

  get traffic(): TrafficTotal {
    return this.#traffic.total()
  }

  /** Accepts a connection of another agent or of an operator's tool. */
  accept(socket: Socket): void {
    let peer: EntryHostId | null = null
    const connection: JsonRpcConnection = new JsonRpcConnection(socket, {
      ...this.#options.peerHandlers(() => peer),
      ...checkedHandler('peer.hello', helloSchema, this.#options.listener.unreadable, hello => {
        this.#checkHello(hello)
        peer = hello.entryHost
        this.#traffic.add(connection)
        this.#addLink({ connection, peer: hello, dialed: false })
        return this.#options.hello()
      }),
    })
    this.#trackConnection(connection)
  }

  /** Sets the peers to hold links to. Other links are closed if this side dialed them. */
  setWantedPeers(peers: readonly EntryHostId[]): void {
    this.#wanted = new Set(peers)
    for (const [id, link] of this.#links) {
      if (!link.dialed || this.#wanted.has(id)) continue
      this.#links.delete(id)
      this.#options.listener.unlinked(id)
      link.connection.close()
    }
    this.dialMissing()
  }

  /** Sends heartbeats and dials missing links; called whenever heartbeats are due. */
  heartbeat(): void {
    this.dialMissing()
    const everyLink = this.#links.size <= MAX_LINKS_WITH_HEARTBEATS_BOTH_WAYS
    for (const link of this.#links.values()) {
      if (link.dialed || everyLink) this.#ping(link)
    }
  }

  request<Answer>(
    peer: EntryHostId,
    method: string,
    params: unknown,
    timeoutMilliseconds: number,
  ): ResultAsync<Answer, TransportError> {
    const link = this.#links.get(peer)
    if (link === undefined) return errAsync({ kind: 'connectRefused', detail: `no link: ${peer}` })
    return link.connection.request<Answer>(method, params, timeoutMilliseconds)
  }

  /** Returns false when there is no link to the peer. */
  notify(peer: EntryHostId, method: string, params: unknown): boolean {
    const link = this.#links.get(peer)
    if (link === undefined || link.connection.closed) return false
    link.connection.notify(method, params)
    return true
  }

  /** Sends a request over the link to the peer or, if that fails, over a connection of its own. */
  async deliver(
    peer: EntryHostId,
    method: string,
    params: unknown,
    timeoutMilliseconds: number,
  ): Promise<Result<unknown, TransportError>> {
    const answer = await this.request(peer, method, params, timeoutMilliseconds)
    const endpoint = this.#options.endpointOf(peer)
    // A remote error was sent by the peer itself, which would not answer otherwise a second time.
    if (answer.isOk() || answer.error.kind === 'remote' || endpoint === null) return answer
    const { address, port } = endpoint
    const opened = await openJsonRpc(address, port, {}, timeoutMilliseconds)
    if (opened.isErr()) return err(opened.error)
    const second = await opened.value.request(method, params, timeoutMilliseconds)
    opened.value.close()
    return second
  }

  /** Closes a link that does not work; it is dialed again if the peer is still wanted. */
  drop(peer: EntryHostId): void {
    this.#links.get(peer)?.connection.close()
  }

  /** Whether the host answers a ping on its link, or else identifies itself on a new connection. */
  async reaches(subject: EntryHostId, timeoutMilliseconds: number): Promise<boolean> {
    const link = this.#links.get(subject)
    if (link === undefined) return await this.#identifiesItself(subject, timeoutMilliseconds)
    const answer = await link.connection.request(
      'peer.ping',
      this.#options.ping(),
      timeoutMilliseconds,
    )
    return answer.isOk() || (await this.#identifiesItself(subject, timeoutMilliseconds))
  }

  close(): void {
    this.#closed = true
    for (const connection of this.#connections) connection.close()
  }

  async #identifiesItself(subject: EntryHostId, timeoutMilliseconds: number): Promise<boolean> {
    const endpoint = this.#options.endpointOf(subject)
    if (endpoint === null) return false
    const opened = await openJsonRpc(endpoint.address, endpoint.port, {}, timeoutMilliseconds)
    if (opened.isErr()) return false
    const answer = await opened.value.request<PeerHello>('peer.identify', null, timeoutMilliseconds)
    opened.value.close()
    return answer.isOk() && answer.value.entryHost === subject
  }

  /** Dials the wanted peers that have no link. */
  dialMissing(): void {
    if (this.#closed) return
    const now = this.#options.clock.now()
    for (const peer of this.#wanted) {
      if (this.#links.has(peer) || this.#dialing.has(peer)) continue
      if (this.#backoff.mayDial(peer, now)) void this.#dial(peer)
    }
  }

  async #dial(peer: EntryHostId): Promise<void> {
    const endpoint = this.#options.endpointOf(peer)
    if (endpoint === null) return
    this.#dialing.add(peer)
    const linked = await this.#tryDial(peer, endpoint.address, endpoint.port)
    this.#dialing.delete(peer)
    if (linked || this.#links.has(peer)) {
      this.#backoff.succeeded(peer)
      return
    }
    this.#backoff.failed(peer, this.#options.clock.now())
    this.#options.listener.lost(peer)
  }

  async #tryDial(peer: EntryHostId, address: string, port: number): Promise<boolean> {
    const handlers = this.#options.peerHandlers(() => peer)
    const opened = await openJsonRpc(address, port, handlers, HELLO_TIMEOUT_MILLISECONDS)
    if (opened.isErr()) return false
    const connection = opened.value
    this.#trackConnection(connection)
    this.#traffic.add(connection)
    const answer = await connection.request<PeerHello>(
      'peer.hello',
      this.#options.hello(),
      HELLO_TIMEOUT_MILLISECONDS,
    )
    // If the host was replaced by another at the same address, the answer names that other host.
    if (answer.isErr() || answer.value.entryHost !== peer || this.#closed) {
      connection.close()
      return false
    }
    this.#addLink({ connection, peer: answer.value, dialed: true })
    return true
  }

  /**
   * Throws to refuse a hello. If two agents dial each other at the same time, the link dialed by the lesser
   * id is kept; a peer with a higher incarnation has restarted, and its new link replaces the old one.
   */
  #checkHello(hello: PeerHello): void {
    const existing = this.#links.get(hello.entryHost)
    const self = this.#options.hello().entryHost
    if (hello.entryHost === self) throw new Error('this is the same host')
    if (existing === undefined || hello.incarnation > existing.peer.incarnation) return
    if (existing.dialed && self < hello.entryHost) throw new Error('already linked')
  }

  #addLink(link: Link): void {
    const id = link.peer.entryHost
    const previous = this.#links.get(id)
    this.#links.set(id, link)
    link.connection.onClose(() => {
      this.#linkClosed(id, link)
    })
    if (previous !== undefined) {
      previous.connection.close()
      this.#options.listener.unlinked(id)
    }
    this.#options.listener.linked(id)
    this.#options.listener.messageReceived(id)
    if (link.dialed) this.#ping(link)
  }

  #linkClosed(id: EntryHostId, link: Link): void {
    if (this.#links.get(id) !== link) return
    this.#links.delete(id)
    if (this.#closed) return
    this.#options.listener.lost(id)
    this.dialMissing()
  }

  #ping(link: Link): void {
    const { clock, listener, ping } = this.#options
    const askedAt = clock.now()
    const id = link.peer.entryHost
    void link.connection
      .request<PeerPingResult>('peer.ping', ping(), PING_TIMEOUT_MILLISECONDS)
      .match(
        answer => {
          listener.messageReceived(id)
          listener.pingAnswered(id, answer, askedAt)
        },
        error => {
          // In a network partition packets are lost without the connection being closed.
          if (error.kind === 'answerTimeout') link.connection.close()
        },
      )
  }

  #trackConnection(connection: JsonRpcConnection): void {
    this.#connections.add(connection)
    connection.onClose(() => this.#connections.delete(connection))
  }
}
