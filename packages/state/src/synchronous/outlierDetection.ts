/**
 * Detects backend servers of one service that fail, delay or drop what they are sent while they report themselves
 * ready, from the statements that this host sends to them. A server is judged against the others of the service, so
 * that a cause common to all of them, such as this host's own link, leaves none of them out.
 */
import { type BackendServerId, type Milliseconds } from '@nutmegcourse/shared'
import { EjectionTerm } from './ejectionTerm.js'
import {
  LATENCY_EXCESS_MILLISECONDS,
  isSlow,
  judge,
  usualLatency,
  type Verdict,
} from './outlierVerdict.js'
import { RecentOutcomes, combine, type OutcomeTotals } from './recentOutcomes.js'

/**
 * A server that has answered nothing since a statement was sent, for this long and for this many times the usual
 * latency of the others, hangs. Less than the tightest latency target leaves time for another server.
 */
const HANGING_MILLISECONDS = 400
/** The reads of a primary share its slots with other work. */
const HANGING_PRIMARY_MILLISECONDS = 1200
const HANGING_FACTOR = 8

/** `busy`: refused for its load; `overdue`: not answered in time; `notOpened`: no connection could be opened. */
export type ServerFailure = 'failed' | 'busy' | 'lost' | 'overdue' | 'notOpened'

/**
 * What a statement does. The primary runs other work than the replicas, so that its latency says nothing against it, and
 * statements that write, or hold locks, may wait for reasons outside of their server.
 */
export type SentWork = 'replicaRead' | 'primaryRead' | 'other'

/** A statement that was sent to a server. */
export interface SentStatement {
  readonly server: BackendServerId
  readonly sentAt: Milliseconds
  readonly work: SentWork
}

export type OutlierChange =
  | ({
      readonly kind: 'ejected'
      readonly server: BackendServerId
      readonly forMilliseconds: number
    } & Verdict)
  | {
      readonly kind: 'admitted'
      readonly server: BackendServerId
      readonly afterMilliseconds: number
    }

interface OpenStatement {
  /** Whether it tests an ejected server. */
  readonly isTest: boolean
  isHanging: boolean
}

interface ObservedServer {
  outcomes: RecentOutcomes
  readonly term: EjectionTerm
  /** When it last answered anything, a refusal included. */
  heardAt: number
}

export class OutlierDetection {
  readonly #servers = new Map<BackendServerId, ObservedServer>()
  /** Statements without an outcome, in the order in which they were sent. */
  readonly #open = new Map<SentStatement, OpenStatement>()
  readonly #serversInUse: (now: Milliseconds) => readonly BackendServerId[]
  readonly #onChange: (change: OutlierChange) => void

  /** `serversInUse`: those that may take work; at most half of them are left out. */
  constructor(
    serversInUse: (now: Milliseconds) => readonly BackendServerId[],
    onChange: (change: OutlierChange) => void,
  ) {
    this.#serversInUse = serversInUse
    this.#onChange = onChange
  }

  get ejectedCount(): number {
    return [...this.#servers.values()].filter(({ term }) => term.isEjected).length
  }

  isEjected(server: BackendServerId): boolean {
    return this.#servers.get(server)?.term.isEjected ?? false
  }

  /** Whether one statement may be sent to the ejected server in order to test it. */
  mayTest(server: BackendServerId, now: Milliseconds): boolean {
    return this.#servers.get(server)?.term.mayTest(now) ?? false
  }

  /** A statement was chosen to test the server; it is sent once it has a connection. */
  reserveTest(server: BackendServerId, now: Milliseconds): void {
    this.#servers.get(server)?.term.reserveTest(now)
  }

  noteSent(server: BackendServerId, work: SentWork, now: Milliseconds): SentStatement {
    const sent = { server, sentAt: now, work }
    const { term } = this.#observe(server)
    const isTest = term.isEjected && now >= term.countsFrom
    if (isTest) term.noteTestSent()
    this.#open.set(sent, { isTest, isHanging: false })
    return sent
  }

  recordAnswer(sent: SentStatement, now: Milliseconds): void {
    const observed = this.#noteHeard(sent, now)
    if (!this.#close(sent) || observed === undefined) return
    if (sent.sentAt < observed.term.countsFrom) return
    const latency = sent.work === 'replicaRead' ? now - sent.sentAt : null
    if (observed.term.isEjected) {
      const usual = usualLatency(this.#others(sent.server, now)) ?? Number.POSITIVE_INFINITY
      const isWell = latency === null || !isSlow(latency, usual)
      if (!isWell) observed.term.testFailed(now)
      else if (observed.term.testSucceeded(now)) this.#admit(sent.server, observed, now)
      return
    }
    observed.outcomes.recordAnswer(latency, now)
    if (latency !== null && latency >= LATENCY_EXCESS_MILLISECONDS) {
      this.#judge(sent.server, observed, now)
    }
  }

  recordFailure(sent: SentStatement, kind: ServerFailure, now: Milliseconds): void {
    if (kind === 'failed' || kind === 'busy') this.#noteHeard(sent, now)
    if (!this.#close(sent)) return
    // A statement that was sent late has too little time left for a well server.
    if (kind === 'overdue' && now - sent.sentAt < HANGING_MILLISECONDS) return
    this.#countFailure(sent.server, sent.sentAt, kind, now)
  }

  /** The statement ended in a way that tells nothing, as when a replica lacks the log position that it needs. */
  recordNeither(sent: SentStatement, now: Milliseconds): void {
    this.#noteHeard(sent, now)
    this.#close(sent)
  }

  recordNotOpened(server: BackendServerId, now: Milliseconds): void {
    this.#countFailure(server, now, 'notOpened', now)
  }

  /** Notices servers that hang: the deadlines of their statements may be seconds away. */
  tick(now: Milliseconds): void {
    for (const [sent, open] of this.#open) {
      if (now - sent.sentAt < HANGING_MILLISECONDS) return
      if (open.isHanging || !this.#hangs(sent, now)) continue
      open.isHanging = true
      if (open.isTest) this.#close(sent)
      this.#countFailure(sent.server, sent.sentAt, 'hanging', now)
    }
  }

  #hangs({ server, sentAt, work }: SentStatement, now: Milliseconds): boolean {
    if (work === 'other' || this.#observe(server).heardAt >= sentAt) return false
    const least = work === 'replicaRead' ? HANGING_MILLISECONDS : HANGING_PRIMARY_MILLISECONDS
    const usual = usualLatency(this.#others(server, now)) ?? 0
    return now - sentAt >= Math.max(least, usual * HANGING_FACTOR)
  }

  /** After a stall of this process, open statements tell nothing: their answers may lie there unread. */
  discardOpen(): void {
    for (const sent of this.#open.keys()) this.#close(sent)
  }

  forget(server: BackendServerId): void {
    for (const sent of this.#open.keys()) if (sent.server === server) this.#open.delete(sent)
    this.#servers.delete(server)
  }

  /** Undefined if the server was forgotten meanwhile. */
  #noteHeard({ server }: SentStatement, now: Milliseconds): ObservedServer | undefined {
    const observed = this.#servers.get(server)
    if (observed !== undefined) observed.heardAt = now
    return observed
  }

  /** False if it was closed before. */
  #close(sent: SentStatement): boolean {
    const isTest = this.#open.get(sent)?.isTest === true
    if (isTest) this.#servers.get(sent.server)?.term.noteTestEnded()
    return this.#open.delete(sent)
  }

  #countFailure(
    server: BackendServerId,
    sentAt: Milliseconds,
    kind: ServerFailure | 'hanging',
    now: Milliseconds,
  ): void {
    const observed = this.#observe(server)
    if (sentAt < observed.term.countsFrom) return
    if (observed.term.isEjected) {
      observed.term.testFailed(now)
      return
    }
    observed.outcomes.recordFailure(isCountedApart(kind) ? kind : 'failed', now)
    this.#judge(server, observed, now)
  }

  #judge(server: BackendServerId, observed: ObservedServer, now: Milliseconds): void {
    if (!this.#mayEject(server, now)) return
    const { outcomes, term } = observed
    const others = this.#others(server, now)
    const verdict = judge({ run: outcomes.run, own: outcomes.totals(now), others })
    if (verdict === null) return
    observed.outcomes = new RecentOutcomes()
    this.#onChange({ kind: 'ejected', server, forMilliseconds: term.begin(now), ...verdict })
  }

  /** At most half are left out, so that the others can carry their work; of one or two, one stays. */
  #mayEject(server: BackendServerId, now: Milliseconds): boolean {
    const inUse = this.#serversInUse(now)
    const ejected = inUse.filter(each => each !== server && this.isEjected(each))
    return inUse.includes(server) && ejected.length + 1 <= Math.floor(inUse.length / 2)
  }

  #admit(server: BackendServerId, observed: ObservedServer, now: Milliseconds): void {
    const afterMilliseconds = observed.term.end(now)
    this.#onChange({ kind: 'admitted', server, afterMilliseconds })
  }

  /** The servers that are in use and not left out, without the given one. */
  #others(server: BackendServerId, now: Milliseconds): OutcomeTotals {
    const others = this.#serversInUse(now).filter(each => each !== server && !this.isEjected(each))
    return combine(others.map(each => this.#observe(each).outcomes.totals(now)))
  }

  #observe(server: BackendServerId): ObservedServer {
    const known = this.#servers.get(server)
    if (known !== undefined) return known
    const added = {
      outcomes: new RecentOutcomes(),
      term: new EjectionTerm(),
      heardAt: Number.NEGATIVE_INFINITY,
    }
    this.#servers.set(server, added)
    return added
  }
}

const isCountedApart = (kind: ServerFailure | 'hanging'): kind is 'busy' | 'hanging' =>
  kind === 'busy' || kind === 'hanging'
