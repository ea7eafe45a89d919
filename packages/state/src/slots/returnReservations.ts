/**
 * Places that are kept for refused statements until their callers return when told. Callers that return are not known
 * by name: whoever of the class and customer arrives at or after a told time is taken for the returning caller.
 *
 * @internal
 */
import { addMilliseconds, type CustomerName, type Milliseconds } from '@nutmegcourse/shared'
import type { SlotRequest } from './slotRequest.js'

/**
 * Callers of one class and customer whose turns come within this span are told the same time. They arrive a network
 * delay after it; told one by one, they would find their places claimed by newcomers that arrived meanwhile.
 */
const BATCH_MILLISECONDS = 100

/** A caller that has not returned this long after the told time has given up. */
const RETURN_GRACE_MILLISECONDS = 500

/** Over all classes and customers; statements refused beyond it return without a place. */
const MAX_RESERVATIONS = 20_000

/** Weight of the newest reservation, claimed or expired, in the moving average of claimed ones. */
const CLAIM_WEIGHT = 0.02

export interface Reservation {
  /** When the statement first arrived; its place counts from then. */
  readonly arrivedAt: Milliseconds
  /** When its caller was told to return. */
  readonly returnAt: Milliseconds
  /** How long it is expected to occupy a slot. */
  readonly expectedMilliseconds: number
}

type Owner = Pick<
  SlotRequest,
  'classPriority' | 'customer' | 'customerWeight' | 'expectedMilliseconds'
>

/** The reservations of one class and customer, in the order of their told times. */
interface Line {
  readonly reservations: Reservation[]
  readonly customerWeight: number
  expectedMilliseconds: number
}

/** The reservations of one class. */
interface ClassLines {
  readonly byCustomer: Map<CustomerName | null, Line>
  expectedMilliseconds: number
}

export class ReturnReservations {
  readonly #classes = new Map<number, ClassLines>()
  #size = 0
  /** Moving average of reservations that were claimed before they expired; callers may ignore their retry delay. */
  #claimedShare = 1
  #sweptAt = Number.NEGATIVE_INFINITY

  get size(): number {
    return this.#size
  }

  /**
   * Expected slot time of the callers yet to return whose turns come before a newcomer's: those of higher classes, of
   * its own customer, and of other customers up to what these get meanwhile for their weight.
   */
  aheadMilliseconds(newcomer: Owner, now: Milliseconds): number {
    this.#sweep(now)
    let ahead = 0
    for (const [classPriority, { byCustomer, expectedMilliseconds }] of this.#classes) {
      if (classPriority > newcomer.classPriority) continue
      if (classPriority < newcomer.classPriority) ahead += expectedMilliseconds
      else ahead += aheadInClass(byCustomer, newcomer)
    }
    return ahead * this.#claimedShare
  }

  /** Takes the first place whose told time has come; null if none was kept, or its caller is still to come. */
  claim(owner: Owner, now: Milliseconds): Reservation | null {
    const ofClass = this.#classes.get(owner.classPriority)
    const line = ofClass?.byCustomer.get(owner.customer)
    if (ofClass === undefined || line === undefined) return null
    this.#expire(ofClass, line, now)
    const [first] = line.reservations
    const claimed = first !== undefined && first.returnAt <= now ? first : null
    if (claimed !== null) {
      this.#removeFirst(ofClass, line)
      this.#recordClaim(true)
    }
    this.#dropIfEmpty(owner, ofClass, line)
    return claimed
  }

  /** When a newcomer should return whose turn comes then: with the callers of its customer whose turns come before. */
  batchAt(newcomer: Owner, turnAt: Milliseconds, now: Milliseconds): Milliseconds {
    const last = this.#classes
      .get(newcomer.classPriority)
      ?.byCustomer.get(newcomer.customer)
      ?.reservations.at(-1)
    if (last === undefined || last.returnAt <= now) return turnAt
    return turnAt < addMilliseconds(last.returnAt, BATCH_MILLISECONDS) ? last.returnAt : turnAt
  }

  /** Keeps a place; without effect once there are too many. */
  keep(owner: Owner, reservation: Reservation): void {
    if (this.#size >= MAX_RESERVATIONS) return
    const ofClass = this.#classOf(owner)
    const line = lineOf(ofClass, owner)
    const { returnAt, expectedMilliseconds } = reservation
    const before = line.reservations.findLastIndex(other => other.returnAt <= returnAt)
    line.reservations.splice(before + 1, 0, reservation)
    line.expectedMilliseconds += expectedMilliseconds
    ofClass.expectedMilliseconds += expectedMilliseconds
    this.#size += 1
  }

  #classOf({ classPriority }: Owner): ClassLines {
    const known = this.#classes.get(classPriority)
    if (known !== undefined) return known
    const added: ClassLines = { byCustomer: new Map(), expectedMilliseconds: 0 }
    this.#classes.set(classPriority, added)
    return added
  }

  #removeFirst(ofClass: ClassLines, line: Line): void {
    const removed = line.reservations.shift()
    if (removed === undefined) return
    this.#size -= 1
    line.expectedMilliseconds -= removed.expectedMilliseconds
    ofClass.expectedMilliseconds -= removed.expectedMilliseconds
  }

  #expire(ofClass: ClassLines, line: Line, now: Milliseconds): void {
    for (;;) {
      const [first] = line.reservations
      if (first === undefined) return
      if (now < addMilliseconds(first.returnAt, RETURN_GRACE_MILLISECONDS)) return
      this.#removeFirst(ofClass, line)
      this.#recordClaim(false)
    }
  }

  #recordClaim(isClaimed: boolean): void {
    this.#claimedShare += ((isClaimed ? 1 : 0) - this.#claimedShare) * CLAIM_WEIGHT
  }

  #dropIfEmpty(
    owner: Pick<Owner, 'classPriority' | 'customer'>,
    ofClass: ClassLines,
    line: Line,
  ): void {
    if (line.reservations.length > 0) return
    ofClass.byCustomer.delete(owner.customer)
    if (ofClass.byCustomer.size === 0) this.#classes.delete(owner.classPriority)
  }

  /** Forgets the callers that gave up, of classes and customers from which nothing arrives any more. */
  #sweep(now: Milliseconds): void {
    if (now < this.#sweptAt + RETURN_GRACE_MILLISECONDS) return
    this.#sweptAt = now
    for (const [classPriority, ofClass] of this.#classes) {
      for (const [customer, line] of ofClass.byCustomer) {
        this.#expire(ofClass, line, now)
        this.#dropIfEmpty({ classPriority, customer }, ofClass, line)
      }
    }
  }
}

function lineOf({ byCustomer }: ClassLines, { customer, customerWeight }: Owner): Line {
  const known = byCustomer.get(customer)
  if (known !== undefined) return known
  const weight = customerWeight > 0 ? customerWeight : 1
  const added: Line = { reservations: [], customerWeight: weight, expectedMilliseconds: 0 }
  byCustomer.set(customer, added)
  return added
}

/** What the customers of one class get until the newcomer's customer has got what it is owed, by their weights. */
function aheadInClass(lines: ReadonlyMap<CustomerName | null, Line>, newcomer: Owner): number {
  const own = lines.get(newcomer.customer)
  const weight = newcomer.customerWeight > 0 ? newcomer.customerWeight : 1
  const expected = Math.max(0, newcomer.expectedMilliseconds)
  const fairShare = ((own?.expectedMilliseconds ?? 0) + expected) / weight
  let ahead = 0
  for (const line of lines.values()) {
    const limit = line === own ? Number.POSITIVE_INFINITY : fairShare * line.customerWeight
    ahead += Math.min(line.expectedMilliseconds, limit)
  }
  return ahead
}
