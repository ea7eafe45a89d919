/** Simulates one proxy core under constant load in virtual time, with replicas of a fixed lag. */
import TinyQueue from 'tinyqueue'
import { SeededRandom, assertNever, requestId, sessionId, className } from '@nutmegcourse/shared'
import type { ClassTargets } from '@nutmegcourse/protocol'
import type { ProxyEffect } from '@nutmegcourse/state'
import {
  BENCH_DATABASE,
  BENCH_SERVERS,
  BenchCore,
  type BenchPlace,
  type BenchServer,
} from './benchCore.js'

/** How a proxy learns what a session has written through any proxy. */
export type SessionTracking =
  /** The caller sends its last position with the request. */
  | 'token'
  /**
   * An entry host chosen by the session's hash keeps the last position, which costs a round trip
   * before each request.
   */
  | 'holder'
  /** The positions of a majority, queried after each read arrives. */
  | 'boundPerArrival'

export interface LoadShape {
  readonly place: BenchPlace
  readonly classTargets: ClassTargets
  readonly sessions: SessionTracking
  /** Replication lag of the replica in the primary's region, and of the one in the other region. */
  readonly nearLagMilliseconds: number
  readonly farLagMilliseconds: number
  readonly readsPerSecond: number
  readonly writesPerSecond: number
  readonly seconds: number
}

export interface LoadOutcome {
  readonly replicaShare: number
  readonly latencyP50: number
  readonly latencyP99: number
  readonly refused: number
  /** All messages between regions, including those of position queries and writes, per read. */
  readonly linkMessagesPerRead: number
}

const WRITE_CLASS = 'assign'
const SERVICE_MILLISECONDS = 0.5
/** One-way delays of the Atlas Quai deployment. */
const IN_ZONE_MILLISECONDS = 0.1
const BETWEEN_ZONES_MILLISECONDS = 1.5
const BETWEEN_REGIONS_MILLISECONDS = 20
const WARM_UP_MILLISECONDS = 2000

interface ScheduledEvent {
  readonly at: number
  readonly order: number
  readonly action: () => void
}

export class VirtualLoad {
  readonly #shape: LoadShape
  readonly #bench: BenchCore
  readonly #random = new SeededRandom(7)
  readonly #events = new TinyQueue<ScheduledEvent>(
    [],
    (left, right) => left.at - right.at || left.order - right.order,
  )
  readonly #arrivedAt = new Map<string, number>()
  readonly #commits: number[] = []
  readonly #latencies: number[] = []
  #order = 0
  #replicaReads = 0
  #refused = 0
  #linkMessages = 0
  #wakeAt = Number.POSITIVE_INFINITY

  constructor(shape: LoadShape) {
    this.#shape = shape
    const write: ClassTargets = {
      ...shape.classTargets,
      name: className(WRITE_CLASS),
      access: 'write',
      idempotent: false,
      replicaReadShare: 0,
    }
    this.#bench = new BenchCore([shape.classTargets, write], shape.place, effects => {
      this.#executeEffects(effects)
    })
  }

  run(): LoadOutcome {
    const { readsPerSecond, writesPerSecond, seconds } = this.#shape
    this.#bench.start()
    this.#scheduleArrivals('read', readsPerSecond)
    this.#scheduleArrivals('write', writesPerSecond)
    const end = WARM_UP_MILLISECONDS + seconds * 1000
    for (;;) {
      const next = this.#events.pop()
      if (next === undefined || next.at > end) break
      this.#bench.clock.advance(Math.max(next.at - this.#now(), 0))
      next.action()
    }
    return this.#outcome()
  }

  #outcome(): LoadOutcome {
    const sorted = this.#latencies.sort((left, right) => left - right)
    const at = (part: number): number => round(sorted[Math.floor(sorted.length * part)] ?? 0)
    const reads = sorted.length + this.#refused
    return {
      replicaShare: round(this.#replicaReads / Math.max(sorted.length, 1)),
      latencyP50: at(0.5),
      latencyP99: at(0.99),
      refused: this.#refused,
      linkMessagesPerRead: round(this.#linkMessages / Math.max(reads, 1)),
    }
  }

  #scheduleArrivals(kind: 'read' | 'write', perSecond: number): void {
    if (perSecond === 0) return
    const gap = (-Math.log(1 - this.#random.next()) / perSecond) * 1000
    this.#schedule(gap, () => {
      this.#arrive(kind)
      this.#scheduleArrivals(kind, perSecond)
    })
  }

  #arrive(kind: 'read' | 'write'): void {
    this.#order += 1
    const id = `${kind}-${this.#order}`
    this.#arrivedAt.set(id, this.#now())
    const workClass = kind === 'read' ? this.#shape.classTargets.name : className(WRITE_CLASS)
    // With 16 sessions, the last write before a read is mostly from another session.
    const session = sessionId(`s${Math.floor(this.#random.next() * 16)}`)
    const { sessions } = this.#shape
    const send = (): void => {
      this.#bench.send({
        kind: 'requestArrived',
        request: requestId(id),
        session,
        roams: sessions === 'boundPerArrival',
        database: BENCH_DATABASE,
        class: workClass,
      })
    }
    if (sessions === 'holder') this.#queryHolder(send)
    else send()
  }

  /** Holders are distributed evenly over the zones, like entry hosts. */
  #queryHolder(then: () => void): void {
    const zone = BENCH_SERVERS[Math.floor(this.#random.next() * BENCH_SERVERS.length)] ?? 'a'
    this.#schedule(2 * this.#delayTo(zone), then)
  }

  #executeEffects(effects: readonly ProxyEffect[]): void {
    for (const effect of effects) {
      switch (effect.kind) {
        case 'open':
          this.#schedule(10, () => {
            this.#bench.send({ kind: 'connectionOpened', connection: effect.connection })
          })
          break
        case 'askPosition':
          this.#answerPosition(effect.server as string as BenchServer)
          break
        case 'run':
          this.#runRequest(effect.request, effect.server as string as BenchServer)
          break
        case 'refuse':
          if (effect.request.startsWith('read') && this.#isMeasured()) this.#refused += 1
          break
        case 'acknowledge':
        case 'close':
        case 'count':
        case 'reportHealth':
        case 'stopped':
        case 'writesHeld':
          break
        default:
          assertNever(effect)
      }
    }
    this.#scheduleWake()
  }

  #answerPosition(server: BenchServer): void {
    const askedAt = this.#now()
    const delay = this.#delayTo(server)
    this.#schedule(delay, () => {
      const offset = this.#offsetOf(server)
      this.#schedule(delay, () => {
        this.#bench.reportPosition(server, offset, askedAt)
      })
    })
  }

  #runRequest(request: string, server: BenchServer): void {
    const delay = this.#delayTo(server)
    const isWrite = request.startsWith('write')
    this.#schedule(delay + SERVICE_MILLISECONDS, () => {
      if (isWrite) this.#commits.push(this.#now())
      const offset = isWrite ? this.#commits.length : null
      this.#schedule(delay, () => {
        if (!isWrite) this.#recordRead(request, server)
        this.#bench.completeRequest(request, offset)
      })
    })
  }

  #recordRead(request: string, server: BenchServer): void {
    if (!this.#isMeasured()) return
    this.#latencies.push(this.#now() - (this.#arrivedAt.get(request) ?? 0))
    if (server !== 'a') this.#replicaReads += 1
  }

  /** Number of writes that the server has; a replica has those older than its lag. */
  #offsetOf(server: BenchServer): number {
    if (server === 'a') return this.#commits.length
    const { nearLagMilliseconds, farLagMilliseconds } = this.#shape
    const before = this.#now() - (server === 'b' ? nearLagMilliseconds : farLagMilliseconds)
    let held = this.#commits.length
    while (held > 0 && (this.#commits[held - 1] ?? 0) > before) held -= 1
    return held
  }

  /** One-way delay. Counts the request and its answer if they pass between regions. */
  #delayTo(server: BenchServer): number {
    const isFar = (server === 'c') !== (this.#shape.place === 'far')
    if (isFar && this.#isMeasured()) this.#linkMessages += 2
    if (isFar) return BETWEEN_REGIONS_MILLISECONDS
    const isSameZone = server === (this.#shape.place === 'far' ? 'c' : 'a')
    return isSameZone ? IN_ZONE_MILLISECONDS : BETWEEN_ZONES_MILLISECONDS
  }

  #scheduleWake(): void {
    const wake = this.#bench.core.nextWake(this.#bench.clock.now())
    if (wake === null || wake >= this.#wakeAt) return
    this.#wakeAt = wake
    this.#schedule(Math.max(wake - this.#now(), 0.05), () => {
      if (this.#wakeAt !== wake) return
      this.#wakeAt = Number.POSITIVE_INFINITY
      this.#bench.send({ kind: 'tick' })
    })
  }

  #isMeasured(): boolean {
    return this.#now() >= WARM_UP_MILLISECONDS
  }

  #schedule(delay: number, action: () => void): void {
    this.#order += 1
    this.#events.push({ at: this.#now() + delay, order: this.#order, action })
  }

  #now(): number {
    return this.#bench.clock.now()
  }
}

const round = (value: number): number => Math.round(value * 1000) / 1000
