/**
 * Opens connections to one backend server, one customer's at a time, and remembers how the server took it: whether it
 * is full, refuses, or takes long.
 *
 * @internal
 */
import {
  addMilliseconds,
  drawnApart,
  milliseconds,
  type CustomerName,
  type Milliseconds,
} from '@nutmegcourse/shared'
import type { BackendAddress, BackendLink, LinkFailure } from '@nutmegcourse/protocol'
import { ServiceEstimate } from '@nutmegcourse/state'
import type { HostContext } from './hostContext.js'
import { OVERDUE, within } from './waiting.js'

/** A server that takes a connection does so within tens of milliseconds, past the link too. */
const OPEN_LIMIT_MILLISECONDS = 1000

/** After a refusal for want of connections; others give theirs back within about this time. */
const FULL_PAUSE_MILLISECONDS = 60

/** For so long after such a refusal this host asks for no more than one at a time. */
const FULL_CAUTION_MILLISECONDS = 1000

/** The wait that is forecast, and told, where no connection has come for longer; hosts give theirs back sooner. */
const LONGEST_DENIAL_MILLISECONDS = 1000

/** After a refused connection. A server that starts again is found within this time. */
const REFUSED_PAUSE_MILLISECONDS = 80

/** Why no connection came. */
export type OpenFailure = 'full' | 'unreachable'

/** Whoever holds the connections. */
export interface ConnectionHolder {
  /** Connections that it has. */
  readonly held: number
  /** Statements that wait for one. */
  readonly waiting: number
  opened(link: BackendLink, customer: CustomerName | null): void
  failedToOpen(failure: OpenFailure): void
}

export class ConnectionOpener {
  readonly #context: HostContext
  readonly #address: BackendAddress
  readonly #holder: ConnectionHolder
  /** Connections that are being opened, by customer. */
  readonly #opening = new Map<CustomerName | null, number>()
  readonly #spans = new ServiceEstimate()
  #mayOpenAt = milliseconds(0)
  #fullAt = milliseconds(Number.NEGATIVE_INFINITY)
  /** Since when it has been full while this host holds no connection to it. */
  #deniedSince: Milliseconds | null = null
  /** Refused connections in a row. */
  refusals = 0

  constructor(context: HostContext, address: BackendAddress, holder: ConnectionHolder) {
    this.#context = context
    this.#address = address
    this.#holder = holder
  }

  /** Connections that are being opened. */
  get count(): number {
    let count = 0
    for (const each of this.#opening.values()) count += each
    return count
  }

  /** The same by customer. */
  get byCustomer(): ReadonlyMap<CustomerName | null, number> {
    return this.#opening
  }

  /** What opening one has taken lately. */
  get usualMilliseconds(): number {
    return this.#spans.at(this.#context.clock.now())
  }

  /** A server that was full is asked for one connection at a time: many hosts want the few it has. */
  get wasFull(): boolean {
    return this.#context.clock.now() < addMilliseconds(this.#fullAt, FULL_CAUTION_MILLISECONDS)
  }

  /** Whether a failure lies far enough back. */
  get mayOpen(): boolean {
    return this.#context.clock.now() >= this.#mayOpenAt
  }

  /**
   * For how long the full server has given this host no connection at all. No line moves here then, and it
   * may well last as long again: work that joined it waited to the end of its time, 0.9 s, in vain.
   */
  get deniedMilliseconds(): number {
    if (this.#deniedSince === null || !this.wasFull) return 0
    const denied = this.#context.clock.now() - this.#deniedSince
    return Math.min(denied, LONGEST_DENIAL_MILLISECONDS)
  }

  async open(customer: CustomerName | null): Promise<void> {
    this.#note(customer, 1)
    const { clock, dialer } = this.#context
    const askedAt = clock.now()
    const { link, opened } = dialer.open(this.#address, customer)
    const result = await within(opened, addMilliseconds(askedAt, OPEN_LIMIT_MILLISECONDS), clock)
    this.#note(customer, -1)
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
    this.#spans.record(clock.now() - askedAt, clock.now())
    this.#holder.opened(link, customer)
  }

  #note(customer: CustomerName | null, change: 1 | -1): void {
    const count = (this.#opening.get(customer) ?? 0) + change
    if (count === 0) this.#opening.delete(customer)
    else this.#opening.set(customer, count)
  }

  #failed(failure: LinkFailure): void {
    const { log, clock, random } = this.#context
    const { held, waiting } = this.#holder
    const isFull = failure.kind === 'rejected' && failure.refusal === 'tooManyConnections'
    if (failure.kind === 'connectionRefused') this.refusals += 1
    if (isFull) this.#noteFull(clock.now())
    const span = isFull ? FULL_PAUSE_MILLISECONDS : REFUSED_PAUSE_MILLISECONDS
    this.#mayOpenAt = addMilliseconds(clock.now(), drawnApart(span, random))
    const { server, service } = this.#address
    log.write('connection_not_opened', { server, service, ...failure, waiting, held })
    this.#holder.failedToOpen(isFull ? 'full' : 'unreachable')
  }

  #noteFull(now: Milliseconds): void {
    if (!this.wasFull) this.#deniedSince = null
    if (this.#holder.held === 0) this.#deniedSince ??= now
    this.#fullAt = now
  }
}
