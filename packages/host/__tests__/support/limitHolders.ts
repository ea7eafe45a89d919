/** Test fixture: the holders of one customer's limit and hosts that ask them, on a virtual clock, without network. */
import { mock } from 'node:test'
import { VirtualClock, customerName } from '@nutmegcourse/shared'
import type { LimitTolerance, OperationLimit } from '@nutmegcourse/protocol'
import { CustomerLimits, type Admission } from '../../src/customerLimits.js'
import type { HostContext } from '../../src/hostContext.js'
import { LimitGranter, type GrantAnswer, type GrantRequest } from '../../src/limitGranter.js'

export const TOLERANCE: LimitTolerance = { windowMilliseconds: 5000, overage: 0.1, slack: 20 }
export const CUSTOMER = customerName('alfa')
const HOLDERS = ['h1', 'h2', 'h3', 'h4', 'h5']
const LINK_MILLISECONDS = 3

/**
 * Timers on the virtual clock. With those of node:test a tick never ends if one of its timers starts an immediate, as a
 * read timeout does.
 */
class VirtualTimers {
  readonly #clock: VirtualClock
  #timers: { readonly at: number; readonly action: () => void }[] = []

  constructor(clock: VirtualClock) {
    this.#clock = clock
    const start = (action: () => void, span = 0) => {
      const timer = { at: clock.now() + span, action }
      this.#timers.push(timer)
      return timer
    }
    const clear = (timer: unknown): void => {
      this.#timers = this.#timers.filter(each => each !== timer)
    }
    mock.method(globalThis, 'setTimeout', start as unknown as typeof setTimeout)
    mock.method(globalThis, 'setImmediate', start as unknown as typeof setImmediate)
    mock.method(globalThis, 'clearTimeout', clear)
  }

  get nextAt(): number {
    return Math.min(...this.#timers.map(({ at }) => at))
  }

  runDue(): void {
    const now = this.#clock.now()
    for (;;) {
      const due = this.#timers.find(({ at }) => at <= now)
      if (due === undefined) return
      this.#timers.splice(this.#timers.indexOf(due), 1)
      due.action()
    }
  }
}

const wait = (span: number): Promise<void> => new Promise(resolve => setTimeout(resolve, span))

export class LimitHolders {
  readonly clock = new VirtualClock()
  readonly #timers = new VirtualTimers(this.clock)
  readonly #granters = new Map<string, LimitGranter>()
  readonly events: string[] = []
  /** Holders that receive requests and do not answer. */
  readonly silent = new Set<string>()
  /** Holders that answer late, and by how much. */
  readonly lateMilliseconds = new Map<string, number>()
  /** Holders to which connections are known to be down. */
  readonly down = new Set<string>()
  /** Holders of a version that knows nothing of tokens ahead. */
  areOlder = false
  calls = 0
  limit: OperationLimit | null
  /** The limit that holders still know, while hosts know a newer one; null if there is no difference. */
  olderLimit: OperationLimit | null = null

  constructor(limit: OperationLimit) {
    this.limit = limit
    for (const name of HOLDERS) this.restart(name)
  }

  restart(name: string): void {
    const granter = new LimitGranter(this.#context(name), {
      ...this.#plan(),
      limitOf: () => this.olderLimit ?? this.limit,
    })
    granter.joined()
    this.#granters.set(name, granter)
  }

  host(name: string): CustomerLimits {
    const noPart = { answer: (): GrantAnswer => ({ kind: 'declined' }) }
    const peer = (holder: string) => ({
      isUp: !this.down.has(holder),
      askGrant: (request: GrantRequest, timeout: number) => this.#ask(holder, request, timeout),
    })
    return new CustomerLimits(this.#context(name), noPart, { ...this.#plan(), peer })
  }

  /** Lets time pass; promises that are settled by then have run. */
  async pass(span: number): Promise<void> {
    const end = this.clock.now() + span
    await settled()
    for (;;) {
      const next = Math.min(end, this.#timers.nextAt)
      this.clock.advance(Math.max(0, next - this.clock.now()))
      this.#timers.runDue()
      await settled()
      if (this.clock.now() >= end && this.#timers.nextAt > end) return
    }
  }

  #plan() {
    return { limitOf: () => this.limit, limitHolders: () => HOLDERS }
  }

  async #ask(holder: string, request: GrantRequest, timeout: number): Promise<GrantAnswer | null> {
    this.calls += 1
    if (this.silent.has(holder)) {
      await wait(timeout)
      return null
    }
    await wait(LINK_MILLISECONDS)
    const { customer } = request
    const understood = this.areOlder ? { customer } : request
    const answer = this.#granters.get(holder)?.answer(understood) ?? null
    await wait(LINK_MILLISECONDS + (this.lateMilliseconds.get(holder) ?? 0))
    return answer
  }

  #context(entryHost: string): HostContext {
    const log = { write: (event: string) => this.events.push(event) }
    const settings = {
      entryHost,
      schedulesSlots: true,
      limitTolerance: TOLERANCE,
      configurationMilliseconds: 0,
    }
    return { clock: this.clock, log, settings } as unknown as HostContext
  }
}

export interface Served {
  readonly admissions: Admission[]
  /** When each admitted operation was admitted. */
  readonly admittedAt: number[]
  readonly waits: number[]
}

/** Sends operations at even distances to one host after the other. */
export async function sendOperations(
  holders: LimitHolders,
  hosts: readonly CustomerLimits[],
  { perSecond, seconds }: { readonly perSecond: number; readonly seconds: number },
): Promise<Served> {
  const served: Served = { admissions: [], admittedAt: [], waits: [] }
  for (let count = 0; count < perSecond * seconds; count += 1) {
    const sentAt = holders.clock.now()
    void hosts[count % hosts.length]?.admit(CUSTOMER).then(admission => {
      served.admissions.push(admission)
      served.waits.push(holders.clock.now() - sentAt)
      if (admission.kind === 'admitted') served.admittedAt.push(holders.clock.now())
    })
    await holders.pass(1000 / perSecond)
  }
  await holders.pass(1000)
  return served
}

const startImmediate = setImmediate

/** Resolves once all promises that are settled by now have run. */
const settled = (): Promise<void> => new Promise(resolve => startImmediate(resolve))
