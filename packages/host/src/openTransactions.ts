/**
 * The transactions on this host's connections that are idle, and their end when others wait for the connections.
 *
 * @internal
 */
import type { Milliseconds } from '@nutmegcourse/shared'
import { transactionsToEnd } from '@nutmegcourse/state'
import type { BackendServerState } from './backendServerState.js'
import type { HostContext } from './hostContext.js'
import type { LocalTransaction, StatementResult } from './statements.js'

/**
 * Added to the limit of idle transactions: seen from here, a transaction of another host's caller is idle for longer
 * than its caller was, by the time that the answer and the next statement travel between the hosts.
 */
const TRAVEL_MILLISECONDS = 100

interface IdleEntry {
  readonly transaction: LocalTransaction
  readonly idleSince: Milliseconds
}

/** The answer to the next statement of a transaction that was ended for waiters. */
export const ENDED_WHILE_IDLE: StatementResult = {
  answer: { kind: 'refused', refusal: 'aborted', detail: 'the transaction was rolled back' },
  position: null,
  reason: 'idle',
}

export class OpenTransactions {
  readonly #context: HostContext
  readonly #rollBack: (transaction: LocalTransaction) => Promise<void>
  readonly #idle = new Map<LocalTransaction, IdleEntry>()
  /** Transactions ended here whose connections have not been returned yet, by server. */
  readonly #returning = new Map<BackendServerState, number>()

  constructor(context: HostContext, rollBack: (transaction: LocalTransaction) => Promise<void>) {
    this.#context = context
    this.#rollBack = rollBack
  }

  /** Records that the transaction's last statement was answered. */
  noteIdle(transaction: LocalTransaction): void {
    const idleSince = this.#context.clock.now()
    this.#idle.set(transaction, { transaction, idleSince })
  }

  /** Records that a statement runs in the transaction, or that it is over. */
  noteNotIdle(transaction: LocalTransaction): void {
    this.#idle.delete(transaction)
  }

  /**
   * Ends transactions that have been idle for longer than the limit, as many as requests wait for a connection of their
   * server that nothing else makes free.
   */
  endForWaiters(limitMilliseconds: number): void {
    for (const [server, idle] of this.#idleByServer()) {
      const waiters = server.pool.stuck - (this.#returning.get(server) ?? 0)
      const terms = { waiters, limitMilliseconds: limitMilliseconds + TRAVEL_MILLISECONDS }
      for (const entry of transactionsToEnd(idle, terms, this.#context.clock.now())) {
        void this.#end(entry, waiters, limitMilliseconds)
      }
    }
  }

  #idleByServer(): Map<BackendServerState, IdleEntry[]> {
    const byServer = new Map<BackendServerState, IdleEntry[]>()
    for (const entry of this.#idle.values()) {
      const { server } = entry.transaction
      const entries = byServer.get(server)
      if (entries === undefined) byServer.set(server, [entry])
      else entries.push(entry)
    }
    return byServer
  }

  async #end({ transaction, idleSince }: IdleEntry, waiting: number, limit: number): Promise<void> {
    const { server, service, link } = transaction
    this.#idle.delete(transaction)
    transaction.isEnded = true
    this.#context.log.write('idle_transaction_ended_for_waiters', {
      service: service.name,
      server: server.entry.server,
      customer: link.customer,
      idleMilliseconds: Math.round(this.#context.clock.now() - idleSince),
      limit,
      waiting,
    })
    this.#countReturning(server, 1)
    await this.#rollBack(transaction)
    this.#countReturning(server, -1)
  }

  #countReturning(server: BackendServerState, change: 1 | -1): void {
    const count = (this.#returning.get(server) ?? 0) + change
    if (count === 0) this.#returning.delete(server)
    else this.#returning.set(server, count)
  }
}
