/** Tracks callers' open transactions by connection, and transactions lost with their connection. */
import type { ClassName } from '@nutmegcourse/shared'
import type { BackendConnection } from './backendConnection.js'
import type { CallerConnection } from './callerConnection.js'

/** How a request runs. All requests of a transaction use the mode of its first one. */
export interface RunMode {
  readonly readOnly: boolean
  readonly holdAnswer: boolean
}

/** Transaction state of a caller between its requests. */
export type CallerTransaction =
  | { readonly kind: 'none' }
  | {
      readonly kind: 'pinned'
      readonly connection: BackendConnection
      readonly mode: RunMode
      readonly class: ClassName | null
    }
  /** Its connection was closed; `isReported` once the caller has received an error for it. */
  | { readonly kind: 'lost'; readonly isReported: boolean }

export type PinnedTransaction = Extract<CallerTransaction, { kind: 'pinned' }>

const NO_TRANSACTION: CallerTransaction = { kind: 'none' }

export class CallerTransactions {
  readonly #byCaller = new Map<CallerConnection, CallerTransaction>()
  readonly #callersByConnection = new Map<BackendConnection, CallerConnection>()

  /** Number of open transactions. */
  get openCount(): number {
    return this.#callersByConnection.size
  }

  get(caller: CallerConnection): CallerTransaction {
    return this.#byCaller.get(caller) ?? NO_TRANSACTION
  }

  pin(caller: CallerConnection, transaction: Omit<PinnedTransaction, 'kind'>): void {
    this.#byCaller.set(caller, { kind: 'pinned', ...transaction })
    this.#callersByConnection.set(transaction.connection, caller)
  }

  /** Ends the caller's transaction and unpins its connection. */
  end(caller: CallerConnection): void {
    this.#unpin(caller)
    this.#byCaller.delete(caller)
  }

  markLost(caller: CallerConnection, isReported: boolean): void {
    this.#unpin(caller)
    this.#byCaller.set(caller, { kind: 'lost', isReported: isReported })
  }

  /** Marks a transaction open on a closed connection as lost. */
  handleConnectionClosed(connection: BackendConnection): void {
    const caller = this.#callersByConnection.get(connection)
    if (caller !== undefined) this.markLost(caller, false)
  }

  #unpin(caller: CallerConnection): void {
    const transaction = this.#byCaller.get(caller)
    if (transaction?.kind === 'pinned') this.#callersByConnection.delete(transaction.connection)
  }
}
