/**
 * Controls failover of one service: detects a silent or leaving primary, publishes a vote about it to the
 * other hosts, claims the change of primary when it is this host's turn, and carries it out.
 *
 * The claim is a record in the store under a lease; the store's revision of it is the fencing token, so that
 * the orders of a holder whose process was paused are refused once another host has ordered. A claim that
 * disappears before the change is done is followed by a new one: replicas may be paused, and an order to
 * promote may still be under way, which only a newer token stops.
 *
 * @internal
 */
import {
  PrimaryChangeRun,
  PrimarySuspicion,
  RANK_DELAY_MILLISECONDS,
  VOTE_LIFETIME_MILLISECONDS,
  mixHashes,
  readChangeRecord,
  readSuspicionRecord,
  readUnfinishedPosition,
  nameHash,
  suspicionKey,
  writeRecord,
  type ChangeEnd,
  type ChangeRecord,
  type SuspicionRecord,
} from '@nutmegcourse/coordination'
import {
  addMilliseconds,
  milliseconds,
  type BackendServerId,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { PromotionPort, ServerReport, StoreLink } from '@nutmegcourse/protocol'
import type { ServerDirectory } from '@nutmegcourse/state'
import { ClaimedChange } from './claimedChange.js'
import { GroupOrderSender } from './groupOrderSender.js'
import { GroupPeers, type RelayedOrder } from './groupPeers.js'
import type { HostContext } from './hostContext.js'
import { CALL_LIMIT_MILLISECONDS, PrimaryClaims, type Claim } from './primaryClaim.js'
import type { RelayPeer } from './relayPeer.js'
import type { ServiceState } from './serviceState.js'

/** Time after a change of primary, or an attempt at one, during which this host starts no other. */
const SETTLE_MILLISECONDS = 800

/**
 * Time without a primary, or a claim to name one, after which one is named. A group has none after a step-down that was
 * carried out late, or when the entry of a primary lapsed.
 */
const MISSING_PRIMARY_MILLISECONDS = 2000

/**
 * Time without a primary after which the other hosts are asked whether they reach one: longer than most changes, and early
 * enough for their answers.
 */
const ASK_FOR_PRIMARY_MILLISECONDS = 1500

/** An acknowledged write is in the logs of two servers, so this many may be unreachable when a primary is named. */
const MAXIMUM_UNREACHABLE = 1

type ChangeReason = 'abandoned' | 'missing' | 'leaving' | 'silent'

/** The hosts that use the service's servers. */
export interface ObservingHosts {
  /** Their names, with that of this host. */
  readonly observers: () => readonly string[]
  /** The others that can be reached. */
  readonly peers: () => readonly RelayPeer[]
}

interface StoredChangeRecord {
  readonly record: ChangeRecord
  readonly revision: number
}

export class FailoverController {
  readonly #context: HostContext
  readonly #service: ServiceState
  readonly #directory: ServerDirectory
  readonly #store: StoreLink
  readonly #promotion: PromotionPort
  readonly #observers: () => readonly string[]
  readonly #suspicion = new PrimarySuspicion()
  readonly #peers: GroupPeers
  readonly #orders: GroupOrderSender
  readonly #claims: PrimaryClaims
  #changeRecord: StoredChangeRecord | null = null
  /** The revision of the record that a change is unfinished; 0 if there is none. */
  #unfinishedRevision = 0
  /** When a claim, of any host, ended without a record that the change was done. */
  #abandonedAt: Milliseconds | null = null
  /** Since when this host has known no primary; null while it knows one. */
  #missingSince: Milliseconds | null = null
  #suspendedUntil = milliseconds(0)
  #isChanging = false
  #lastVote: { readonly vote: SuspicionRecord; readonly at: Milliseconds } | null = null

  constructor(
    context: HostContext,
    service: ServiceState,
    directory: ServerDirectory,
    store: StoreLink,
    promotion: PromotionPort,
    hosts: ObservingHosts,
  ) {
    this.#context = context
    this.#service = service
    this.#directory = directory
    this.#store = store
    this.#promotion = promotion
    this.#observers = hosts.observers
    this.#peers = new GroupPeers(service, hosts.peers)
    this.#orders = new GroupOrderSender(context, service, directory, this.#peers)
    this.#claims = new PrimaryClaims(context, store, service.name, (change, unfinished) => {
      this.receiveChangeRecord(change?.value ?? null, change?.revision ?? 0)
      this.receiveUnfinishedRecord(unfinished?.value ?? null, unfinished?.revision ?? 0)
    })
  }

  get isChanging(): boolean {
    return this.#isChanging
  }

  receiveChangeRecord(value: string | null, revision: number): void {
    const now = this.#context.clock.now()
    const record = value === null ? null : readChangeRecord(value)
    const before = this.#changeRecord
    this.#changeRecord = record === null ? null : { record, revision }
    if (record?.phase === 'done') {
      this.#abandonedAt = null
      this.#suspendFor(now, SETTLE_MILLISECONDS)
      if (before?.revision !== revision) this.#service.recordPromotion(record.primary, now)
    } else if (record?.phase === 'claimed') this.#abandonedAt = null
    else if (before?.record.phase === 'claimed') this.#abandonedAt = now
  }

  /** `revision` is 0 if no change is unfinished. The record stays beside that of a change whose order may be repeated. */
  receiveUnfinishedRecord(value: string | null, revision: number): void {
    this.#unfinishedRevision = revision
    const received = value === null ? null : readUnfinishedPosition(value)
    if (received !== null) this.#service.received.recordReplica(received.server, received.at)
    if (revision !== 0 && this.#changeRecord === null) {
      this.#abandonedAt ??= this.#context.clock.now()
    }
  }

  /**
   * The restored store may lack a claim that its holder still acts on, so this host makes no claim before that
   * holder's lease would have ended.
   */
  storeRestored(now: Milliseconds): void {
    this.#suspendFor(now, this.#claims.lifetimeMilliseconds)
  }

  orderForPeer(server: BackendServerId, order: RelayedOrder): Promise<ServerReport | null> {
    return this.#orders.orderForPeer(server, order)
  }

  #suspendFor(now: Milliseconds, span: number): void {
    this.#suspendedUntil = milliseconds(Math.max(this.#suspendedUntil, now + span))
  }

  receiveSuspicion(host: string, value: string | null): void {
    const suspicion = value === null ? null : readSuspicionRecord(value)
    const now = this.#context.clock.now()
    if (suspicion === null) this.#suspicion.removeVote(host)
    else if (suspicion.primary === null) this.#suspicion.recordMissing(host, now)
    else if (suspicion.reaches) this.#suspicion.recordDenial(host, suspicion.primary, now)
    else this.#suspicion.recordVote(host, suspicion.primary, now)
  }

  tick(now: Milliseconds): void {
    if (this.#isChanging || now < this.#suspendedUntil) return
    const reason = this.#reasonToChange(now)
    if (reason === null || this.#isClaimedByOther()) return
    this.#isChanging = true
    void this.#change(reason).finally(() => {
      this.#isChanging = false
      this.#suspendFor(this.#context.clock.now(), SETTLE_MILLISECONDS)
    })
  }

  #reasonToChange(now: Milliseconds): ChangeReason | null {
    const { rank } = this
    const turnDelay = rank * RANK_DELAY_MILLISECONDS
    if (this.#abandonedAt !== null && now >= addMilliseconds(this.#abandonedAt, turnDelay)) {
      return 'abandoned'
    }
    const { primary } = this.#service
    if (primary === null) return this.#isPrimaryMissing(now, turnDelay) ? 'missing' : null
    this.#missingSince = null
    const known = this.#directory.get(primary.entry.server)
    const leavingSince = known?.leavingSince ?? null
    if (leavingSince !== null && now >= addMilliseconds(leavingSince, turnDelay)) return 'leaving'
    const { server } = primary.entry
    const isSuspected = this.#suspicion.isSuspected(server, now)
    if (isSuspected) primary.probeLiveness(now)
    const observations = {
      primary: server,
      silentMilliseconds: primary.silentMilliseconds(now),
      refusals: primary.pool.refusals,
      logGrewAgo: now - this.#service.lastReplicaProgressAt,
      reachedThroughOthersAgo: now - this.#service.lastRelayedAnswerAt,
    }
    const advice = this.#suspicion.advise(observations, this.#observers().length, rank, now)
    if (advice !== 'trust') this.#castVote({ primary: server, reaches: false }, now)
    else if (
      isSuspected &&
      this.#service.reachesPrimary(now) &&
      this.#service.heardPrimaryRecently(now)
    ) {
      this.#castVote({ primary: server, reaches: true }, now)
    } else this.#withdrawVote()
    return advice === 'act' ? 'silent' : null
  }

  /**
   * A host that cannot reach the servers may merely not see their primary, and one that has just started may not know a
   * live primary whose entry lapsed, which other hosts reach.
   */
  #isPrimaryMissing(now: Milliseconds, turnDelay: number): boolean {
    if (this.#suspicion.isReachedByOthers(now)) {
      this.#missingSince = null
      return false
    }
    this.#missingSince ??= now
    const isAsked = now >= addMilliseconds(this.#missingSince, ASK_FOR_PRIMARY_MILLISECONDS)
    if (isAsked && !this.#isClaimedByOther()) {
      this.#castVote({ primary: null, reaches: false }, now)
    }
    const { servers } = this.#service
    const unreachable = servers.filter(
      server => server.pool.refusals > 0 || server.silentMilliseconds(now) > 0,
    )
    if (servers.length === 0 || unreachable.length > MAXIMUM_UNREACHABLE) return false
    return now >= addMilliseconds(this.#missingSince, MISSING_PRIMARY_MILLISECONDS + turnDelay)
  }

  /**
   * This host's rank among the observers of the service. It differs by service, so that failovers are spread
   * over the hosts.
   */
  get rank(): number {
    const service = nameHash(this.#service.name)
    const weight = (host: string): number => mixHashes(nameHash(host), service)
    const own = weight(this.#context.settings.entryHost)
    let rank = 0
    for (const host of this.#observers()) if (weight(host) > own) rank += 1
    return rank
  }

  #isClaimedByOther(): boolean {
    const record = this.#changeRecord?.record
    return record?.phase === 'claimed' && record.holder !== this.#context.settings.entryHost
  }

  /** Repeats the vote before it expires, and at once when this host's view has changed. */
  #castVote(vote: SuspicionRecord, now: Milliseconds): void {
    const last = this.#lastVote
    const isSame = last?.vote.primary === vote.primary && last.vote.reaches === vote.reaches
    if (isSame && now < addMilliseconds(last.at, VOTE_LIFETIME_MILLISECONDS / 2)) return
    this.#lastVote = { vote, at: now }
    this.#context.log.write('primary_suspected', { service: this.#service.name, ...vote })
    void this.#putVote(writeRecord(vote))
  }

  #withdrawVote(): void {
    if (this.#lastVote === null) return
    this.#lastVote = null
    void this.#putVote(null)
  }

  async #putVote(value: string | null): Promise<void> {
    const key = suspicionKey(this.#service.name, this.#context.settings.entryHost)
    const puts = value === null ? [] : [{ key, value, lease: 0 }]
    const removes = value === null ? [key] : []
    const made = await this.#store.change({ expected: [], puts, removes }, CALL_LIMIT_MILLISECONDS)
    // A vote that could not be written is cast again when it is due for repetition.
    if (made.isErr()) this.#context.log.write('vote_failed', { ...made.error })
  }

  async #change(reason: ChangeReason): Promise<void> {
    const unfinished = this.#unfinishedRevision
    const primary = this.#service.primary?.entry.server ?? null
    const claim = await this.#claims.claim(
      { change: this.#changeRecord?.revision ?? 0, unfinished },
      this.#service.received.furthest,
    )
    if (claim === null) return
    // A holder of an earlier version leaves no record of an unfinished change.
    const hasUnfinishedOrder = unfinished !== 0 || reason === 'abandoned'
    this.#context.log.write('change_claimed', {
      service: this.#service.name,
      reason,
      token: claim.token,
      primary,
      hasUnfinishedOrder,
    })
    this.#orders.changeLog.begin(claim.token)
    const change = new ClaimedChange({
      context: this.#context,
      service: this.#service,
      directory: this.#directory,
      orders: this.#orders,
      peers: this.#peers,
      promotion: this.#promotion,
      claim,
      hasUnfinishedOrder,
      keepsPrimary: reason === 'abandoned' || reason === 'missing',
      suspect: reason === 'silent' ? primary : null,
    })
    try {
      await this.#end(claim, await new PrimaryChangeRun(change, this.#context.clock).run())
    } finally {
      await claim.end()
    }
  }

  async #end(claim: Claim, end: ChangeEnd): Promise<void> {
    const { token } = claim
    const service = this.#service.name
    switch (end.kind) {
      case 'done':
        await this.#claims.recordDone(claim, end)
        break
      case 'unresolved':
        this.#context.log.write('promotion_unresolved', { service, token, server: end.server })
        break
      case 'givenUp':
        this.#context.log.write('change_given_up', { service, token })
        break
      case 'claimLost':
    }
  }
}
