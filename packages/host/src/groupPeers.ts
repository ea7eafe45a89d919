/**
 * The other hosts that use a group, during a change of its primary: orders to servers that this host does not reach go
 * through them, and they tell what they have seen of the replicas' logs.
 *
 * @internal
 */
import type { ServerPosition } from '@nutmegcourse/coordination'
import { logPosition, type BackendServerId, type Term } from '@nutmegcourse/shared'
import type { ServerReport } from '@nutmegcourse/protocol'
import type { RelayPeer } from './relayPeer.js'
import type { ServiceState } from './serviceState.js'
import { firstAnswer } from './waiting.js'

/** Orders that lose no write when they are carried out late: they only stop a server of an older term from acknowledging. */
export type RelayedOrder =
  | { readonly kind: 'report' }
  | { readonly kind: 'pause'; readonly term: Term }
  | { readonly kind: 'stepDown'; readonly term: Term }

export interface RelayedOrderRequest {
  readonly service: string
  readonly server: BackendServerId
  readonly order: RelayedOrder
}

export interface RelayedOrderAnswer {
  /** Null if the host does not reach the server either. */
  readonly report: ServerReport | null
}

export interface ReceivedRequest {
  readonly service: string
}

export interface ReceivedAnswer {
  readonly furthest: ServerPosition | null
}

export interface ThroughPeer {
  readonly report: ServerReport
  readonly host: string
}

/** Two round trips between regions, and a statement at the server. */
const ORDER_LIMIT_MILLISECONDS = 300

/** One round trip between regions, and a connection that has to be opened. */
const RECEIVED_LIMIT_MILLISECONDS = 100

export class GroupPeers {
  readonly #service: ServiceState
  readonly #peers: () => readonly RelayPeer[]
  /** The host through which each server was reached last. */
  readonly #reachedThrough = new Map<BackendServerId, RelayPeer>()

  constructor(service: ServiceState, peers: () => readonly RelayPeer[]) {
    this.#service = service
    this.#peers = peers
  }

  /** Null if no other host reaches the server. */
  async order(server: BackendServerId, order: RelayedOrder): Promise<ThroughPeer | null> {
    const last = this.#reachedThrough.get(server)
    if (last?.isUp === true) {
      const answer = await this.#orderThrough(last, server, order)
      if (answer !== null) return answer
    }
    this.#reachedThrough.delete(server)
    const peers = this.#peers().filter(peer => peer !== last)
    return firstAnswer(peers.map(peer => this.#orderThrough(peer, server, order)))
  }

  async #orderThrough(
    peer: RelayPeer,
    server: BackendServerId,
    order: RelayedOrder,
  ): Promise<ThroughPeer | null> {
    const request = { service: this.#service.name, server, order }
    const answer = await peer.orderServer(request, ORDER_LIMIT_MILLISECONDS)
    const report = answer?.report ?? null
    if (report === null) return null
    this.#reachedThrough.set(server, peer)
    return { report, host: peer.name }
  }

  /** Records what the other hosts have seen of the replicas' logs. */
  async askReceived(): Promise<void> {
    const request = { service: this.#service.name }
    await Promise.all(
      this.#peers().map(async peer => {
        const answer = await peer.askReceived(request, RECEIVED_LIMIT_MILLISECONDS)
        const furthest = answer?.furthest ?? null
        if (furthest === null) return
        const { server, at } = furthest
        this.#service.received.recordReplica(server, logPosition(at.term, at.offset))
      }),
    )
  }
}
