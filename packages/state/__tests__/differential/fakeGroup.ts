/** A database group with its record in the store and a coordinator that changes its primary. */
import { logPosition, term, type SeededRandom } from '@nutmegcourse/shared'
import { backendServerId, comparePositions } from '@nutmegcourse/shared'
import type { GroupRecord, TermStart } from '@nutmegcourse/protocol'
import { DATABASE } from '../coreFixture.js'
import type { EventQueue } from './eventQueue.js'
import { FakeBackendServer } from './fakeBackendServer.js'

const REPLICATION_PERIOD_MILLISECONDS = 2
const REPAIR_PERIOD_MILLISECONDS = 40
/** The coordinator's name for `canReach`. */
export const COORDINATOR = 'coordinator'

export class FakeGroup {
  readonly servers = ['a', 'b', 'c'].map(name => new FakeBackendServer(name))
  record: GroupRecord
  /** Called after each change of the record. */
  onRecord: () => void = () => undefined
  readonly #events: EventQueue
  readonly #random: SeededRandom
  /** Participants on one side of a partition; all others are on the other side. */
  cutOff = new Set<string>()

  constructor(events: EventQueue, random: SeededRandom) {
    this.#events = events
    this.#random = random
    const [first, ...others] = this.servers as [FakeBackendServer, ...FakeBackendServer[]]
    first.fence(1)
    first.promote(1)
    for (const other of others) other.follow(first)
    const primary = backendServerId(first.name)
    this.record = {
      database: DATABASE,
      term: term(1),
      primary,
      phase: { kind: 'stable' },
      coordinator: null,
      attempt: null,
      termStarts: [{ term: term(1), primary, startsAfter: logPosition(0, 0) }],
    }
    this.#replicate()
    this.#repair()
  }

  server(name: string): FakeBackendServer {
    const server = this.servers.find(each => each.name === name)
    if (server === undefined) throw new Error(`no server ${name}`)
    return server
  }

  canReach(from: string, to: string): boolean {
    return this.cutOff.has(from) === this.cutOff.has(to)
  }

  /** Starts a change of primary that ends after `steps` of its four steps. */
  failOver(steps: number): void {
    const newTerm = this.record.term + 1
    this.#setRecord({
      ...this.record,
      term: term(newTerm),
      phase: { kind: 'fencing', target: null },
    })
    if (steps > 1)
      this.#schedule(() => {
        this.#fenceAndChoose(newTerm, steps)
      })
  }

  /** Starts a planned change: writes stop at the old primary, which is then replaced or resumes. */
  move(completes: boolean): void {
    const { term: led, primary, phase } = this.record
    if (phase.kind !== 'stable' || primary === null) return
    const target = backendServerId(primary === 'a' ? 'b' : 'a')
    this.#setRecord({ ...this.record, phase: { kind: 'moving', target } })
    this.#schedule(() => {
      if (this.record.term !== led || this.record.phase.kind !== 'moving') return
      if (completes) this.failOver(4)
      else this.#setRecord({ ...this.record, phase: { kind: 'stable' } })
    })
  }

  #fenceAndChoose(newTerm: number, steps: number): void {
    if (this.record.term !== newTerm) return
    const fenced = this.#reachable().filter(server => server.fence(newTerm))
    if (fenced.length < 2 || steps < 3) return
    const chosen = fenced.reduce((best, server) =>
      comparePositions(server.position, best.position) > 0 ? server : best,
    )
    const primary = backendServerId(chosen.name)
    const start: TermStart = { term: term(newTerm), primary, startsAfter: chosen.position }
    this.#schedule(() => {
      if (this.record.term !== newTerm) return
      this.#setRecord({
        ...this.record,
        phase: { kind: 'promoting', chosen: primary },
        termStarts: [...this.record.termStarts, start].slice(-16),
      })
      if (steps > 3)
        this.#schedule(() => {
          this.#promote(chosen, newTerm)
        })
    })
  }

  #promote(chosen: FakeBackendServer, newTerm: number): void {
    if (!chosen.isAlive || !this.canReach(COORDINATOR, chosen.name)) return
    if (!chosen.promote(newTerm)) return
    this.#schedule(() => {
      if (this.record.term !== newTerm) return
      const primary = backendServerId(chosen.name)
      this.#setRecord({ ...this.record, primary, phase: { kind: 'stable' } })
    })
  }

  /** Makes the other servers follow the primary of a completed change. */
  #repair(): void {
    const { primary, phase, term: led } = this.record
    if (phase.kind === 'stable' && primary !== null) {
      const leader = this.server(primary)
      for (const server of this.#reachable()) {
        if (server === leader || leader.ledTerm !== led || !leader.isAlive) continue
        if (server.followedTerm !== led && this.canReach(server.name, leader.name)) {
          server.follow(leader)
        }
      }
    }
    this.#events.schedule(REPAIR_PERIOD_MILLISECONDS, () => {
      this.#repair()
    })
  }

  #replicate(): void {
    for (const primary of this.servers) {
      if (!primary.isAlive || primary.ledTerm === null) continue
      for (const replica of this.servers) {
        if (replica === primary || !replica.isAlive) continue
        if (this.canReach(primary.name, replica.name)) replica.replicateFrom(primary, 3)
      }
    }
    this.#events.schedule(REPLICATION_PERIOD_MILLISECONDS, () => {
      this.#replicate()
    })
  }

  #reachable(): FakeBackendServer[] {
    return this.servers.filter(server => server.isAlive && this.canReach(COORDINATOR, server.name))
  }

  #setRecord(record: GroupRecord): void {
    this.record = record
    this.onRecord()
  }

  #schedule(action: () => void): void {
    this.#events.schedule(1 + this.#random.next() * 30, action)
  }
}
