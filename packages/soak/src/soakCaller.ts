/** One caller: opens sessions at random hosts, asks, and tells the judge what it was told. */
import { setTimeout as delay } from 'node:timers/promises'
import type { LogPosition, RandomSource } from '@nutmegcourse/shared'
import { pick } from '@nutmegcourse/stand-ins'
import { WireCaller, type WireAnswer } from '@nutmegcourse/platform/standIns'
import type { PromiseJudge, ReadRule } from './promiseJudge.js'
import {
  BOUNDED_AGE_MILLISECONDS,
  GUARANTEES,
  databaseName,
  type Guarantee,
  type SoakWorld,
} from './soakWorld.js'

const THINK_MILLISECONDS = 20
const RECONNECT_MILLISECONDS = 50
const STATEMENTS_A_SESSION = 25
/** A caller gives up on an answer; the longest time limit of a route is a second. */
const PATIENCE_MILLISECONDS = 8000
const WRITE_PART = 0.3
const TRANSACTION_PART = 0.2

interface Session {
  readonly wire: WireCaller
  readonly host: string
  readonly service: string
  readonly guarantee: Guarantee
  own: LogPosition | null
}

/** A statement that got no ordinary answer. */
export interface ToldStatement {
  readonly host: string
  /** `-` for one that changes only the session. */
  readonly id: string
  readonly owedMilliseconds: number
  /** `closed`: the connection ended in place of an answer. */
  readonly answer: Exclude<WireAnswer, { kind: 'done' }>
  readonly at: string
}

export type OnTold = (told: ToldStatement) => void

export class SoakCaller {
  readonly #name: string
  readonly #world: SoakWorld
  readonly #judge: PromiseJudge
  readonly #random: RandomSource
  readonly #onTold: OnTold
  #lastId = 0
  #isOver = false

  constructor(
    name: string,
    world: SoakWorld,
    judge: PromiseJudge,
    random: RandomSource,
    onTold: OnTold,
  ) {
    this.#name = name
    this.#world = world
    this.#judge = judge
    this.#random = random
    this.#onTold = onTold
  }

  async run(): Promise<void> {
    while (!this.#isOver) {
      const session = await this.#connect()
      if (session === null) await delay(RECONNECT_MILLISECONDS)
      else await this.#use(session)
    }
  }

  stop(): void {
    this.#isOver = true
  }

  /** A write at one host; whether it was acknowledged. */
  async writeAt(host: string, service: string): Promise<boolean> {
    const session = await this.#open(host, service, 'own')
    if (session === null) return false
    const isDone = await this.#write(session)
    session.wire.leave()
    return isDone
  }

  #connect(): Promise<Session | null> {
    const host = pick(this.#world.hosts, this.#random).plan.name
    const { service } = pick(this.#world.groups, this.#random)
    return this.#open(host, service, pick(GUARANTEES, this.#random))
  }

  async #open(host: string, service: string, guarantee: Guarantee): Promise<Session | null> {
    const wire = new WireCaller(this.#world.callerPorts.get(host) ?? 0)
    const isTaken = await this.#patiently(wire, wire.begin(databaseName(service, guarantee)))
    if (isTaken === true) return { wire, host, service, guarantee, own: null }
    wire.destroy()
    return null
  }

  async #use(session: Session): Promise<void> {
    for (let count = 0; count < STATEMENTS_A_SESSION; count += 1) {
      if (this.#isOver || session.wire.isClosed) break
      const draw = this.#random.next()
      if (draw < TRANSACTION_PART) await this.#transact(session)
      else if (draw < TRANSACTION_PART + WRITE_PART) await this.#write(session)
      else await this.#read(session)
      await delay(THINK_MILLISECONDS * 2 * this.#random.next())
    }
    session.wire.leave()
  }

  async #read(session: Session): Promise<void> {
    const id = this.#nextId()
    const { service } = session
    const required = this.#judge.required(service, ruleOf(session.guarantee), session.own)
    const answer = await this.#ask(session, id, session.wire.read(id, 'a1'))
    if (answer.kind === 'done') this.#judge.readAnswered(service, id, answer, required)
  }

  async #write(session: Session): Promise<boolean> {
    const id = this.#nextId()
    const answer = await this.#ask(session, id, session.wire.write(id, 'a1', 'x'))
    return this.#settle(session, [id], answer)
  }

  /** A transaction of one or two writes that now and then rolls back, or is left open by a caller that goes. */
  async #transact(session: Session): Promise<void> {
    const { wire, service } = session
    const writes: string[] = []
    const begun = await this.#ask(session, '-', wire.beginTransaction(this.#nextId()))
    if (begun.kind !== 'done') return
    const count = this.#random.next() < 0.5 ? 1 : 2
    for (let made = 0; made < count; made += 1) {
      const id = this.#nextId()
      const answer = await this.#ask(session, id, wire.write(id, 'a1', 'x'))
      writes.push(id)
      // Before its commit was asked for, nothing of a transaction may be kept, whatever became of it.
      if (answer.kind !== 'done') {
        this.#judge.notKept(service, writes)
        await this.#ask(session, '-', wire.rollBack(this.#nextId()))
        return
      }
      await delay(THINK_MILLISECONDS * this.#random.next())
    }
    const draw = this.#random.next()
    if (draw < 0.1) {
      this.#judge.notKept(service, writes)
      wire.destroy()
    } else if (draw < 0.25) {
      this.#judge.notKept(service, writes)
      await this.#ask(session, '-', wire.rollBack(this.#nextId()))
    } else {
      const id = this.#nextId()
      this.#settle(session, writes, await this.#ask(session, id, wire.commit(id)))
    }
  }

  #settle(session: Session, ids: readonly string[], answer: WireAnswer): boolean {
    if (answer.kind === 'done') {
      session.own = this.#judge.acknowledged(session.service, ids, answer.signature) ?? session.own
      return true
    }
    if (answer.kind === 'notRun') this.#judge.notKept(session.service, ids)
    return false
  }

  async #ask(session: Session, id: string, asked: Promise<WireAnswer>): Promise<WireAnswer> {
    const askedAt = performance.now()
    const answer = (await this.#patiently(session.wire, asked)) ?? { kind: 'closed' }
    const { counts } = this.#judge
    if (answer.kind === 'notRun') counts.notRun += 1
    if (answer.kind === 'unknown') counts.unknown += 1
    if (answer.kind === 'closed') counts.closed += 1
    if (answer.kind !== 'done') {
      const owedMilliseconds = Math.round((performance.now() - askedAt) * 10) / 10
      const at = new Date().toISOString()
      this.#onTold({ host: session.host, id, owedMilliseconds, answer, at })
    }
    return answer
  }

  /** Null when the answer does not come in time; the session is given up then. */
  async #patiently<Value>(wire: WireCaller, asked: Promise<Value>): Promise<Value | null> {
    const patience = new AbortController()
    const late = delay(PATIENCE_MILLISECONDS, null, { signal: patience.signal }).catch(() => null)
    const value = await Promise.race([asked, late])
    patience.abort()
    if (value === null) wire.destroy()
    return value
  }

  #nextId(): string {
    this.#lastId += 1
    const id = `${this.#name}-${String(this.#lastId)}`
    this.#judge.sent(id)
    return id
  }
}

function ruleOf(guarantee: Guarantee): ReadRule {
  switch (guarantee) {
    case 'latest':
      return { kind: 'latest' }
    case 'bounded':
    case 'own':
      return { kind: guarantee, age: BOUNDED_AGE_MILLISECONDS }
  }
}
