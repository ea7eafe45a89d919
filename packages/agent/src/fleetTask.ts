/**
 * This host's part in the fleet: runs the membership, news and configuration machines over the links
 * to other agents. Owns what this host knows; others read it here and are told of each change.
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
import type { RpcHandlers } from '@nutmegcourse/transport'
import { PeerNetwork } from './peerNetwork.js'

const NEWS_TIMEOUT_MILLISECONDS = 5000
const PROBE_TIMEOUT_MILLISECONDS = 500
/** The helper's own attempts come first. */
const PROBE_ANSWER_TIMEOUT_MILLISECONDS = 1400

export interface FleetTaskListener {
  /** Something newer is known. */
  itemChanged(item: GossipItem): void
  /** Other hosts live, or others are listed. */
  membershipChanged(change: string, host: EntryHostId): void
  /** This host can confirm its targets again, or no longer. */
  confirmationChanged(confirmed: boolean): void
  opinionHeard(opinion: WatcherOpinion): void
  /** The store should hold this; answers once that was tried. */
  repairTargets(document: VersionedTargets, expectedRevision: number): Promise<void>
}

export interface FleetTaskParts {
  readonly self: Member
  readonly clock: Clock
  readonly random: RandomSource
  readonly heartbeatIntervalMilliseconds: number
  /** Calls of operators' tools, served on the same port. */
  readonly toolHandlers: RpcHandlers
  readonly listener: FleetTaskListener
}

export class FleetTask {
  readonly news = new GossipCore()
  readonly configuration = new ConfigurationCore()
  readonly membership: MembershipCore
  readonly network: PeerNetwork
  readonly #parts: FleetTaskParts
  #neighbours: readonly EntryHostId[] = []
  #partners: readonly EntryHostId[] = []
  #intervals = 0
  #timers: readonly NodeJS.Timeout[] = []

  constructor(parts: FleetTaskParts) {
    this.#parts = parts
    this.membership = new MembershipCore(parts.self, parts.random, parts.clock.now())
    this.network = new PeerNetwork({
      clock: parts.clock,
      hello: () => this.#hello(),
      ping: () => this.#ping(),
      placeOf: host => this.membership.endpointOf(host),
      peerHandlers: peer => this.#peerHandlers(peer),
      listener: {
        linked: peer => {
          this.#news({ kind: 'peerConnected', peer })
        },
        lost: peer => {
          this.#news({ kind: 'peerDisconnected', peer })
          this.tellMembership({ kind: 'linkLost', peer })
        },
        unlinked: peer => {
          this.#news({ kind: 'peerDisconnected', peer })
          this.tellMembership({ kind: 'unlinked', peer })
        },
        heard: peer => {
          this.tellMembership({ kind: 'heard', peer })
        },
        pingAnswered: (peer, answer, askedAt) => {
          this.#pingAnswered(peer, answer, askedAt)
        },
      },
    })
  }

  start(): void {
    const { heartbeatIntervalMilliseconds, self } = this.#parts
    this.learn({ kind: 'member', member: self })
    this.#timers = [
      setInterval(() => {
        this.#heartbeat()
      }, heartbeatIntervalMilliseconds),
      setInterval(() => {
        this.tellMembership({ kind: 'tick' })
        this.tellConfiguration({ kind: 'tick' })
      }, heartbeatIntervalMilliseconds / 2),
    ]
  }

  /** Tells the fleet that this host stops; `close` follows once that had time to leave. */
  leave(): void {
    this.tellMembership({ kind: 'stop' })
  }

  close(): void {
    for (const timer of this.#timers) clearInterval(timer)
    this.network.close()
  }

  /** Hosts that watch the same databases as this one: links to them stay open, opinions are urgent. */
  setPartners(partners: readonly EntryHostId[]): void {
    this.#partners = partners
    this.#updateLinks()
  }

  learn(item: GossipItem): void {
    this.#news({ kind: 'learned', item })
  }

  tellMembership(message: MembershipMessage): void {
    const effects = this.membership.handle(message, this.#parts.clock.now())
    for (const effect of effects) this.#carryOutMembership(effect)
  }

  tellConfiguration(message: ConfigurationMessage): void {
    const effects = this.configuration.handle(message, this.#parts.clock.now())
    for (const effect of effects) this.#carryOutConfiguration(effect)
  }

  #news(message: GossipMessage): void {
    for (const effect of this.news.handle(message)) this.#carryOutNews(effect)
  }

  #carryOutMembership(effect: MembershipEffect): void {
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
        this.#parts.listener.membershipChanged(effect.change, effect.host)
        return
      case 'forget':
        this.news.forget(`member/${effect.host}`)
        return
      default:
        assertNever(effect)
    }
  }

  #carryOutConfiguration(effect: ConfigurationEffect): void {
    switch (effect.kind) {
      case 'adopt':
        this.learn({ kind: 'targets', document: effect.document })
        return
      case 'repairStore':
        void this.#parts.listener
          .repairTargets(effect.document, effect.expectedRevision)
          .then(() => {
            this.tellConfiguration({ kind: 'repairEnded' })
          })
        return
      case 'confirmationChanged':
        this.#parts.listener.confirmationChanged(effect.confirmed)
        return
      default:
        assertNever(effect)
    }
  }

  #carryOutNews(effect: GossipEffect): void {
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
      this.tellConfiguration({ kind: 'learned', document: item.document })
    }
    if (item.kind === 'member') this.tellMembership({ kind: 'news', member: item.member })
    this.#parts.listener.itemChanged(item)
  }

  #heartbeat(): void {
    this.#intervals += 1
    if (this.#intervals % this.membership.heartbeatIntervalMultiple === 0) this.network.heartbeat()
    else this.network.dialMissing()
  }

  #updateLinks(): void {
    this.network.want([...new Set([...this.#neighbours, ...this.#partners])])
  }

  async #sendBatch(peer: EntryHostId, items: readonly GossipItem[]): Promise<void> {
    const params: PeerGossipParams = { items }
    const answer = await this.network.request(peer, 'peer.news', params, NEWS_TIMEOUT_MILLISECONDS)
    if (answer.isOk()) this.#news({ kind: 'batchTaken', peer })
    // What was in the batch is found again by the comparison that a fresh link begins with.
    else this.network.drop(peer)
  }

  async #compare(peer: EntryHostId, buckets: readonly number[]): Promise<void> {
    const params: PeerCompareParams = { buckets }
    const answer = await this.network.request<PeerCompareResult>(
      peer,
      'peer.compare',
      params,
      NEWS_TIMEOUT_MILLISECONDS,
    )
    if (answer.isOk()) this.#news({ kind: 'compared', peer, versions: answer.value.versions })
    else this.#news({ kind: 'compareFailed', peer })
  }

  async #fetch(peer: EntryHostId, keys: readonly string[]): Promise<void> {
    const params: PeerFetchParams = { keys }
    const answer = await this.network.request<PeerFetchResult>(
      peer,
      'peer.fetch',
      params,
      NEWS_TIMEOUT_MILLISECONDS,
    )
    if (answer.isOk()) this.#news({ kind: 'fetched', peer, items: answer.value.items })
    this.#news({ kind: 'fetchEnded', peer })
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
    this.tellMembership({ kind: 'probeAnswered', subject, reached })
  }

  #pingAnswered(peer: EntryHostId, answer: PeerPingResult, askedAt: Milliseconds): void {
    this.#news({ kind: 'rootHeard', peer, root: answer.root })
    if (answer.confirmation === null) return
    const { ageMilliseconds, ...name } = answer.confirmation
    this.tellConfiguration({ kind: 'peerConfirmed', name, ageMilliseconds, askedAt })
  }

  #hello(): PeerHello {
    const { entryHost, zone, region, incarnation } = this.membership.self
    return { entryHost, zone, region, incarnation }
  }

  #ping(): PeerPingParams {
    return { root: this.news.root }
  }

  #answerPing(): PeerPingResult {
    const now = this.#parts.clock.now()
    const { newest } = this.configuration
    const ageMilliseconds = this.configuration.confirmationAge(now)
    if (newest === null || ageMilliseconds === null) return { ...this.#ping(), confirmation: null }
    const { version, changeId } = newest
    const age = Math.ceil(ageMilliseconds)
    return { ...this.#ping(), confirmation: { version, changeId, ageMilliseconds: age } }
  }

  #peerHandlers(peerOf: () => EntryHostId | null): RpcHandlers {
    return {
      ...this.#parts.toolHandlers,
      'peer.identify': () => this.#hello(),
      'peer.ping': params => {
        const { root } = params as PeerPingParams
        const peer = peerOf()
        if (peer !== null) {
          this.tellMembership({ kind: 'heard', peer })
          this.#news({ kind: 'rootHeard', peer, root })
        }
        return this.#answerPing()
      },
      'peer.news': params => {
        const peer = peerOf()
        if (peer !== null) {
          this.#news({ kind: 'batchReceived', peer, items: (params as PeerGossipParams).items })
        }
        return null
      },
      'peer.compare': (params): PeerCompareResult => ({
        versions: this.news.differingVersions((params as PeerCompareParams).buckets),
      }),
      'peer.fetch': (params): PeerFetchResult => ({
        items: this.news.itemsOf((params as PeerFetchParams).keys),
      }),
      'peer.probe': async (params): Promise<PeerProbeResult> => ({
        reached: await this.network.reaches(
          (params as PeerProbeParams).subject,
          PROBE_TIMEOUT_MILLISECONDS,
        ),
      }),
      'peer.opinion': params => {
        this.#parts.listener.opinionHeard(params as WatcherOpinion)
        return null
      },
    }
  }
}
