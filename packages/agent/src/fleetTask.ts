/**
 * Runs the membership, gossip and configuration state machines over the links to other agents. Owns
 * their state; other components read it here and are notified of each change.
 */
import {
  ConfigurationCore,
  MembershipCore,
  GossipCore,
  type ConfigurationEffect,
  type ConfigurationMessage,
  type MembershipEffect,
  type MembershipMessage,
  type GossipEffect,
  type GossipMessage,
  type WatcherOpinion,
} from '@nutmegcourse/coordination'
import type {
  Member,
  GossipItem,
  PeerCompareParams,
  PeerCompareResult,
  PeerFetchParams,
  PeerFetchResult,
  PeerHeldWrites,
  PeerHello,
  PeerGossipParams,
  PeerPingParams,
  PeerPingResult,
  PeerProbeParams,
  PeerProbeResult,
  VersionedTargets,
} from '@nutmegcourse/protocol'
import {
  assertNever,
  type Clock,
  type EntryHostId,
  type Milliseconds,
  type RandomSource,
} from '@nutmegcourse/shared'
import type { RpcHandlers, TransportError } from '@nutmegcourse/transport'
import { checkedHandler, readEach, readOrReport, type UnreadableListener } from './checkedParams.js'
import {
  compareSchema,
  fetchSchema,
  gossipItemSchema,
  newsSchema,
  opinionSchema,
  peerHeldWritesSchema,
  pingSchema,
  probeSchema,
} from './messageSchemas.js'
import { PeerNetwork } from './peerNetwork.js'

const GOSSIP_TIMEOUT_MILLISECONDS = 5000
const PROBE_TIMEOUT_MILLISECONDS = 500
/** Of one attempt to report to a move's coordinator; a second one fits into the time that it waits. */
const HELD_WRITES_TIMEOUT_MILLISECONDS = 300
/** Leaves time for the helper's own attempts: a ping on its link, then a call on a new connection. */
const PROBE_ANSWER_TIMEOUT_MILLISECONDS = 1400

export interface FleetTaskListener {
  /** A newer version of the item was adopted. */
  itemChanged(item: GossipItem): void
  /** The set of live or listed hosts, or the known state of one, changed. */
  membershipChanged(change: string, host: EntryHostId): void
  /** This host became able or unable to confirm its targets as the newest. */
  confirmationChanged(confirmed: boolean): void
  opinionReceived(opinion: WatcherOpinion): void
  /** All proxies of another host hold their writes for a planned move that this host coordinates. */
  heldWritesReceived(held: PeerHeldWrites): void
  /** The report on held writes did not reach the coordinator. */
  heldWritesLost(coordinator: EntryHostId, error: TransportError): void
  /** What another side sent cannot be read. */
  readonly unreadable: UnreadableListener
  /** Writes the document to the store; resolves after the attempt, whether or not it succeeded. */
  repairTargets(document: VersionedTargets, expectedRevision: number): Promise<void>
}

export interface FleetTaskOptions {
  readonly self: Member
  readonly clock: Clock
  readonly random: RandomSource
  readonly heartbeatIntervalMilliseconds: number
  /** Handlers for operators' tools, served on the same port. */
  readonly toolHandlers: RpcHandlers
  readonly listener: FleetTaskListener
}

export class FleetTask {
  readonly gossip = new GossipCore()
  readonly configuration = new ConfigurationCore()
  readonly membership: MembershipCore
  readonly network: PeerNetwork
  readonly #options: FleetTaskOptions
  #neighbours: readonly EntryHostId[] = []
  #partners: readonly EntryHostId[] = []
  #intervals = 0
  #timers: readonly NodeJS.Timeout[] = []

  constructor(options: FleetTaskOptions) {
    this.#options = options
    this.membership = new MembershipCore(options.self, options.random, options.clock.now())
    this.network = new PeerNetwork({
      clock: options.clock,
      hello: () => this.#hello(),
      ping: () => this.#ping(),
      endpointOf: host => this.membership.endpointOf(host),
      peerHandlers: peer => this.#peerHandlers(peer),
      listener: {
        linked: peer => {
          this.#handleGossip({ kind: 'peerConnected', peer })
        },
        lost: peer => {
          this.#handleGossip({ kind: 'peerDisconnected', peer })
          this.handleMembership({ kind: 'linkLost', peer })
        },
        unlinked: peer => {
          this.#handleGossip({ kind: 'peerDisconnected', peer })
          this.handleMembership({ kind: 'unlinked', peer })
        },
        messageReceived: peer => {
          this.handleMembership({ kind: 'heard', peer })
        },
        pingAnswered: (peer, answer, askedAt) => {
          this.#receivePingAnswer(peer, answer, askedAt)
        },
        unreadable: options.listener.unreadable,
      },
    })
  }

  start(): void {
    const { heartbeatIntervalMilliseconds, self } = this.#options
    this.learn({ kind: 'member', member: self })
    this.#timers = [
      setInterval(() => {
        this.#heartbeat()
      }, heartbeatIntervalMilliseconds),
      setInterval(() => {
        this.handleMembership({ kind: 'tick' })
        this.handleConfiguration({ kind: 'tick' })
      }, heartbeatIntervalMilliseconds / 2),
    ]
  }

  /** Announces to the fleet that this host stops. Call `close` once the message has had time to leave. */
  leave(): void {
    this.handleMembership({ kind: 'stop' })
  }

  close(): void {
    for (const timer of this.#timers) clearInterval(timer)
    this.network.close()
  }

  /** Sets the hosts that watch the same databases. Links to them stay open, as opinions are urgent. */
  setPartners(partners: readonly EntryHostId[]): void {
    this.#partners = partners
    this.#updateLinks()
  }

  /** Reports to the coordinator of a planned move that all proxies of this host hold their writes. */
  async reportHeldWrites(coordinator: EntryHostId, held: PeerHeldWrites): Promise<void> {
    const answer = await this.network.deliver(
      coordinator,
      'peer.writesHeld',
      held,
      HELD_WRITES_TIMEOUT_MILLISECONDS,
    )
    if (answer.isErr()) this.#options.listener.heldWritesLost(coordinator, answer.error)
  }

  learn(item: GossipItem): void {
    this.#handleGossip({ kind: 'learned', item })
  }

  handleMembership(message: MembershipMessage): void {
    const effects = this.membership.handle(message, this.#options.clock.now())
    for (const effect of effects) this.#executeMembershipEffect(effect)
  }

  handleConfiguration(message: ConfigurationMessage): void {
    const effects = this.configuration.handle(message, this.#options.clock.now())
    for (const effect of effects) this.#executeConfigurationEffect(effect)
  }

  #handleGossip(message: GossipMessage): void {
    for (const effect of this.gossip.handle(message)) this.#executeGossipEffect(effect)
  }

  #executeMembershipEffect(effect: MembershipEffect): void {
    switch (effect.kind) {
      case 'spread':
        this.learn({ kind: 'member', member: effect.member })
        return
      case 'probe':
        void this.#probe(effect.helper, effect.subject)
        return
      case 'neighbours':
        this.#neighbours = effect.hosts
        this.#updateLinks()
        return
      case 'changed':
        this.#options.listener.membershipChanged(effect.change, effect.host)
        return
      case 'forget':
        this.gossip.forget(`member/${effect.host}`)
        return
      default:
        assertNever(effect)
    }
  }

  #executeConfigurationEffect(effect: ConfigurationEffect): void {
    switch (effect.kind) {
      case 'adopt':
        this.learn({ kind: 'targets', document: effect.document })
        return
      case 'repairStore':
        void this.#options.listener
          .repairTargets(effect.document, effect.expectedRevision)
          .then(() => {
            this.handleConfiguration({ kind: 'repairEnded' })
          })
        return
      case 'confirmationChanged':
        this.#options.listener.confirmationChanged(effect.confirmed)
        return
      default:
        assertNever(effect)
    }
  }

  #executeGossipEffect(effect: GossipEffect): void {
    switch (effect.kind) {
      case 'changed':
        this.#itemChanged(effect.item)
        return
      case 'sendBatch':
        void this.#sendBatch(effect.peer, effect.items)
        return
      case 'compare':
        void this.#compare(effect.peer, effect.buckets)
        return
      case 'fetch':
        void this.#fetch(effect.peer, effect.keys)
        return
      default:
        assertNever(effect)
    }
  }

  #itemChanged(item: GossipItem): void {
    if (item.kind === 'targets') {
      this.handleConfiguration({ kind: 'learned', document: item.document })
    }
    if (item.kind === 'member') this.handleMembership({ kind: 'news', member: item.member })
    this.#options.listener.itemChanged(item)
  }

  #heartbeat(): void {
    this.#intervals += 1
    if (this.#intervals % this.membership.heartbeatIntervalMultiple === 0) this.network.heartbeat()
    else this.network.dialMissing()
  }

  #updateLinks(): void {
    this.network.setWantedPeers([...new Set([...this.#neighbours, ...this.#partners])])
  }

  async #sendBatch(peer: EntryHostId, items: readonly GossipItem[]): Promise<void> {
    const params: PeerGossipParams = { items }
    const answer = await this.network.request(
      peer,
      'peer.news',
      params,
      GOSSIP_TIMEOUT_MILLISECONDS,
    )
    if (answer.isOk()) this.#handleGossip({ kind: 'batchTaken', peer })
    // The items of the batch are recovered by the comparison at the start of the next link.
    else this.network.drop(peer)
  }

  async #compare(peer: EntryHostId, buckets: readonly number[]): Promise<void> {
    const params: PeerCompareParams = { buckets }
    const answer = await this.network.request<PeerCompareResult>(
      peer,
      'peer.compare',
      params,
      GOSSIP_TIMEOUT_MILLISECONDS,
    )
    if (answer.isOk())
      this.#handleGossip({ kind: 'compared', peer, versions: answer.value.versions })
    else this.#handleGossip({ kind: 'compareFailed', peer })
  }

  async #fetch(peer: EntryHostId, keys: readonly string[]): Promise<void> {
    const { unreadable } = this.#options.listener
    const params: PeerFetchParams = { keys }
    const answer = await this.network.request<unknown>(
      peer,
      'peer.fetch',
      params,
      GOSSIP_TIMEOUT_MILLISECONDS,
    )
    const fetched = answer.isOk()
      ? readOrReport('peer.fetch', newsSchema, answer.value, unreadable)
      : null
    if (fetched !== null) {
      const items = this.#readItems('peer.fetch', fetched.items)
      this.#handleGossip({ kind: 'fetched', peer, items })
    }
    this.#handleGossip({ kind: 'fetchEnded', peer })
  }

  async #probe(helper: EntryHostId, subject: EntryHostId): Promise<void> {
    const params: PeerProbeParams = { subject }
    const answer = await this.network.request<PeerProbeResult>(
      helper,
      'peer.probe',
      params,
      PROBE_ANSWER_TIMEOUT_MILLISECONDS,
    )
    const reached = answer.isOk() && answer.value.reached
    this.handleMembership({ kind: 'probeAnswered', subject, reached })
  }

  #receivePingAnswer(peer: EntryHostId, answer: PeerPingResult, askedAt: Milliseconds): void {
    this.#handleGossip({ kind: 'rootHeard', peer, root: answer.root })
    if (answer.confirmation === null) return
    const { ageMilliseconds, ...name } = answer.confirmation
    this.handleConfiguration({ kind: 'peerConfirmed', name, ageMilliseconds, askedAt })
  }

  #hello(): PeerHello {
    const { entryHost, zone, region, incarnation } = this.membership.self
    return { entryHost, zone, region, incarnation }
  }

  #ping(): PeerPingParams {
    return { root: this.gossip.root }
  }

  #answerPing(): PeerPingResult {
    const now = this.#options.clock.now()
    const { newest } = this.configuration
    const ageMilliseconds = this.configuration.confirmationAge(now)
    if (newest === null || ageMilliseconds === null) return { ...this.#ping(), confirmation: null }
    const { version, changeId } = newest
    const age = Math.ceil(ageMilliseconds)
    return { ...this.#ping(), confirmation: { version, changeId, ageMilliseconds: age } }
  }

  #peerHandlers(peerOf: () => EntryHostId | null): RpcHandlers {
    const { unreadable } = this.#options.listener
    return {
      ...this.#options.toolHandlers,
      'peer.identify': () => this.#hello(),
      ...checkedHandler('peer.ping', pingSchema, unreadable, ({ root }) => {
        const peer = peerOf()
        if (peer !== null) {
          this.handleMembership({ kind: 'heard', peer })
          this.#handleGossip({ kind: 'rootHeard', peer, root })
        }
        return this.#answerPing()
      }),
      ...checkedHandler('peer.news', newsSchema, unreadable, ({ items }) => {
        const peer = peerOf()
        if (peer !== null) {
          const read = this.#readItems('peer.news', items)
          this.#handleGossip({ kind: 'batchReceived', peer, items: read })
        }
        return null
      }),
      ...checkedHandler(
        'peer.compare',
        compareSchema,
        unreadable,
        ({ buckets }): PeerCompareResult => ({
          versions: this.gossip.differingVersions(buckets),
        }),
      ),
      ...checkedHandler('peer.fetch', fetchSchema, unreadable, ({ keys }): PeerFetchResult => ({
        items: this.gossip.itemsOf(keys),
      })),
      ...checkedHandler(
        'peer.probe',
        probeSchema,
        unreadable,
        async ({ subject }): Promise<PeerProbeResult> => ({
          reached: await this.network.reaches(subject, PROBE_TIMEOUT_MILLISECONDS),
        }),
      ),
      ...checkedHandler('peer.opinion', opinionSchema, unreadable, opinion => {
        this.#options.listener.opinionReceived(opinion)
        return null
      }),
      ...checkedHandler('peer.writesHeld', peerHeldWritesSchema, unreadable, held => {
        this.#options.listener.heldWritesReceived(held)
        return null
      }),
    }
  }

  /** An unreadable item does not keep the others from being adopted. */
  #readItems(method: string, items: readonly unknown[]): GossipItem[] {
    return readEach(method, gossipItemSchema, items, this.#options.listener.unreadable)
  }
}
