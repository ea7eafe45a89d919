/**
 * Runs statements here where this host holds connections to the service, and at an owner where it
 * does not. What was promised to a caller stays true across the hop: a statement that reached the
 * owner and whose answer is lost is told as one whose connection was lost.
 *
 * @internal
 */
import { fateOf, type Mishap, type StatementPlace } from '@nutmegcourse/state'
import type { CustomerName } from '@nutmegcourse/shared'
import type { SessionStatus } from '@nutmegcourse/protocol'
import type { HostContext } from './hostContext.js'
import { RELAY_METHODS, readPosition, writeRequest, type AnswerMessage } from './relayMessages.js'
import type { RelayOutcome, RelayPeer } from './relayPeer.js'
import type { SentRoutes } from './relayRoutes.js'
import type { ServiceDesk } from './serviceDesk.js'
import {
  needsPrimary,
  refused,
  type BegunTransaction,
  type RelayedTransaction,
  type Runner,
  type RunningTransaction,
  type StatementRequest,
  type StatementResult,
} from './statements.js'
import type { StatementRunner } from './statementRunner.js'

/** Whom to ask for a service. */
export interface OwnerBook {
  /**
   * Other hosts in the order in which to ask them; null when this host serves by itself.
   * `atPrimary`: only the primary can run it.
   */
  peersFor(desk: ServiceDesk, customer: CustomerName | null, atPrimary: boolean): RelayPeer[] | null
}

interface Relayed {
  readonly outcome: RelayOutcome
  readonly peer: RelayPeer | null
}

type Answered = Extract<AnswerMessage, { kind: 'answered' }>

export class RelayingRunner implements Runner {
  readonly #context: HostContext
  readonly #local: StatementRunner
  readonly #owners: OwnerBook

  constructor(context: HostContext, local: StatementRunner, owners: OwnerBook) {
    this.#context = context
    this.#local = local
    this.#owners = owners
  }

  async single(request: StatementRequest): Promise<StatementResult> {
    const atPrimary = needsPrimary(request, !request.isWrite)
    const peers = this.#owners.peersFor(request.desk, request.customer, atPrimary)
    if (peers === null) return this.#local.single(request)
    const place: StatementPlace = request.isWrite ? 'singleWrite' : 'singleRead'
    const message = (routes: SentRoutes): unknown =>
      writeRequest(request, routes, this.#context.clock.now())
    const { outcome } = await this.#ask(request, peers, place, RELAY_METHODS.single, message)
    if (outcome.kind === 'answered') return this.#take(request, outcome.message)
    if (this.#mayRunHere(request, place, outcome)) {
      return this.#inPlaceOfOwners(request).single(request)
    }
    return this.#fail(request, place, outcome)
  }

  async begin(request: StatementRequest, readOnly: boolean): Promise<BegunTransaction> {
    const atPrimary = needsPrimary(request, readOnly)
    const peers = this.#owners.peersFor(request.desk, request.customer, atPrimary)
    if (peers === null) return this.#local.begin(request, readOnly)
    const place: StatementPlace =
      request.statement.body.kind === 'commit' ? 'commit' : 'firstOfTransaction'
    const message = (routes: SentRoutes): unknown => ({
      request: writeRequest(request, routes, this.#context.clock.now()),
      readOnly,
    })
    const { outcome, peer } = await this.#ask(request, peers, place, RELAY_METHODS.begin, message)
    if (outcome.kind === 'answered' && peer !== null) {
      return this.#takeTransaction(request, peer, outcome.message)
    }
    if (this.#mayRunHere(request, place, outcome)) {
      return this.#inPlaceOfOwners(request).begin(request, readOnly)
    }
    return { result: this.#fail(request, place, outcome), transaction: null }
  }

  async continue(
    request: StatementRequest,
    transaction: RunningTransaction,
  ): Promise<BegunTransaction> {
    if (transaction.kind === 'local') return this.#local.continue(request, transaction)
    const { peer, id } = transaction
    const params = (routes: SentRoutes): unknown => ({
      request: writeRequest(request, routes, this.#context.clock.now()),
      transaction: id,
    })
    const outcome = await peer.call(RELAY_METHODS.continue, params, request.deadline)
    if (outcome.kind === 'answered') return this.#takeTransaction(request, peer, outcome.message)
    peer.end(id)
    const isCommit = request.statement.body.kind === 'commit'
    const place: StatementPlace = isCommit ? 'commit' : 'withinTransaction'
    return { result: this.#fail(request, place, outcome), transaction: null }
  }

  endTransaction(transaction: RunningTransaction, status: SessionStatus | null): void {
    if (transaction.kind === 'local') this.#local.endTransaction(transaction, status)
    else transaction.peer.end(transaction.id)
  }

  /** Whether running it once more, at this host, can do no harm. */
  #mayRunHere(request: StatementRequest, place: StatementPlace, outcome: RelayOutcome): boolean {
    return !this.#isOver(request) && fateOf(place, mishapOf(outcome), false).kind === 'retry'
  }

  /** None of the owners took it: this host keeps what it needs to serve by itself for a while. */
  #inPlaceOfOwners({ desk }: StatementRequest): StatementRunner {
    if (!desk.isOwned) desk.standIn(this.#context.clock.now())
    return this.#local
  }

  /** Asks one owner after the other, as long as asking again can do no harm. */
  async #ask(
    request: StatementRequest,
    peers: readonly RelayPeer[],
    place: StatementPlace,
    method: string,
    message: (routes: SentRoutes) => unknown,
  ): Promise<Relayed> {
    let last: Relayed = { outcome: { kind: 'notSent' }, peer: null }
    for (const peer of peers) {
      if (this.#isOver(request)) break
      if (!peer.isUp) continue
      const outcome = await peer.call(method, message, request.deadline)
      last = { outcome, peer }
      if (outcome.kind === 'answered') {
        request.desk.reachedThroughOthersAt = this.#context.clock.now()
        return last
      }
      this.#context.log.write('relay_failed', {
        request: request.statement.id,
        service: request.desk.name,
        host: peer.name,
        outcome: outcome.kind,
      })
      if (fateOf(place, mishapOf(outcome), false).kind !== 'retry') return last
    }
    return last
  }

  #take(request: StatementRequest, message: Answered): StatementResult {
    request.session.ownPosition = readPosition(message.own)
    const position = readPosition(message.position)
    const { answer, reason } = message
    return reason === undefined ? { answer, position } : { answer, position, reason }
  }

  #takeTransaction(
    request: StatementRequest,
    peer: RelayPeer,
    message: Answered,
  ): BegunTransaction {
    const result = this.#take(request, message)
    if (message.transaction === null) return { result, transaction: null }
    const transaction: RelayedTransaction = {
      kind: 'relayed',
      desk: request.desk,
      peer,
      id: message.transaction,
    }
    return { result, transaction }
  }

  #fail(request: StatementRequest, place: StatementPlace, outcome: RelayOutcome): StatementResult {
    const mishap = mishapOf(outcome)
    const fate = fateOf(place, mishap, false)
    return refused(request, fate.kind === 'answer' ? fate.refusal : fate.otherwise, mishap)
  }

  #isOver(request: StatementRequest): boolean {
    return this.#context.clock.now() >= request.deadline
  }
}

function mishapOf(outcome: RelayOutcome): Mishap {
  switch (outcome.kind) {
    case 'answered':
    case 'overdue':
      return { kind: 'overdue' }
    case 'notSent':
      return { kind: 'notSent' }
    case 'lost':
      return { kind: 'lost', failure: 'connectionLost' }
  }
}
