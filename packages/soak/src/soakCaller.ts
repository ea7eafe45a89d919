/** A caller that opens sessions at random hosts, sends statements and passes the answers to the checker. */
import { setTimeout as delay } from 'node:timers/promises'
import type { LogPosition, RandomSource } from '@nutmegcourse/shared'
import { pick } from '@nutmegcourse/stand-ins'
import { WireCaller, type WireAnswer } from '@nutmegcourse/platform/standIns'
import { readRuleOf, type ConsistencyChecker } from './consistencyChecker.js'
import type { AnswerChecker } from './answerChecker.js'
import { databaseName, type Guarantee } from './guarantees.js'
import { keyOf, type CallerHabits } from './hardLoad.js'
import { hostileData } from './hostileContents.js'
import type { SoakCallerOptions } from './soakCallerOptions.js'
import type { SoakFleet } from './soakFleet.js'

const RECONNECT_MILLISECONDS = 50
const STATEMENTS_PER_SESSION = 25
/** Of the callers whose answers are compared, this share of sessions goes on until the host ends it. */
const ENDLESS_SESSION_SHARE = 0.5
/** The share of their statements that set a value and run a prepared statement. */
const PREPARED_SHARE = 0.15
const PREPARED_NAME = 'p1'
const SESSION_VALUE = 'v1'
/** A caller stops waiting for an answer after this time; the longest statement timeout of a route is 1 s. */
const ANSWER_TIMEOUT_MILLISECONDS = 8000

interface Session {
  readonly wire: WireCaller
  readonly host: string
  readonly service: string
  readonly guarantee: Guarantee
  ownPosition: LogPosition | null
  /** The session values, as a server reports them. */
  values: string
}

export class SoakCaller {
  readonly #name: string
  readonly #fleet: SoakFleet
  readonly #checker: ConsistencyChecker
  readonly #random: RandomSource
  readonly #habits: CallerHabits
  readonly #options: SoakCallerOptions
  readonly #answers: AnswerChecker | null
  #lastId = 0
  /** Inside the open transaction, since its last statement. */
  #restedMilliseconds = 0
  /** For how long the last refusal told it to stay away. */
  #retryAfterMilliseconds = 0
  #isStopped = false

  constructor(options: SoakCallerOptions) {
    this.#options = options
    this.#answers = options.answers ?? null
    this.#name = options.name
    this.#fleet = options.fleet
    this.#checker = options.checker
    this.#random = options.random
    this.#habits = options.habits
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
    return this.#openSession(host, service, pick(this.#habits.guarantees, this.#random))
  }

  async #openSession(host: string, service: string, guarantee: Guarantee): Promise<Session | null> {
    const wire = new WireCaller(this.#fleet.callerPorts.get(host) ?? 0)
    wire.onUnsolicited = text => {
      this.#answers?.checkUnsolicited(`${this.#name} at ${host}`, text)
    }
    const { customer } = this.#habits
    const key = customer === null ? undefined : keyOf(customer)
    const isAccepted = await this.#withTimeout(
      wire,
      wire.startSession(databaseName(service, guarantee), key),
    )
    if (isAccepted === true)
      return { wire, host, service, guarantee, ownPosition: null, values: '' }
    wire.destroy()
    return null
  }

  async #runSession(session: Session): Promise<void> {
    const { transactionShare, writeShare, thinkMilliseconds } = this.#habits
    const isEndless = this.#answers !== null && this.#random.next() < ENDLESS_SESSION_SHARE
    for (let count = 0; isEndless || count < STATEMENTS_PER_SESSION; count += 1) {
      if (this.#isStopped || session.wire.isClosed) break
      if (this.#answers !== null && this.#random.next() < PREPARED_SHARE) {
        await this.#runPrepared(session)
        continue
      }
      const draw = this.#random.next()
      if (draw < transactionShare) await this.#runTransaction(session)
      else if (draw < transactionShare + writeShare) await this.#write(session)
      else await this.#read(session)
      const thinking = thinkMilliseconds * 2 * this.#random.next()
      await delay(Math.max(thinking, this.#retryAfterMilliseconds))
      this.#retryAfterMilliseconds = 0
    }
    session.wire.terminate()
  }

  async #read(session: Session): Promise<void> {
    await this.#readWith(session, this.#nextId(), 'READ a1')
  }

  async #readWith(
    session: Session,
    id: string,
    text: string,
    shape: string | null = null,
  ): Promise<void> {
    const { service } = session
    const required = this.#checker.requiredPosition(
      service,
      readRuleOf(session.guarantee),
      session.ownPosition,
    )
    const answer = await this.#send(session, id, text, true, shape)
    if (answer.kind === 'done') this.#checker.checkRead(service, id, answer, required)
  }

  async #write(session: Session): Promise<boolean> {
    const id = this.#nextId()
    const answer = await this.#send(session, id, `WRITE a1 ${this.#data(id)}`)
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
      const answer = await this.#send(session, id, `WRITE a1 ${this.#data(id)}`)
      writes.push(id)
      // Until the commit is sent, no write of the transaction may take effect, whatever its answer was.
      if (answer.kind !== 'done') {
        this.#checker.recordNotApplied(service, writes)
        await this.#awaitAnswer(session, '-', wire.rollBack(this.#nextId()))
        return
      }
      await this.#rest()
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
      this.#recordOutcome(session, writes, await this.#send(session, id, 'COMMIT'))
    }
  }

  /** Sets a value, prepares a statement under a name that it has had before, and runs it once. */
  async #runPrepared(session: Session): Promise<void> {
    const { wire } = session
    const id = this.#nextId()
    const isRead = this.#random.next() < 0.5
    const value = hostileData(id, this.#random)
    const shape = `shape-${id}`
    const effect = isRead ? 'READ' : 'WRITE'
    for (const text of [
      `SET ${SESSION_VALUE} ${value}`,
      `PREPARE ${PREPARED_NAME} ${effect} ${shape}`,
    ]) {
      const answer = await this.#awaitAnswer(session, '-', wire.ask(this.#nextId(), text))
      if (answer.kind !== 'done') {
        wire.destroy()
        return
      }
    }
    session.values = `${SESSION_VALUE}=${value}`
    const argument = isRead ? 'a1' : `a1 ${this.#data(id)}`
    if (isRead) await this.#readWith(session, id, argument, shape)
    else this.#recordOutcome(session, [id], await this.#send(session, id, argument, false, shape))
    await this.#awaitAnswer(session, '-', wire.ask(this.#nextId(), `CLOSE ${PREPARED_NAME}`))
  }

  /** Callers whose answers are not compared draw nothing, so that recorded seeds stay as they are. */
  #data(id: string): string {
    return this.#answers === null ? 'x' : hostileData(id, this.#random)
  }

  /** Sends a read, write or commit; with a shape, as the prepared statement of that shape. */
  #send(
    session: Session,
    id: string,
    text: string,
    isRead = false,
    shape: string | null = null,
  ): Promise<WireAnswer> {
    const sent = shape === null ? text : `EXECUTE ${PREPARED_NAME} ${text}`
    const known = shape === null ? text : `EXECUTE ${shape} ${text}`
    this.#answers?.recordSent({ id, text: known, values: session.values })
    return this.#awaitAnswer(session, id, session.wire.ask(id, sent), isRead)
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

  async #rest(): Promise<void> {
    const { restMilliseconds, thinkMilliseconds } = this.#habits
    const span =
      restMilliseconds.length === 0
        ? thinkMilliseconds * this.#random.next()
        : pick(restMilliseconds, this.#random)
    this.#restedMilliseconds = span
    await delay(span)
  }

  /** `id` is `-` for what the host answers itself. */
  async #awaitAnswer(
    session: Session,
    id: string,
    pending: Promise<WireAnswer>,
    isRead = false,
  ): Promise<WireAnswer> {
    const sentAt = performance.now()
    const restedMilliseconds = this.#restedMilliseconds
    this.#restedMilliseconds = 0
    const answer = (await this.#withTimeout(session.wire, pending)) ?? { kind: 'closed' }
    this.#answers?.recordEnded(id)
    if (answer.kind === 'done') {
      if (id === '-') this.#answers?.checkOwnAnswer(this.#name, answer)
      else this.#answers?.checkAnswer(id, answer)
    }
    if (id !== '-') this.#reportEnded(session, id, isRead, sentAt, answer)
    const { counts } = this.#checker
    if (answer.kind === 'notRun') counts.notRun += 1
    if (answer.kind === 'unknown') counts.unknown += 1
    if (answer.kind === 'closed') counts.closed += 1
    if (answer.kind !== 'done') {
      const owedMilliseconds = Math.round((performance.now() - sentAt) * 10) / 10
      const at = new Date().toISOString()
      this.#options.onUnsuccessfulStatement?.({
        host: session.host,
        service: session.service,
        id,
        owedMilliseconds,
        answer,
        restedMilliseconds,
        at,
      })
    }
    return answer
  }

  #reportEnded(
    { host, service, guarantee }: Session,
    id: string,
    isRead: boolean,
    sentAt: number,
    answer: WireAnswer,
  ): void {
    if (this.#habits.heedsRetryAdvice && answer.kind === 'notRun') {
      this.#retryAfterMilliseconds = retryAdviceOf(answer.detail)
    }
    const needsPrimary = !isRead || guarantee === 'latest'
    this.#options.onEndedStatement?.({
      id,
      service,
      guarantee,
      customer: this.#habits.customer,
      place: needsPrimary ? 'primary' : (this.#fleet.regions.get(host) ?? host),
      sentAt,
      endedAt: performance.now(),
      answer,
    })
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

const retryAdviceOf = (detail: string): number =>
  Number(/ retry_after_ms=(\d+)/.exec(detail)?.[1] ?? 0)
