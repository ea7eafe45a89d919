/** Measures decisions per second of one core that always has connections available. */
import { className, requestId, sessionId } from '@nutmegcourse/shared'
import type { ProxyMessage } from '@nutmegcourse/state'
import { BENCH_DATABASE, BENCH_SERVERS, BenchCore, benchClass } from './benchCore.js'

export interface DecisionRate {
  readonly what: string
  /** Rate of placing requests, from their arrival to the `run` effect. */
  readonly decisionsPerSecond: number
  /** Rate including the message that the request has run, which frees its connection. */
  readonly requestsPerSecond: number
}

const CLASSES = [
  benchClass('browse', { replicaReadShare: 0.9 }),
  benchClass('primary_read', {}),
  benchClass('assign', { access: 'write', idempotent: false }),
]
/** Requests between two readings of the real clock. */
const BATCH = 2000

export function measureDecisions(seconds: number): readonly DecisionRate[] {
  return [
    measure('read, bound session, replicas', 'browse', seconds),
    measure('read, bound session, primary', 'primary_read', seconds),
    measure('write, confirmed 50 at a time', 'assign', seconds),
  ]
}

function measure(what: string, workClass: string, seconds: number): DecisionRate {
  const bench = new BenchCore(CLASSES)
  bench.start()
  for (const name of BENCH_SERVERS) bench.reportPosition(name, 1, bench.clock.now())
  const run = new RateRun(bench, workClass)
  run.batch()
  run.reset()
  const end = performance.now() + seconds * 1000
  while (performance.now() < end) run.batch()
  return { what, ...run.rates() }
}

class RateRun {
  readonly #bench: BenchCore
  readonly #isWrite: boolean
  /** Created in advance, so that the cost of creating messages is not attributed to the core. */
  readonly #arrivals: readonly ProxyMessage[]
  #offset = 1
  #requests = 0
  #placingMilliseconds = 0
  #totalMilliseconds = 0

  constructor(bench: BenchCore, workClass: string) {
    this.#bench = bench
    this.#isWrite = workClass === 'assign'
    this.#arrivals = Array.from({ length: BATCH }, (_, index) => ({
      kind: 'requestArrived',
      request: requestId(`r${index}`),
      session: sessionId('s'),
      roams: false,
      database: BENCH_DATABASE,
      class: className(workClass),
    }))
  }

  reset(): void {
    this.#requests = 0
    this.#placingMilliseconds = 0
    this.#totalMilliseconds = 0
  }

  rates(): Omit<DecisionRate, 'what'> {
    return {
      decisionsPerSecond: Math.round((this.#requests / this.#placingMilliseconds) * 1000),
      requestsPerSecond: Math.round((this.#requests / this.#totalMilliseconds) * 1000),
    }
  }

  /** Repeatedly places a group of requests and then completes all of them. */
  batch(): void {
    const group = 50
    for (let start = 0; start < BATCH; start += group) {
      const started = performance.now()
      const placed = this.#place(start, group)
      const placedAt = performance.now()
      if (placed < group) this.#advanceClock()
      this.#finish(start, group)
      this.#requests += group
      this.#placingMilliseconds += placedAt - started
      this.#totalMilliseconds += performance.now() - started
    }
  }

  #place(start: number, count: number): number {
    const now = this.#bench.clock.now()
    let placed = 0
    for (const arrival of this.#arrivals.slice(start, start + count)) {
      const effects = this.#bench.core.handle(arrival, now)
      if (effects[0]?.kind === 'run') placed += 1
      else this.#openConnections(effects)
    }
    return placed
  }

  /**
   * Follows a group in which some requests were not placed at once, as at the start of a run, when
   * connections have yet to be opened.
   */
  #advanceClock(): void {
    this.#bench.clock.advance(1)
  }

  #openConnections(effects: ReturnType<BenchCore['send']>): void {
    for (const effect of effects) {
      if (effect.kind !== 'open') continue
      this.#bench.send({ kind: 'connectionOpened', connection: effect.connection })
    }
  }

  #finish(start: number, count: number): void {
    for (let index = start; index < start + count; index += 1) {
      this.#offset += 1
      this.#bench.completeRequest(`r${index}`, this.#isWrite ? this.#offset : null)
    }
    if (!this.#isWrite) return
    this.#bench.clock.advance(2)
    this.#bench.send({ kind: 'tick' })
    for (const name of BENCH_SERVERS) {
      this.#bench.reportPosition(name, this.#offset, this.#bench.clock.now())
    }
  }
}
