/**
 * Generates load through all proxies of a deployment until it is stopped, and records each
 * operation.
 */
import { setTimeout as delay } from 'node:timers/promises'
import {
  SeededRandom,
  sessionId,
  SystemClock,
  type Milliseconds,
  type RandomSource,
} from '@nutmegcourse/shared'
import type { Deployment } from '../deployment/deployment.js'
import type { PlannedDatabase } from '../deployment/plan.js'
import { LOOPBACK } from '../deployment/platform.js'
import type { Operation } from './operation.js'
import { ProbePool } from './probePool.js'
import { SessionCaller, type ProxyAddress } from './sessionCaller.js'

export interface CallerLoadOptions {
  readonly sessionsPerDatabase: number
  /** Pause between two requests of a session. */
  readonly thinkMilliseconds: number
  readonly seed: number
  readonly writeClass: string
  readonly readClass: string
  /**
   * Interval of probe writes, sent whether or not earlier ones were answered. Absent: no probes.
   */
  readonly probeMilliseconds?: number
  /** Part of the session ids, which distinguishes the records of several loads. */
  readonly name?: string
}

const CONNECT_TIMEOUT_MILLISECONDS = 3000
const PAUSE_AFTER_REFUSAL_MILLISECONDS = 50
const MAX_PAUSE_MILLISECONDS = 500
/**
 * Requests that are unanswered this long after the stop are abandoned; their outcome is unknown.
 */
const STOP_TIMEOUT_MILLISECONDS = 10_000
const EVENT_SHARE = 0.4
const COUNTER_SHARE = 0.3

export class CallerLoad {
  readonly #clock = new SystemClock()
  readonly #options: CallerLoadOptions
  readonly #operations: Operation[] = []
  readonly #callers: SessionCaller[] = []
  readonly #loops: Promise<void>[] = []
  #stopping = false

  private constructor(options: CallerLoadOptions) {
    this.#options = options
  }

  /**
   * Half of the sessions connect to all proxies and pick one for each request; the others use a
   * single proxy each.
   */
  static start(deployment: Deployment, options: CallerLoadOptions): CallerLoad {
    const load = new CallerLoad(options)
    const proxies = deployment.plan.entryHosts.map(host => ({
      address: LOOPBACK,
      port: host.proxyPort,
    }))
    let seed = options.seed
    for (const database of deployment.plan.databases) {
      for (let index = 0; index < options.sessionsPerDatabase; index += 1) {
        const fixedProxy = proxies.filter((_, at) => at === index % proxies.length)
        const used = index % 2 === 0 ? proxies : fixedProxy
        load.#startSession(database, `${options.name ?? 'session'}-${index}`, used, seed)
        seed += 1
      }
      load.#startProbe(database, proxies)
    }
    return load
  }

  get operations(): readonly Operation[] {
    return this.#operations
  }

  now(): Milliseconds {
    return this.#clock.now()
  }

  async stop(): Promise<readonly Operation[]> {
    this.#stopping = true
    const timeout = new AbortController()
    const finished = Promise.all(this.#loops)
    await Promise.race([
      finished,
      delay(STOP_TIMEOUT_MILLISECONDS, undefined, { signal: timeout.signal }),
    ])
    timeout.abort()
    await Promise.all(this.#callers.map(caller => caller.close()))
    await finished
    return this.#operations
  }

  #startSession(
    database: PlannedDatabase,
    name: string,
    proxies: readonly ProxyAddress[],
    seed: number,
  ): void {
    const random = new SeededRandom(seed)
    const caller = this.#newCaller(database, name, proxies, random)
    this.#loops.push(this.#run(caller, random))
  }

  /** Probes do not wait for each other, so that they show when writes succeed again. */
  #startProbe(database: PlannedDatabase, proxies: readonly ProxyAddress[]): void {
    const interval = this.#options.probeMilliseconds
    if (interval === undefined) return
    const pools = proxies.map(proxy => {
      const make = (index: number): SessionCaller =>
        this.#newCaller(database, `probe-${proxy.port}-${index}`, [proxy], new SeededRandom(index))
      return new ProbePool(make)
    })
    this.#loops.push(this.#probe(pools, interval))
  }

  async #probe(pools: readonly ProbePool[], interval: number): Promise<void> {
    const running = new Set<Promise<void>>()
    for (let turn = 0; !this.#stopping; turn += 1) {
      const probe = this.#probeOnce(pools[turn % pools.length]).finally(() => running.delete(probe))
      running.add(probe)
      await delay(interval)
    }
    await Promise.all(running)
  }

  async #probeOnce(pool: ProbePool | undefined): Promise<void> {
    const caller = pool?.acquire() ?? null
    if (pool === undefined || caller === null) return
    this.#operations.push(await caller.writeEvent(this.#options.writeClass))
    pool.release(caller)
  }

  #newCaller(
    database: PlannedDatabase,
    name: string,
    proxies: readonly ProxyAddress[],
    random: RandomSource,
  ): SessionCaller {
    const caller = new SessionCaller(
      {
        proxies,
        database: database.id,
        session: sessionId(`${database.id}-${name}`),
        user: 'caller',
        connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      },
      this.#clock,
      random,
    )
    this.#callers.push(caller)
    return caller
  }

  async #run(caller: SessionCaller, random: RandomSource): Promise<void> {
    while (!this.#stopping) {
      const operation = await this.#next(caller, random.next())
      this.#operations.push(operation)
      await delay(this.#pauseAfter(operation))
    }
  }

  #next(caller: SessionCaller, draw: number): Promise<Operation> {
    const { writeClass, readClass } = this.#options
    if (draw < EVENT_SHARE) return caller.writeEvent(writeClass)
    if (draw < EVENT_SHARE + COUNTER_SHARE) return caller.raiseCounter(writeClass)
    return caller.readCounter(readClass)
  }

  #pauseAfter({ outcome }: Operation): number {
    if (outcome.kind === 'acknowledged') return this.#options.thinkMilliseconds
    const wanted = outcome.kind === 'notRun' ? outcome.retryAfterMilliseconds : null
    return Math.min(wanted ?? PAUSE_AFTER_REFUSAL_MILLISECONDS, MAX_PAUSE_MILLISECONDS)
  }
}
