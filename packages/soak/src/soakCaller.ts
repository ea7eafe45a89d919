/** A caller that opens sessions at random hosts, sends statements and passes the answers to the checker. */
import { setTimeout as delay } from 'node:timers/promises'
import type { LogPosition, RandomSource } from '@nutmegcourse/shared'
import { pick } from '@nutmegcourse/stand-ins'
import { WireCaller, type WireAnswer } from '@nutmegcourse/platform/standIns'
import type { ConsistencyChecker, ReadRule } from './consistencyChecker.js'
import {
  BOUNDED_AGE_MILLISECONDS,
  GUARANTEES,
  databaseName,
  type Guarantee,
  type SoakFleet,
} from './soakFleet.js'

const THINK_MILLISECONDS = 20
const RECONNECT_MILLISECONDS = 50
const STATEMENTS_PER_SESSION = 25
/** A caller stops waiting for an answer after this time; the longest statement timeout of a route is 1 s. */
const ANSWER_TIMEOUT_MILLISECONDS = 8000
const WRITE_SHARE = 0.3
const TRANSACTION_SHARE = 0.2

interface Session {
  readonly wire: WireCaller
  readonly host: string
  readonly service: string
  readonly guarantee: Guarantee
  ownPosition: LogPosition | null
}

/** A statement without a successful answer. */
export interface UnsuccessfulStatement {
  readonly host: string
  /** `-` for a begin or a rollback. */
  readonly id: string
  /** The time from sending the statement to its answer or to the end of the wait. */
  readonly owedMilliseconds: number
  /** `closed`: the connection ended, or the wait timed out, before an answer arrived. */
  readonly answer: Exclude<WireAnswer, { kind: 'done' }>
  readonly at: string
}

export type OnUnsuccessfulStatement = (statement: UnsuccessfulStatement) => void

export class SoakCaller {
  readonly #name: string
  readonly #fleet: SoakFleet
  readonly #checker: ConsistencyChecker
  readonly #random: RandomSource
  readonly #onUnsuccessfulStatement: OnUnsuccessfulStatement
  #lastId = 0
  #isStopped = false

  constructor(
    name: string,
    fleet: SoakFleet,
    checker: ConsistencyChecker,
    random: RandomSource,
    onUnsuccessfulStatement: OnUnsuccessfulStatement,
  ) {
    this.#name = name
    this.#fleet = fleet
    this.#checker = checker
    this.#random = random
    this.#onUnsuccessfulStatement = onUnsuccessfulStatement
  }

  async run(): Promise<void> {
    while (!this.#isStopped) {
      const session = await this.#openRandomSession()
      if (session === null) await delay(RECONNECT_MILLISECONDS)
      else await this.#runSession(session)
    }
  }

  stop(): void {
    this.#isStopped = true
  }

  /** Sends a write to one host; returns whether it was acknowledged. */
  async writeAt(host: string, service: string): Promise<boolean> {
    const session = await this.#openSession(host, service, 'own')
    if (session === null) return false
    const isDone = await this.#write(session)
    session.wire.terminate()
    return isDone
  }

  #openRandomSession(): Promise<Session | null> {
    const host = pick(this.#fleet.hosts, this.#random).plan.name
    const { service } = pick(this.#fleet.groups, this.#random)
    return this.#openSession(host, service, pick(GUARANTEES, this.#random))
  }

  async #openSession(host: string, service: string, guarantee: Guarantee): Promise<Session | null> {
    const wire = new WireCaller(this.#fleet.callerPorts.get(host) ?? 0)
    const isAccepted = await this.#withTimeout(
      wire,
      wire.startSession(databaseName(service, guarantee)),
    )
    if (isAccepted === true) return { wire, host, service, guarantee, ownPosition: null }
    wire.destroy()
    return null
  }

  async #runSession(session: Session): Promise<void> {
    for (let count = 0; count < STATEMENTS_PER_SESSION; count += 1) {
      if (this.#isStopped || session.wire.isClosed) break
      const draw = this.#random.next()
      if (draw < TRANSACTION_SHARE) await this.#runTransaction(session)
      else if (draw < TRANSACTION_SHARE + WRITE_SHARE) await this.#write(session)
      else await this.#read(session)
      await delay(THINK_MILLISECONDS * 2 * this.#random.next())
    }
    session.wire.terminate()
  }

  async #read(session: Session): Promise<void> {
    const id = this.#nextId()
    const { service } = session
    const required = this.#checker.requiredPosition(
      service,
      readRuleOf(session.guarantee),
      session.ownPosition,
    )
    const answer = await this.#awaitAnswer(session, id, session.wire.read(id, 'a1'))
    if (answer.kind === 'done') this.#checker.checkRead(service, id, answer, required)
  }

  async #write(session: Session): Promise<boolean> {
    const id = this.#nextId()
    const answer = await this.#awaitAnswer(session, id, session.wire.write(id, 'a1', 'x'))
    return this.#recordOutcome(session, [id], answer)
  }

  /** Runs a transaction of one or two writes; some are rolled back, some are left open by a disconnect. */
  async #runTransaction(session: Session): Promise<void> {
    const { wire, service } = session
    const writes: string[] = []
    const begun = await this.#awaitAnswer(session, '-', wire.beginTransaction(this.#nextId()))
    if (begun.kind !== 'done') return
    const count = this.#random.next() < 0.5 ? 1 : 2
    for (let made = 0; made < count; made += 1) {
      const id = this.#nextId()
      const answer = await this.#awaitAnswer(session, id, wire.write(id, 'a1', 'x'))
      writes.push(id)
      // Until the commit is sent, no write of the transaction may take effect, whatever its answer was.
      if (answer.kind !== 'done') {
        this.#checker.recordNotApplied(service, writes)
        await this.#awaitAnswer(session, '-', wire.rollBack(this.#nextId()))
        return
      }
      await delay(THINK_MILLISECONDS * this.#random.next())
    }
    const draw = this.#random.next()
    if (draw < 0.1) {
      this.#checker.recordNotApplied(service, writes)
      wire.destroy()
    } else if (draw < 0.25) {
      this.#checker.recordNotApplied(service, writes)
      await this.#awaitAnswer(session, '-', wire.rollBack(this.#nextId()))
    } else {
      const id = this.#nextId()
      this.#recordOutcome(session, writes, await this.#awaitAnswer(session, id, wire.commit(id)))
    }
  }

  #recordOutcome(session: Session, ids: readonly string[], answer: WireAnswer): boolean {
    if (answer.kind === 'done') {
      session.ownPosition =
        this.#checker.recordAcknowledged(session.service, ids, answer.signature) ??
        session.ownPosition
      return true
    }
    if (answer.kind === 'notRun') this.#checker.recordNotApplied(session.service, ids)
    return false
  }

  async #awaitAnswer(
    session: Session,
    id: string,
    pending: Promise<WireAnswer>,
  ): Promise<WireAnswer> {
    const sentAt = performance.now()
    const answer = (await this.#withTimeout(session.wire, pending)) ?? { kind: 'closed' }
    const { counts } = this.#checker
    if (answer.kind === 'notRun') counts.notRun += 1
    if (answer.kind === 'unknown') counts.unknown += 1
    if (answer.kind === 'closed') counts.closed += 1
    if (answer.kind !== 'done') {
      const owedMilliseconds = Math.round((performance.now() - sentAt) * 10) / 10
      const at = new Date().toISOString()
      this.#onUnsuccessfulStatement({ host: session.host, id, owedMilliseconds, answer, at })
    }
    return answer
  }

  /** Returns null and closes the session if the answer does not arrive in time. */
  async #withTimeout<Value>(wire: WireCaller, pending: Promise<Value>): Promise<Value | null> {
    const timeout = new AbortController()
    const timedOut = delay(ANSWER_TIMEOUT_MILLISECONDS, null, { signal: timeout.signal }).catch(
      () => null,
    )
    const value = await Promise.race([pending, timedOut])
    timeout.abort()
    if (value === null) wire.destroy()
    return value
  }

  #nextId(): string {
    this.#lastId += 1
    const id = `${this.#name}-${String(this.#lastId)}`
    this.#checker.recordSent(id)
    return id
  }
}

function readRuleOf(guarantee: Guarantee): ReadRule {
  switch (guarantee) {
    case 'latest':
      return { kind: 'latest' }
    case 'bounded':
    case 'own':
      return { kind: guarantee, ageMilliseconds: BOUNDED_AGE_MILLISECONDS }
  }
}
