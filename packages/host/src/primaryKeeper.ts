/**
 * Sees to it that one service has a primary that works: watches for silence, tells the other hosts of
 * it, claims the change when it is this host's turn, and carries it out.
 *
 * The claim is a record in the store under a lease; the store's revision of it is the fencing token,
 * so a holder that was frozen finds its orders refused once another has claimed. A claim that
 * vanishes without the change being done is taken up by another host: replicas may be paused, and
 * an order to promote may still be under way, which only a newer token stops.
 *
 * @internal
 */
import {
  PrimaryChoice,
  PrimarySuspicion,
  RANK_PAUSE_MILLISECONDS,
  VOTE_LIFETIME_MILLISECONDS,
  mixHashes,
  readChangeRecord,
  readSuspicionRecord,
  nameHash,
  suspicionKey,
  writeRecord,
  type ChangeRecord,
  type ChosenPrimary,
  type SuspicionRecord,
} from '@nutmegcourse/coordination'
import {
  addMilliseconds,
  milliseconds,
  type BackendServerId,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { PromotionPort, StoreLink } from '@nutmegcourse/protocol'
import type { ServerDirectory } from '@nutmegcourse/state'
import { GroupControl } from './groupControl.js'
import type { HostContext } from './hostContext.js'
import { CALL_LIMIT_MILLISECONDS, PrimaryClaims, type Claim } from './primaryClaim.js'
import type { ServiceDesk } from './serviceDesk.js'
import { rest } from './waiting.js'

/** Rounds of one claim: each asks all servers anew. */
const ROUNDS = 40
const ROUND_PAUSE_MILLISECONDS = 100

/** Tries of one order to promote: the order is idempotent under its token. */
const PROMOTION_TRIES = 8

/** A promotion shows within the time that the platform takes for one, and a reserve. */
const EFFECT_LIMIT_MILLISECONDS = 3000
const EFFECT_PAUSE_MILLISECONDS = 20

/** After a change or a claim by another, before this host thinks of one again. */
const SETTLE_MILLISECONDS = 800

interface KnownRecord {
  readonly record: ChangeRecord
  readonly revision: number
}

export class PrimaryKeeper {
  readonly #context: HostContext
  readonly #desk: ServiceDesk
  readonly #directory: ServerDirectory
  readonly #store: StoreLink
  readonly #promotion: PromotionPort
  readonly #observers: () => readonly string[]
  readonly #suspicion = new PrimarySuspicion()
  readonly #control: GroupControl
  readonly #claims: PrimaryClaims
  #known: KnownRecord | null = null
  /** Another host's claim ended without a word that it was done. */
  #abandonedAt: Milliseconds | null = null
  #quietUntil = milliseconds(0)
  #isChanging = false
  #lastVote: { readonly vote: SuspicionRecord; readonly at: Milliseconds } | null = null

  constructor(
    context: HostContext,
    desk: ServiceDesk,
    directory: ServerDirectory,
    store: StoreLink,
    promotion: PromotionPort,
    observers: () => readonly string[],
  ) {
    this.#context = context
    this.#desk = desk
    this.#directory = directory
    this.#store = store
    this.#promotion = promotion
    this.#observers = observers
    this.#control = new GroupControl(context, desk)
    this.#claims = new PrimaryClaims(context, store, desk.name, (value, revision) => {
      this.heardChange(value, revision)
    })
  }

  get isChanging(): boolean {
    return this.#isChanging
  }

  heardChange(value: string | null, revision: number): void {
    const now = this.#context.clock.now()
    const record = value === null ? null : readChangeRecord(value)
    const before = this.#known
    this.#known = record === null ? null : { record, revision }
    if (record?.phase === 'done') {
      this.#abandonedAt = null
      this.#stayQuiet(now, SETTLE_MILLISECONDS)
      if (before?.revision !== revision) this.#desk.toldToLead(record.primary, now)
    } else if (record?.phase === 'claimed') this.#abandonedAt = null
    else if (before?.record.phase === 'claimed') this.#abandonedAt = now
  }

  /**
   * The store may have lost a claim that its holder still acts on. Nobody claims anew before that holder's lease
   * would have ended.
   */
  storeRestored(now: Milliseconds): void {
    this.#stayQuiet(now, this.#claims.lifetimeMilliseconds)
  }

  #stayQuiet(now: Milliseconds, span: number): void {
    this.#quietUntil = milliseconds(Math.max(this.#quietUntil, now + span))
  }

  heardSuspicion(host: string, value: string | null): void {
    const suspicion = value === null ? null : readSuspicionRecord(value)
    if (suspicion === null) this.#suspicion.heardNoVote(host)
    else if (suspicion.reaches) {
      this.#suspicion.heardDenial(host, suspicion.primary, this.#context.clock.now())
    } else this.#suspicion.heardVote(host, suspicion.primary, this.#context.clock.now())
  }

  tick(now: Milliseconds): void {
    if (this.#isChanging || now < this.#quietUntil) return
    const reason = this.#reasonToChange(now)
    if (reason === null || this.#isClaimedByOther()) return
    this.#isChanging = true
    void this.#change(reason).finally(() => {
      this.#isChanging = false
      this.#stayQuiet(this.#context.clock.now(), SETTLE_MILLISECONDS)
    })
  }

  #reasonToChange(now: Milliseconds): string | null {
    const rank = this.#rank()
    const turn = rank * RANK_PAUSE_MILLISECONDS
    if (this.#abandonedAt !== null && now >= addMilliseconds(this.#abandonedAt, turn)) {
      return 'abandoned'
    }
    const { primary } = this.#desk
    if (primary === null) return null
    const known = this.#directory.get(primary.entry.server)
    const leavingSince = known?.leavingSince ?? null
    if (leavingSince !== null && now >= addMilliseconds(leavingSince, turn)) return 'leaving'
    const { server } = primary.entry
    const isAccused = this.#suspicion.isAccused(server, now)
    if (isAccused) primary.askForLife(now)
    const signs = {
      primary: server,
      silentMilliseconds: primary.silentFor(now),
      refusals: primary.pool.refusals,
      logGrewAgo: now - this.#desk.logGrewAt,
      reachedThroughOthersAgo: now - this.#desk.reachedThroughOthersAt,
    }
    const advice = this.#suspicion.advise(signs, this.#observers().length, rank, now)
    if (advice !== 'trust') this.#castVote({ primary: server, reaches: false }, now)
    else if (isAccused && this.#desk.reachesPrimary(now) && this.#desk.hasHeardPrimary(now)) {
      this.#castVote({ primary: server, reaches: true }, now)
    } else this.#withdrawVote()
    return advice === 'act' ? 'silent' : null
  }

  /**
   * This host's place among those that watch the service, other for each service so that the work
   * is spread.
   */
  #rank(): number {
    const service = nameHash(this.#desk.name)
    const weight = (host: string): number => mixHashes(nameHash(host), service)
    const own = weight(this.#context.settings.entryHost)
    let rank = 0
    for (const host of this.#observers()) if (weight(host) > own) rank += 1
    return rank
  }

  #isClaimedByOther(): boolean {
    const record = this.#known?.record
    return record?.phase === 'claimed' && record.holder !== this.#context.settings.entryHost
  }

  /** Says it again in time, and at once when this host's own view has changed. */
  #castVote(vote: SuspicionRecord, now: Milliseconds): void {
    const last = this.#lastVote
    const isSame = last?.vote.primary === vote.primary && last.vote.reaches === vote.reaches
    if (isSame && now < addMilliseconds(last.at, VOTE_LIFETIME_MILLISECONDS / 2)) return
    this.#lastVote = { vote, at: now }
    this.#context.log.write('primary_suspected', { service: this.#desk.name, ...vote })
    void this.#putVote(writeRecord(vote))
  }

  #withdrawVote(): void {
    if (this.#lastVote === null) return
    this.#lastVote = null
    void this.#putVote(null)
  }

  async #putVote(value: string | null): Promise<void> {
    const key = suspicionKey(this.#desk.name, this.#context.settings.entryHost)
    const puts = value === null ? [] : [{ key, value, lease: 0 }]
    const removes = value === null ? [key] : []
    const made = await this.#store.change({ expected: [], puts, removes }, CALL_LIMIT_MILLISECONDS)
    // A vote that got lost is cast again when it would lapse.
    if (made.isErr()) this.#context.log.write('vote_failed', { ...made.error })
  }

  async #change(reason: string): Promise<void> {
    const revision = this.#known?.revision ?? 0
    const claim = await this.#claims.claim(revision)
    if (claim === null) return
    this.#context.log.write('change_claimed', {
      service: this.#desk.name,
      reason,
      token: claim.token,
      primary: this.#desk.primary?.entry.server ?? null,
    })
    for (let round = 0; round < ROUNDS; round += 1) {
      if (round > 0) await rest(ROUND_PAUSE_MILLISECONDS)
      const next = await this.#round(claim)
      if (next === 'again') continue
      if (next === 'done') await this.#store.endLease(claim.lease, CALL_LIMIT_MILLISECONDS)
      return
    }
    this.#context.log.write('change_given_up', { service: this.#desk.name, token: claim.token })
  }

  async #round(claim: Claim): Promise<'done' | 'again' | 'lost'> {
    if (!(await this.#claims.keep(claim))) return 'lost'
    const oldPrimary = this.#desk.primary?.entry.server ?? null
    const choice = new PrimaryChoice(
      {
        oldPrimary,
        replicas: this.#members(oldPrimary),
        synchronousReplicas: this.#desk.configuration.synchronousReplicas,
      },
      this.#control,
    )
    const chosen = await choice.choose()
    if (chosen.isErr()) {
      this.#context.log.write('change_waits', { service: this.#desk.name, ...chosen.error })
      return 'again'
    }
    this.#logChoice(claim, chosen.value)
    return this.#promote(claim, chosen.value.server)
  }

  #members(oldPrimary: BackendServerId | null) {
    return this.#directory
      .ofService(this.#desk.name)
      .filter(({ entry }) => entry.server !== oldPrimary)
      .map(({ entry, leavingSince, goneSince }) => ({
        server: entry.server,
        isLeaving: leavingSince !== null || goneSince !== null,
        distance: this.#desk.server(entry.server)?.distance ?? 0,
      }))
  }

  async #promote(claim: Claim, server: BackendServerId): Promise<'done' | 'again' | 'lost'> {
    const order = {
      service: this.#desk.name,
      server,
      holder: this.#context.settings.entryHost,
      fencingToken: claim.token,
    }
    for (let tried = 0; tried < PROMOTION_TRIES; tried += 1) {
      if (tried > 0) await rest(ROUND_PAUSE_MILLISECONDS)
      const outcome = await this.#promotion.promote(order, CALL_LIMIT_MILLISECONDS)
      this.#context.log.write('promotion_ordered', { ...order, outcome: outcome.kind })
      switch (outcome.kind) {
        case 'accepted':
          return this.#awaitEffect(claim, server)
        case 'rejected':
          return (await this.#claims.keep(claim)) ? 'again' : 'lost'
        case 'unavailable':
          if (!(await this.#claims.keep(claim))) return 'lost'
          continue
        case 'noAnswer':
          // It may be carried out any time; asking again settles it.
          continue
      }
    }
    return 'again'
  }

  async #awaitEffect(claim: Claim, server: BackendServerId): Promise<'done' | 'again'> {
    const { clock } = this.#context
    const limit = addMilliseconds(clock.now(), EFFECT_LIMIT_MILLISECONDS)
    while (clock.now() < limit) {
      const report = await this.#control.report(server)
      if (report?.role === 'primary') {
        this.#desk.toldToLead(server, clock.now())
        await this.#resumePaused(server)
        await this.#claims.recordDone(claim, server)
        return 'done'
      }
      await rest(EFFECT_PAUSE_MILLISECONDS)
    }
    return 'again'
  }

  /**
   * A promotion lets paused replicas receive again. One whose pause came late, or was for a later
   * term, would stay behind for good and push all its reads to the others.
   */
  async #resumePaused(primary: BackendServerId): Promise<void> {
    const others = this.#members(primary)
    await Promise.all(
      others.map(async ({ server }) => {
        const report = await this.#control.report(server)
        if (report === null || report.pausedFor === 0) return
        const resumed = await this.#control.resume(server)
        this.#context.log.write('replica_resumed', {
          service: this.#desk.name,
          server,
          pausedFor: report.pausedFor,
          answered: resumed !== null,
        })
      }),
    )
  }

  #logChoice(claim: Claim, chosen: ChosenPrimary): void {
    this.#context.log.write('primary_chosen', {
      service: this.#desk.name,
      token: claim.token,
      ...chosen,
    })
  }
}
