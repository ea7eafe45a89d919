/**
 * Opens connections to one backend server, each for one customer, and tracks the outcome: whether the server is full
 * or refuses connections, and how long opening takes.
 *
 * @internal
 */
import {
  addMilliseconds,
  jittered,
  milliseconds,
  type CustomerName,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { BackendAddress, BackendLink, LinkFailure } from '@nutmegcourse/protocol'
import { ServiceEstimate } from '@nutmegcourse/state'
import type { HostContext } from './hostContext.js'
import { logUnfitAnswer } from './unfitAnswers.js'
import { OVERDUE, withDeadline } from './waiting.js'

/** A server that accepts a connection does so within tens of milliseconds, also from another region. */
const OPEN_TIMEOUT_MILLISECONDS = 1000

/** Delay after a full server rejected a connection; other hosts usually release some within this time. */
const FULL_BACKOFF_MILLISECONDS = 60

/** How long after such a rejection this host opens no more than one connection at a time. */
const FULL_MEMORY_MILLISECONDS = 1000

/**
 * Upper limit of the wait that is forecast and reported to callers while a full server admits no connection; other
 * hosts release theirs sooner.
 */
const MAXIMUM_DENIAL_MILLISECONDS = 1000

/** Delay after a refused connection, within which a restarted server is found again. */
const REFUSED_BACKOFF_MILLISECONDS = 80

/** Why no connection was opened. */
export type OpenFailure = 'full' | 'unreachable'

/** Receives the opened connections and the failures. */
export interface ConnectionReceiver {
  /** Number of open connections. */
  readonly held: number
  /** Number of requests that wait for a connection. */
  readonly waiting: number
  opened(link: BackendLink, customer: CustomerName | null): void
  failedToOpen(failure: OpenFailure): void
}

export class ConnectionOpener {
  readonly #context: HostContext
  readonly #address: BackendAddress
  readonly #receiver: ConnectionReceiver
  /** Number of connections that are being opened, by customer. */
  readonly #opening = new Map<CustomerName | null, number>()
  readonly #openingTimes = new ServiceEstimate()
  #mayOpenAt = milliseconds(0)
  #fullAt = milliseconds(Number.NEGATIVE_INFINITY)
  /** Since when the server has been full while this host holds no connection to it. */
  #deniedSince: Milliseconds | null = null
  /** Number of consecutive refused connections. */
  refusals = 0

  constructor(context: HostContext, address: BackendAddress, receiver: ConnectionReceiver) {
    this.#context = context
    this.#address = address
    this.#receiver = receiver
  }

  /** Number of connections that are being opened. */
  get openingCount(): number {
    let total = 0
    for (const count of this.#opening.values()) total += count
    return total
  }

  /** Number of connections that are being opened, by customer. */
  get openingByCustomer(): ReadonlyMap<CustomerName | null, number> {
    return this.#opening
  }

  /** Estimated time that opening a connection takes. */
  get usualMilliseconds(): number {
    return this.#openingTimes.at(this.#context.clock.now())
  }

  /**
   * Whether the server was full recently. Then only one connection at a time is requested, because many hosts compete
   * for the few that it has.
   */
  get wasFull(): boolean {
    return this.#context.clock.now() < addMilliseconds(this.#fullAt, FULL_MEMORY_MILLISECONDS)
  }

  /** Whether the delay after the last failure has passed. */
  get mayOpen(): boolean {
    return this.#context.clock.now() >= this.#mayOpenAt
  }

  /**
   * For how long the full server has admitted no connection of this host at all. The queue does not move meanwhile, and
   * the condition is likely to last as long again: without this forecast, queued requests waited until their deadline,
   * 0.9 s, and were then refused.
   */
  get deniedMilliseconds(): number {
    if (this.#deniedSince === null || !this.wasFull) return 0
    const denied = this.#context.clock.now() - this.#deniedSince
    return Math.min(denied, MAXIMUM_DENIAL_MILLISECONDS)
  }

  async open(customer: CustomerName | null): Promise<void> {
    this.#countOpening(customer, 1)
    const { clock, dialer } = this.#context
    const startedAt = clock.now()
    const { link, opened } = dialer.open(this.#address, customer)
    const result = await withDeadline(
      opened,
      addMilliseconds(startedAt, OPEN_TIMEOUT_MILLISECONDS),
      clock,
    )
    this.#countOpening(customer, -1)
    if (result === OVERDUE) {
      link.close()
      this.#failed({ kind: 'connectionLost' })
      return
    }
    if (result.isErr()) {
      this.#failed(result.error)
      return
    }
    this.refusals = 0
    this.#deniedSince = null
    this.#openingTimes.record(clock.now() - startedAt, clock.now())
    this.#receiver.opened(link, customer)
  }

  #countOpening(customer: CustomerName | null, change: 1 | -1): void {
    const count = (this.#opening.get(customer) ?? 0) + change
    if (count === 0) this.#opening.delete(customer)
    else this.#opening.set(customer, count)
  }

  #failed(failure: LinkFailure): void {
    const { log, clock, random } = this.#context
    const { held, waiting } = this.#receiver
    const isFull = failure.kind === 'rejected' && failure.refusal === 'tooManyConnections'
    if (failure.kind === 'connectionRefused') this.refusals += 1
    if (isFull) this.#recordFull(clock.now())
    const span = isFull ? FULL_BACKOFF_MILLISECONDS : REFUSED_BACKOFF_MILLISECONDS
    this.#mayOpenAt = addMilliseconds(clock.now(), jittered(span, random))
    const { server, service } = this.#address
    logUnfitAnswer(this.#context, this.#address, failure)
    log.write('connection_not_opened', { server, service, ...failure, waiting, held })
    this.#receiver.failedToOpen(isFull ? 'full' : 'unreachable')
  }

  #recordFull(now: Milliseconds): void {
    if (!this.wasFull) this.#deniedSince = null
    if (this.#receiver.held === 0) this.#deniedSince ??= now
    this.#fullAt = now
  }
}
