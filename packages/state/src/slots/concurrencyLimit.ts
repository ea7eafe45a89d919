/**
 * How many statements one backend server may have in flight: its slots, and what fits into the network round trip and
 * the gaps between statements. Whatever exceeds that waits in the server's own queue, where no order by class and
 * customer applies.
 *
 * The limit grows while it is fully used. It shrinks when the server refuses a statement, and when the smallest
 * latencies stand above the smallest latency of the unloaded server: by Little's law, the part of the latency that was
 * spent waiting tells how many of the statements in flight are waiting. Mean latencies would not do, since they depend on
 * the mix of short and long statements. Several hosts that share a server each remove their own part of its queue, and
 * the one with more in flight has the larger part.
 */
import { milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import { UnloadedLatency } from './unloadedLatency.js'

/** Share of the statements in flight that remains after a refusal. */
const REFUSAL_FACTOR = 0.75

/** After a refusal the limit regains one statement in each such period, up to what it was or the server's slots. */
const RECOVERY_MILLISECONDS = 100

/** Answers to statements sent at full use after which the limit may grow. */
const ROUND_ANSWERS = 24

/** Rounds in a row that must show waiting before the limit shrinks: one may lack short statements by chance. */
const ROUNDS_TO_SHRINK = 2

/** Statements that this host may have waiting at the server: below the first number the limit grows, above the second it shrinks. */
const GROWS_BELOW_QUEUED = 0.4
const SHRINKS_ABOVE_QUEUED = 0.5

/** A limit below the server's slots grows faster, since too low a limit costs more than too high a one. */
const GROWTH_STEP_BELOW_SLOTS = 1
const GROWTH_STEP = 0.5

/** A shrunk limit was shrunk rightly if at least this share of the excess latency is gone. */
const MIN_RELIEF_SHARE = 0.2

/** Rounds without a reduction after the unloaded latency was measured. */
const ROUNDS_AFTER_PROBE = 8

/** The largest part of the limit that one reduction takes. */
const MAX_SHRINK_SHARE = 0.25

/** Share of the limit that stays while the unloaded latency is measured again. */
const PROBE_FACTOR = 0.6

const ROUND_TRIP_WEIGHT = 0.1

/** Why the limit is lower than it was, until the next rounds show what that changed. */
type Trial =
  | { readonly kind: 'none' }
  /** It was shrunk because statements seemed to wait; their smallest latency was `smallest`. */
  | { readonly kind: 'shrunk'; readonly from: number; readonly smallest: number }
  /** It is low for some rounds, so that the unloaded latency can be measured. */
  | { readonly kind: 'probing'; readonly from: number }

const NO_TRIAL: Trial = { kind: 'none' }

export class ConcurrencyLimit {
  #slots: number
  readonly #unloaded = new UnloadedLatency()
  #exact: number
  #changedAt = milliseconds(Number.NEGATIVE_INFINITY)
  /** The value up to which it recovers from a refusal by time alone. */
  #recoversTo = 0
  #roundTrip = 0
  #trial: Trial = NO_TRIAL
  #roundsToSkip = 0
  /** The smallest latency of each consecutive round that showed queueing, or that is part of a trial of another limit. */
  #minima: number[] = []
  #answers = 0
  #total = 0
  #smallest = Number.POSITIVE_INFINITY
  #lightAnswers = 0
  #lightSmallest = Number.POSITIVE_INFINITY

  /** `slots`: the number of statements that the server's entry says it processes concurrently. */
  constructor(slots: number) {
    this.#slots = Math.max(1, slots)
    this.#exact = this.#slots
  }

  get value(): number {
    return Math.floor(this.#exact)
  }

  get #maximum(): number {
    return 2 * this.#slots + 2
  }

  /** The server's entry was changed: what was learned with another number of slots does not hold. */
  resize(slots: number, now: Milliseconds): void {
    if (Math.max(1, slots) === this.#slots) return
    this.#slots = Math.max(1, slots)
    this.#trial = NO_TRIAL
    this.#recoversTo = 0
    this.#change(this.#slots, now)
  }

  /**
   * `slotMilliseconds`: from when the statement was sent until its answer came. `inFlight`: statements in flight when it
   * was sent, itself included.
   */
  recordAnswer(slotMilliseconds: number, inFlight: number, now: Milliseconds): void {
    if (!(slotMilliseconds > 0)) return
    this.#recordLightUse(slotMilliseconds, inFlight, now)
    this.#roundTrip += (slotMilliseconds - this.#roundTrip) * ROUND_TRIP_WEIGHT
    const wasSentBeforeChange = now - slotMilliseconds < this.#changedAt
    if (inFlight < this.value || wasSentBeforeChange) return
    this.#recover(now)
    this.#answers += 1
    this.#total += slotMilliseconds
    this.#smallest = Math.min(this.#smallest, slotMilliseconds)
    if (this.#answers >= ROUND_ANSWERS) this.#judgeRound(now)
  }

  /** The server refused a statement because its own queue is full. */
  recordBusy(inFlight: number, now: Milliseconds): void {
    if (now < this.#changedAt + this.#roundTrip) return
    const before = this.#trial.kind === 'none' ? this.#exact : this.#trial.from
    this.#recoversTo = Math.max(this.#recoversTo, Math.min(this.#slots, before))
    this.#trial = NO_TRIAL
    this.#change(Math.min(this.#exact, inFlight) * REFUSAL_FACTOR, now)
  }

  /** While little is in flight, latencies are those of the unloaded server. */
  #recordLightUse(latency: number, inFlight: number, now: Milliseconds): void {
    if (inFlight > Math.min(this.#slots, this.#exact) * PROBE_FACTOR) return
    this.#lightAnswers += 1
    this.#lightSmallest = Math.min(this.#lightSmallest, latency)
    if (this.#lightAnswers < ROUND_ANSWERS) return
    this.#unloaded.record(this.#lightSmallest, now)
    this.#lightAnswers = 0
    this.#lightSmallest = Number.POSITIVE_INFINITY
  }

  #recover(now: Milliseconds): void {
    if (this.#trial.kind !== 'none' || this.#exact >= this.#recoversTo) return
    if (now < this.#changedAt + RECOVERY_MILLISECONDS) return
    this.#change(Math.min(this.#exact + 1, this.#recoversTo), now)
  }

  #judgeRound(now: Milliseconds): void {
    const mean = this.#total / this.#answers
    this.#minima.push(this.#smallest)
    this.#startRound()
    if (this.#trial.kind === 'none') this.#adjust(mean, now)
    else if (this.#minima.length >= ROUNDS_TO_SHRINK) this.#judgeTrial(this.#trial, now)
  }

  #judgeTrial(trial: Exclude<Trial, { kind: 'none' }>, now: Milliseconds): void {
    const smallest = Math.min(...this.#minima)
    this.#trial = NO_TRIAL
    if (trial.kind === 'probing') {
      this.#unloaded.restart(smallest, now)
      this.#roundsToSkip = ROUNDS_AFTER_PROBE
      this.#change(trial.from, now)
      return
    }
    const excess = trial.smallest - this.#unloaded.value
    if (trial.smallest - smallest < excess * MIN_RELIEF_SHARE) this.#probe(trial.from, now)
    else this.#minima = []
  }

  #probe(from: number, now: Milliseconds): void {
    this.#trial = { kind: 'probing', from }
    this.#change(from * PROBE_FACTOR, now)
  }

  #adjust(mean: number, now: Milliseconds): void {
    if (this.#unloaded.isStale(now)) {
      this.#probe(this.#exact, now)
      return
    }
    const smallest = Math.min(...this.#minima)
    const queued = (this.#exact * Math.max(0, smallest - this.#unloaded.value)) / mean
    const mayShrink = this.#roundsToSkip === 0
    this.#roundsToSkip = Math.max(0, this.#roundsToSkip - 1)
    if (queued <= SHRINKS_ABOVE_QUEUED || !mayShrink) {
      this.#unloaded.record(smallest, now)
      this.#minima = []
    }
    if (queued < GROWS_BELOW_QUEUED) {
      const step = this.#exact < this.#slots ? GROWTH_STEP_BELOW_SLOTS : GROWTH_STEP
      this.#exact = Math.min(this.#maximum, this.#exact + step)
    } else if (this.#minima.length >= ROUNDS_TO_SHRINK) {
      this.#trial = { kind: 'shrunk', from: this.#exact, smallest }
      this.#recoversTo = 0
      const step = Math.min(queued / 2, this.#exact * MAX_SHRINK_SHARE)
      this.#change(this.#exact - Math.max(1, step), now)
    }
  }

  #change(value: number, now: Milliseconds): void {
    this.#exact = Math.max(1, Math.min(this.#maximum, value))
    this.#changedAt = now
    this.#minima = []
    this.#startRound()
  }

  #startRound(): void {
    this.#answers = 0
    this.#total = 0
    this.#smallest = Number.POSITIVE_INFINITY
  }
}
