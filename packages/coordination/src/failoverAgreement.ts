/** Collects the watchers' opinions of the primary and decides whether enough of them suspect it. */
import {
  majorityOf,
  addMilliseconds,
  milliseconds,
  type BackendServerId,
  type DatabaseId,
  type EntryHostId,
  type Milliseconds,
  type Term,
} from '@nutmegcourse/shared'

import type { FailoverClock } from './failoverClock.js'
import type { Watcher, WatcherOpinion } from './failoverMessages.js'
import type { FailoverOptions } from './failoverOptions.js'
import type { FailoverEffectQueue } from './failoverEffectQueue.js'

interface ReceivedOpinion {
  readonly opinion: WatcherOpinion
  readonly receivedAt: Milliseconds
  /** By the clock, which also runs while this process stalls. */
  readonly receivedAtClock: Milliseconds
  /** When the first of its opinions in a row that say the same arrived. */
  readonly heldSince: Milliseconds
}

/** The primary that opinions are about; opinions of an earlier primary or term do not count. */
export interface OpinionSubject {
  readonly server: BackendServerId
  readonly term: Term
}

export class FailoverAgreement {
  readonly #database: DatabaseId
  readonly #self: Watcher
  readonly #options: FailoverOptions
  readonly #clock: FailoverClock
  readonly #effects: FailoverEffectQueue
  #watchers: readonly Watcher[] = []
  readonly #received = new Map<EntryHostId, ReceivedOpinion>()
  #subject: OpinionSubject | null = null
  #suspectedSince: Milliseconds | null = null
  #agreedSince: Milliseconds | null = null
  #lastSentAt: Milliseconds | null = null
  #sequence = 0

  constructor(
    database: DatabaseId,
    self: Watcher,
    options: FailoverOptions,
    clock: FailoverClock,
    effects: FailoverEffectQueue,
  ) {
    this.#database = database
    this.#self = self
    this.#options = options
    this.#clock = clock
    this.#effects = effects
  }

  get watchers(): readonly Watcher[] {
    return this.#watchers
  }

  /** Whether this host watches the database; a host that does not must not act for it. */
  get isWatcher(): boolean {
    return this.#watchers.some(watcher => watcher.entryHost === this.#self.entryHost)
  }

  /** This watcher's place in the order in which watchers try to coordinate. */
  get rank(): number {
    return this.#watchers.findIndex(watcher => watcher.entryHost === this.#self.entryHost)
  }

  setWatchers(watchers: readonly Watcher[]): void {
    this.#watchers = watchers
    for (const host of this.#received.keys()) {
      if (!watchers.some(watcher => watcher.entryHost === host)) this.#received.delete(host)
    }
    this.#lastSentAt = null
  }

  receive(opinion: WatcherOpinion, now: Milliseconds): void {
    const last = this.#received.get(opinion.watcher)
    // A restarted host numbers its opinions from 1 again; they count once its last one has expired.
    if (last !== undefined && this.#isFreshByClock(last, now)) {
      if (last.opinion.sequence >= opinion.sequence) return
    }
    const receivedAtClock = this.#clock.toClockTime(now)
    const isRepeated = last !== undefined && isSameOpinion(last.opinion, opinion)
    const heldSince = isRepeated ? last.heldSince : now
    this.#received.set(opinion.watcher, { opinion, receivedAt: now, receivedAtClock, heldSince })
  }

  /** Sets this watcher's own opinion of the primary; sends a changed opinion to the others at once. */
  setOwnOpinion(subject: OpinionSubject | null, suspected: boolean, now: Milliseconds): void {
    const isSame =
      subject?.server === this.#subject?.server && subject?.term === this.#subject?.term
    const wasSuspected = this.#suspectedSince !== null
    if (!isSame) this.#agreedSince = null
    if (!isSame || !suspected) this.#suspectedSince = null
    if (suspected) this.#suspectedSince ??= now
    this.#subject = subject
    if (subject === null) return
    if (!isSame || wasSuspected !== suspected || this.#isResendDue(now)) {
      this.#send(subject, suspected, now)
    }
  }

  /** Since when the watchers agree that the primary must be replaced; null while they do not. */
  agreedSince(now: Milliseconds): Milliseconds | null {
    if (this.#isAgreed(now)) this.#agreedSince ??= now
    else this.#agreedSince = null
    return this.#agreedSince
  }

  /** How many of the watchers that suspect the primary rank before this one. */
  rankAmongSuspecting(now: Milliseconds): number {
    const suspecting = this.#suspecting(now)
    const index = suspecting.findIndex(watcher => watcher.entryHost === this.#self.entryHost)
    return index === -1 ? suspecting.length : index
  }

  nextWake(now: Milliseconds): Milliseconds | null {
    if (this.#subject === null) return null
    if (this.#lastSentAt === null) return milliseconds(0)
    const resendAt = addMilliseconds(this.#lastSentAt, this.#options.opinionIntervalMilliseconds)
    if (this.#suspectedSince === null || this.#agreedSince !== null) return resendAt
    const actsAloneAt = this.#suspectedSince + this.#options.soleWatcherMilliseconds
    const later = [actsAloneAt, ...this.#lateOpinionTimes()].filter(time => time > now)
    return milliseconds(Math.min(resendAt, ...later))
  }

  /**
   * A majority of the watchers from more than one zone is required, so that the lost link of one
   * zone is not taken for a dead primary. If watchers failed together with the primary, no majority
   * may be left; a watcher that no other contradicts then acts alone after a longer time.
   */
  #isAgreed(now: Milliseconds): boolean {
    if (this.#suspectedSince === null) return false
    const suspecting = this.#suspecting(now).filter(watcher => this.#counts(watcher, now))
    const zonesWanted = Math.min(2, countZones(this.#watchers))
    if (suspecting.length >= majorityOf(this.#watchers.length)) {
      if (countZones(suspecting) >= zonesWanted) return true
    }
    const isAloneLongEnough = now - this.#suspectedSince >= this.#options.soleWatcherMilliseconds
    return isAloneLongEnough && !this.#isContradicted(now)
  }

  #suspecting(now: Milliseconds): readonly Watcher[] {
    return this.#watchers.filter(watcher => {
      if (watcher.entryHost === this.#self.entryHost) return this.#suspectedSince !== null
      const received = this.#opinionOf(watcher)
      return received?.opinion.suspected === true && this.#isFreshByClock(received, now)
    })
  }

  /**
   * When a link pauses, every watcher behind it suspects the primary, and once it works again their
   * opinions arrive together with the primary's answers, in any order. A suspicion that arrived while
   * this watcher still received answers of the primary, or soon after, came over a working link.
   */
  #counts(watcher: Watcher, now: Milliseconds): boolean {
    const received = this.#received.get(watcher.entryHost)
    if (watcher.entryHost === this.#self.entryHost || received === undefined) return true
    return now >= this.#countsFrom(received)
  }

  #countsFrom({ heldSince }: ReceivedOpinion): Milliseconds {
    const { promptOpinionMilliseconds, lateOpinionMilliseconds } = this.#options
    const suspectedSince = this.#suspectedSince ?? heldSince
    const isPrompt = heldSince - suspectedSince <= promptOpinionMilliseconds
    return isPrompt ? heldSince : addMilliseconds(heldSince, lateOpinionMilliseconds)
  }

  #lateOpinionTimes(): readonly Milliseconds[] {
    return [...this.#received.values()].map(received => this.#countsFrom(received))
  }

  #isContradicted(now: Milliseconds): boolean {
    return this.#watchers.some(watcher => {
      if (watcher.entryHost === this.#self.entryHost) return false
      const received = this.#opinionOf(watcher)
      return received?.opinion.suspected === false && this.#isFresh(received, now)
    })
  }

  /** The watcher's last opinion if it is on the current subject; it may have expired. */
  #opinionOf(watcher: Watcher): ReceivedOpinion | null {
    const received = this.#received.get(watcher.entryHost)
    const isOnSubject =
      received?.opinion.about === this.#subject?.server &&
      received?.opinion.term === this.#subject?.term
    return received !== undefined && isOnSubject ? received : null
  }

  /** A contradiction prevents a change: during a stall of this process it does not expire. */
  #isFresh(received: ReceivedOpinion, now: Milliseconds): boolean {
    return now - received.receivedAt < this.#options.opinionLifetimeMilliseconds
  }

  /** A suspicion permits a change: it expires even while this process stalls. */
  #isFreshByClock(received: ReceivedOpinion, now: Milliseconds): boolean {
    const age = this.#clock.toClockTime(now) - received.receivedAtClock
    return age < this.#options.opinionLifetimeMilliseconds
  }

  #isResendDue(now: Milliseconds): boolean {
    if (this.#lastSentAt === null) return true
    return now - this.#lastSentAt >= this.#options.opinionIntervalMilliseconds
  }

  #send(subject: OpinionSubject, suspected: boolean, now: Milliseconds): void {
    this.#lastSentAt = now
    this.#sequence += 1
    const opinion: WatcherOpinion = {
      database: this.#database,
      watcher: this.#self.entryHost,
      zone: this.#self.zone,
      region: this.#self.region,
      about: subject.server,
      term: subject.term,
      suspected,
      sequence: this.#sequence,
    }
    this.#effects.emit({ kind: 'tellWatchers', opinion })
  }
}

const isSameOpinion = (left: WatcherOpinion, right: WatcherOpinion): boolean =>
  left.about === right.about && left.term === right.term && left.suspected === right.suspected

const countZones = (watchers: readonly Watcher[]): number =>
  new Set(watchers.map(watcher => watcher.zone)).size
