/** Which caller's transaction is open on which connection, and whose was lost with its connection. */
import type { ClassName } from '@nutmegcourse/shared'
import type { BackendConnection } from './backendConnection.js'
import type { CallerConnection } from './callerConnection.js'

/** How a request runs; the statements of a transaction run as its first one did. */
export interface RunMode {
  readonly readOnly: boolean
  readonly holdAnswer: boolean
}

/** Where a caller stands between its requests. */
export type CallerTransaction =
  | { readonly kind: 'none' }
  | {
      readonly kind: 'pinned'
      readonly connection: BackendConnection
      readonly mode: RunMode
      readonly class: ClassName | null
    }
  /** Its connection is gone; `told` once the caller has had an error for it. */
  | { readonly kind: 'lost'; readonly isReported: boolean }

export type PinnedTransaction = Extract<CallerTransaction, { kind: 'pinned' }>

const NO_TRANSACTION: CallerTransaction = { kind: 'none' }

export class CallerTransactions {
  readonly #byCaller = new Map<CallerConnection, CallerTransaction>()
  readonly #callersByConnection = new Map<BackendConnection, CallerConnection>()

  /** How many are open. */
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

  /** It is over, and its connection is nobody's. */
  end(caller: CallerConnection): void {
    this.#unpin(caller)
    this.#byCaller.delete(caller)
  }

  markLost(caller: CallerConnection, isReported: boolean): void {
    this.#unpin(caller)
    this.#byCaller.set(caller, { kind: 'lost', isReported: isReported })
  }

  /** A connection is gone; a transaction on it is lost. */
  handleConnectionClosed(connection: BackendConnection): void {
    const caller = this.#callersByConnection.get(connection)
    if (caller !== undefined) this.markLost(caller, false)
  }

  #unpin(caller: CallerConnection): void {
    const known = this.#byCaller.get(caller)
    if (known?.kind === 'pinned') this.#callersByConnection.delete(known.connection)
  }
}
