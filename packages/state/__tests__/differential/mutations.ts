/** Mutations that break one rule each, to show that the tests detect it. */
import { logPosition, term, type LogPosition } from '@nutmegcourse/shared'
import type { ClassTargets, PositionReport } from '@nutmegcourse/protocol'
import type { FakeBackendServer } from './fakeBackendServer.js'
import type { FakeGroup } from './fakeGroup.js'

export interface Mutation {
  /** The caller gets a write's answer without waiting for a majority. */
  readonly acknowledgesAtOnce?: boolean
  /** The server that answers a proxy's position request to `server`. */
  readonly responder?: (
    proxy: string,
    server: FakeBackendServer,
    group: FakeGroup,
  ) => FakeBackendServer
  /** The position report that a proxy receives. */
  readonly report?: (report: PositionReport) => PositionReport
  readonly position?: (position: LogPosition) => LogPosition
  /** Sessions that roam are treated as bound to one connection. */
  readonly remembersRoamingSessions?: boolean
  /** A write whose answer was lost counts as refused before it ran. */
  readonly takesLostAnswerForRefusal?: boolean
  readonly classTargets?: (targets: ClassTargets) => ClassTargets
}

const ANY_TERM = 1

export const MUTATIONS = {
  acknowledgeBeforeMajority: { acknowledgesAtOnce: true },
  /** Offsets are compared regardless of their terms, as if all logs were of one term. */
  skipTermCheck: {
    report: report => ({
      ...report,
      position: logPosition(ANY_TERM, report.position.offset),
      fencedTerm: term(ANY_TERM),
    }),
    position: position => logPosition(ANY_TERM, position.offset),
  },
  /** One proxy accepts the answer of a server on its side that believes itself primary in place of a majority's. */
  primaryReportAsBound: {
    responder: (proxy, server, group) => {
      const believed = group.servers.find(
        each => each.isAlive && each.ledTerm !== null && group.canReach(proxy, each.name),
      )
      return proxy === 'p2' && believed !== undefined ? believed : server
    },
  },
  rememberRoamingSessions: { remembersRoamingSessions: true },
  retryNonIdempotentWrites: { classTargets: targets => ({ ...targets, idempotent: true }) },
  treatLostAnswerAsRefusal: { takesLostAnswerForRefusal: true },
} as const satisfies Record<string, Mutation>

/** Mutations that random histories exercise too rarely; each has a scenario of its own. */
export const RARE_MUTATIONS = {
  /** A server that copies an old term's records for a later primary counts as holding that term. */
  ignoreLaterFences: {
    report: report => ({ ...report, fencedTerm: report.position.term }),
  },
} as const satisfies Record<string, Mutation>
