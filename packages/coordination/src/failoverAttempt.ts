/**
 * One attempt at a change of primary: fences a majority at its own term, chooses a leader and
 * promotes it.
 *
 * Safety depends on the backend servers alone. The term belongs to this attempt only. A server that
 * is fenced at a term promises it, as an acceptor promises a Paxos ballot, and can be promoted only
 * while that is the newest term it has promised. A coordinator that stalled between two steps
 * therefore finds its term refused. Once a majority is fenced at the later of two concurrent
 * attempts, a primary that the earlier one still promotes cannot have writes confirmed by a majority.
 */
import {
  addMilliseconds,
  assertNever,
  milliseconds,
  type BackendServerId,
  type Milliseconds,
  type Term,
} from '@nutmegcourse/shared'
import type { ListedBackendServer, PositionReport } from '@nutmegcourse/protocol'

import { chooseLeader, type Candidate, type LeaderPreferences } from './failoverChoice.js'
import type { CallId, ControlFailure } from './failoverMessages.js'
import type { FailoverOptions } from './failoverOptions.js'
import type { FailoverEffectQueue } from './failoverEffectQueue.js'

export interface AttemptPlan {
  readonly term: Term
  readonly servers: readonly ListedBackendServer[]
  /** The number of servers that must be fenced before a leader is chosen. */
  readonly majority: number
  readonly preferences: LeaderPreferences
  /** Servers to wait for, up to the call timeout, even after a majority has been fenced. */
  readonly awaited: readonly BackendServerId[]
}

export type AttemptResult =
  | { readonly kind: 'none' }
  | { readonly kind: 'chosen'; readonly candidate: Candidate; readonly fenced: number }
  | { readonly kind: 'promoted'; readonly leader: BackendServerId }
  /** The term is outdated, the chosen server is gone, or the attempt timed out. */
  | { readonly kind: 'failed'; readonly detail: string }

interface PendingCall {
  readonly step: 'fence' | 'promote'
  readonly server: BackendServerId
  readonly call: CallId
  readonly expiresAt: Milliseconds
}

interface ScheduledRetry {
  readonly step: 'fence' | 'promote'
  readonly server: BackendServerId
  readonly at: Milliseconds
}

const NO_RESULT: AttemptResult = { kind: 'none' }
/** Added to a call's own timeout, so that the agent's report of the failure normally arrives first. */
const CALL_TIMEOUT_MARGIN_MILLISECONDS = 100

export class FailoverAttempt {
  readonly #plan: AttemptPlan
  readonly #options: FailoverOptions
  readonly #effects: FailoverEffectQueue
  readonly #startedAt: Milliseconds
  readonly #fenced = new Map<BackendServerId, Candidate>()
  #calls: readonly PendingCall[] = []
  #retries: readonly ScheduledRetry[] = []
  #chosen: Candidate | null = null

  constructor(
    plan: AttemptPlan,
    options: FailoverOptions,
    effects: FailoverEffectQueue,
    now: Milliseconds,
  ) {
    this.#plan = plan
    this.#options = options
    this.#effects = effects
    this.#startedAt = now
    for (const server of plan.servers) this.#send('fence', server.id, now)
  }

  get term(): Term {
    return this.#plan.term
  }

  get chosen(): BackendServerId | null {
    return this.#chosen?.server.id ?? null
  }

  answered(call: CallId, report: PositionReport, now: Milliseconds): AttemptResult {
    const pending = this.#takeCall(call)
    if (pending === null) return NO_RESULT
    switch (pending.step) {
      case 'fence':
        this.#noteFenced(pending.server, report)
        return this.#choose(now)
      case 'promote':
        return this.#checkPromotion(pending.server, report)
      default:
        return assertNever(pending.step)
    }
  }

  failed(call: CallId, failure: ControlFailure, now: Milliseconds): AttemptResult {
    const pending = this.#takeCall(call)
    if (pending === null) return NO_RESULT
    if (failure === 'staleTerm') {
      return { kind: 'failed', detail: `${pending.server} is fenced at a newer term` }
    }
    if (pending.step === 'promote' && failure === 'refused') {
      return {
        kind: 'failed',
        detail: `${pending.server} refused the connection before its promotion`,
      }
    }
    const wait = failure === 'timeout' ? 0 : this.#options.callRetryMilliseconds
    const at = addMilliseconds(now, wait)
    this.#retries = [...this.#retries, { step: pending.step, server: pending.server, at }]
    this.#sendDue(now)
    return NO_RESULT
  }

  /** Confirms a promotion from a polled position, in case the promotion's own answer was lost. */
  observed(server: BackendServerId, report: PositionReport): AttemptResult {
    return server === this.chosen ? this.#checkPromotion(server, report) : NO_RESULT
  }

  advance(now: Milliseconds): AttemptResult {
    for (const call of this.#calls.filter(call => now >= call.expiresAt)) {
      this.#takeCall(call.call)
      this.#retries = [...this.#retries, { step: call.step, server: call.server, at: now }]
    }
    this.#sendDue(now)
    if (now - this.#startedAt >= this.#options.attemptMilliseconds) {
      return { kind: 'failed', detail: this.#describeTimeout() }
    }
    return this.#choose(now)
  }

  nextWake(): Milliseconds {
    const times = [
      addMilliseconds(this.#startedAt, this.#options.attemptMilliseconds),
      ...this.#calls.map(call => call.expiresAt),
      ...this.#retries.map(retry => retry.at),
    ]
    if (this.#chosen === null && this.#hasMajority()) times.push(this.#awaitedUntil())
    return milliseconds(Math.min(...times))
  }

  #noteFenced(server: BackendServerId, report: PositionReport): void {
    // A server that has promised a newer term does not count towards the majority of this one.
    if (report.fencedTerm !== this.#plan.term) return
    const listed = this.#plan.servers.find(candidate => candidate.id === server)
    if (listed !== undefined)
      this.#fenced.set(server, { server: listed, position: report.position })
  }

  #choose(now: Milliseconds): AttemptResult {
    if (this.#chosen !== null || !this.#hasMajority()) return NO_RESULT
    const isComplete = this.#plan.awaited.every(server => this.#fenced.has(server))
    if (!isComplete && now < this.#awaitedUntil()) return NO_RESULT
    const candidate = chooseLeader([...this.#fenced.values()], this.#plan.preferences)
    if (candidate === null) return NO_RESULT
    this.#chosen = candidate
    this.#send('promote', candidate.server.id, now)
    return { kind: 'chosen', candidate, fenced: this.#fenced.size }
  }

  #checkPromotion(server: BackendServerId, report: PositionReport): AttemptResult {
    const { term } = this.#plan
    if (report.fencedTerm > term) {
      return { kind: 'failed', detail: `${server} is fenced at a newer term` }
    }
    const leads = report.role === 'primary' && report.position.term === term
    return leads ? { kind: 'promoted', leader: server } : NO_RESULT
  }

  #hasMajority(): boolean {
    return this.#fenced.size >= this.#plan.majority
  }

  #awaitedUntil(): Milliseconds {
    return addMilliseconds(this.#startedAt, this.#options.callTimeoutMilliseconds)
  }

  #sendDue(now: Milliseconds): void {
    const due = this.#retries.filter(retry => now >= retry.at)
    this.#retries = this.#retries.filter(retry => now < retry.at)
    for (const retry of due) this.#send(retry.step, retry.server, now)
  }

  #send(step: 'fence' | 'promote', server: BackendServerId, now: Milliseconds): void {
    const call = this.#effects.nextCallId()
    const timeoutMilliseconds = this.#options.callTimeoutMilliseconds
    const expiresAt = addMilliseconds(now, timeoutMilliseconds + CALL_TIMEOUT_MARGIN_MILLISECONDS)
    this.#calls = [...this.#calls, { step, server, call, expiresAt }]
    this.#effects.emit({ kind: step, call, server, term: this.#plan.term, timeoutMilliseconds })
  }

  #takeCall(call: CallId): PendingCall | null {
    const found = this.#calls.find(candidate => candidate.call === call) ?? null
    this.#calls = this.#calls.filter(candidate => candidate !== found)
    return found
  }

  #describeTimeout(): string {
    if (this.#chosen !== null) return `${this.#chosen.server.id} did not answer its promotion`
    return `only ${this.#fenced.size} of ${this.#plan.servers.length} servers were fenced`
  }
}
