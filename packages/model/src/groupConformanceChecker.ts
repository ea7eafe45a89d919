/** Simulates the backend servers of the group specification and checks the steps of FailoverCore against it. */
import { logOffset, term } from '@nutmegcourse/shared'
import type { GroupRecord, PositionReport } from '@nutmegcourse/protocol'
import type { FailoverEffect, FailoverMessage } from '@nutmegcourse/coordination'

import { findViolation } from './groupInvariants.js'
import { observe } from './groupObservers.js'
import { applyStep, type GroupStep } from './groupSpecification.js'
import {
  SERVERS,
  initialState,
  positionOf,
  type AttemptState,
  type GroupState,
} from './groupState.js'
import { applyFollow } from './serverRules.js'

export const SERVER_NAMES = Array.from({ length: SERVERS }, (_, index) => `server-${index}`)
const MAX_WRITES = 6

export type ServerEffect = Extract<
  FailoverEffect,
  { kind: 'askPosition' | 'fence' | 'promote' | 'follow' }
>

/** A fence that a server answered, by the indexes of the attempt and of the server. */
export interface FencePromise {
  readonly attempt: number
  readonly server: number
}

export class GroupConformanceChecker {
  /** Steps that the specification does not allow, and violated invariants. */
  readonly violations: string[] = []
  promotions = 0
  #state: GroupState = initialState({ attempts: 0, writes: 0, reads: false }, 'none')
  /** The latest fence call, by attempt and server; coordinators ignore answers to earlier calls. */
  readonly #awaitedCalls = new Map<string, number>()

  /** Updates the observers and checks the invariants. */
  checkInvariants(): void {
    this.#state = observe(this.#state, 'none')
    const violation = findViolation(this.#state, 'none')
    if (violation !== null) this.violations.push(violation)
  }

  /**
   * Checks that the specification allows the command when a coordinator sends it. The first fence of
   * a term adds the attempt; the first promotion takes the attempt's `choose` step.
   */
  checkEffect(effect: ServerEffect): void {
    const server = SERVER_NAMES.indexOf(effect.server)
    switch (effect.kind) {
      case 'askPosition':
        return
      case 'fence':
        if (this.attemptIndexOf(effect.term) === -1) this.#addAttempt(effect.term)
        this.#awaitedCalls.set(`${this.attemptIndexOf(effect.term)}-${server}`, effect.call)
        return
      case 'promote': {
        const attempt = this.attemptIndexOf(effect.term)
        const isRepeated = this.#state.attempts[attempt]?.chosenServer === server
        if (!isRepeated) this.#applyRequiredStep({ type: 'choose', attempt, server })
        return
      }
      case 'follow': {
        const known = this.#state.attempts[this.attemptIndexOf(effect.term)]
        const hasPrimary = effect.term === 1 || known?.isPromoted === true
        if (!hasPrimary)
          this.violations.push(`follow at term ${effect.term}, which has no promoted primary`)
        return
      }
    }
  }

  checkRecord(record: GroupRecord): void {
    const recorded = record.termStarts.at(-1)
    if (recorded === undefined) return
    const start = this.#state.termStarts.find(each => each.term === recorded.term)
    const { startsAfter } = recorded
    const isMatching =
      start?.startsAfter.term === startsAfter.term &&
      start.startsAfter.offset === startsAfter.offset
    // The record is announced in the same step as the promotion and may precede it.
    if (start !== undefined && !isMatching)
      this.violations.push(
        `recorded start of term ${recorded.term} differs from the chosen position`,
      )
  }

  /** Executes a command at a server by the specification's rules; false if the server refuses it. */
  executeCommand(effect: ServerEffect, server: number): boolean {
    const current = this.#state.servers[server] ?? fail('server index is out of range')
    switch (effect.kind) {
      case 'askPosition':
        return true
      case 'fence':
        if (current.fencedTerm > effect.term) return false
        this.#replaceServer(server, { ...current, fencedTerm: effect.term })
        return true
      case 'promote': {
        if (current.fencedTerm !== effect.term) return false
        if (current.primaryTerm === effect.term) return true
        this.#applyRequiredStep({ type: 'promote', attempt: this.attemptIndexOf(effect.term) })
        this.promotions += 1
        return true
      }
      case 'follow': {
        const following = applyFollow(current, effect.term)
        if (following !== null) this.#replaceServer(server, following)
        return following !== null
      }
    }
  }

  /** Records a fence promise when its coordinator receives the answer; it does not count earlier. */
  recordPromise({ attempt, server }: FencePromise, message: FailoverMessage): void {
    const known = this.#state.attempts[attempt]
    if (message.kind !== 'controlAnswered' || known?.chosenServer !== null) return
    if (this.#awaitedCalls.get(`${attempt}-${server}`) !== message.call) return
    const { position } = message.report
    const promises = known.promises.map((each, place) => (place === server ? position : each))
    const attempts = this.#state.attempts.map((each, place) =>
      place === attempt ? { ...known, promises } : each,
    )
    this.#state = { ...this.#state, attempts }
  }

  write(pick: number): void {
    if (this.#state.writes.length >= MAX_WRITES) return
    this.#state = applyStep(this.#state, { type: 'write', server: pick % SERVERS }) ?? this.#state
  }

  replicate(pick: number): void {
    this.#state =
      applyStep(this.#state, { type: 'replicate', server: pick % SERVERS }) ?? this.#state
  }

  report(index: number): PositionReport {
    const server = this.#state.servers[index] ?? fail('server index is out of range')
    const position = positionOf(server, 'none')
    return {
      role: server.primaryTerm > 0 ? 'primary' : 'replica',
      position: { term: term(position.term), offset: logOffset(position.offset) },
      fencedTerm: term(server.fencedTerm),
    }
  }

  attemptIndexOf(attemptTerm: number): number {
    return this.#state.attempts.findIndex(attempt => attempt.term === attemptTerm)
  }

  #applyRequiredStep(step: GroupStep): void {
    const next = applyStep(this.#state, step)
    if (next === null) this.violations.push(`step not allowed: ${JSON.stringify(step)}`)
    else this.#state = next
  }

  #addAttempt(ofTerm: number): void {
    const promises = SERVER_NAMES.map(() => null)
    const attempt: AttemptState = { term: ofTerm, promises, chosenServer: null, isPromoted: false }
    this.#state = { ...this.#state, attempts: [...this.#state.attempts, attempt] }
  }

  #replaceServer(index: number, server: GroupState['servers'][number]): void {
    const servers = this.#state.servers.map((each, place) => (place === index ? server : each))
    this.#state = { ...this.#state, servers }
  }
}

function fail(detail: string): never {
  throw new Error(detail)
}
