/**
 * What the steps of a change of primary need from the host that holds the claim: the group as this host knows it,
 * orders to its servers and to the platform, and a line in the log for each decision.
 *
 * @internal
 */
import type {
  ChangeEvent,
  ChangePlan,
  ChangePorts,
  ReceivedBound,
} from '@nutmegcourse/coordination'
import type { BackendServerId, Milliseconds, Term } from '@nutmegcourse/shared'
import type {
  BackendServerEntry,
  PromotionOutcome,
  PromotionPort,
  ServerReport,
} from '@nutmegcourse/protocol'
import type { ServerDirectory } from '@nutmegcourse/state'
import type { GroupOrderSender } from './groupOrderSender.js'
import type { GroupPeers } from './groupPeers.js'
import type { HostContext } from './hostContext.js'
import { CALL_LIMIT_MILLISECONDS, type Claim } from './primaryClaim.js'
import type { ServiceState } from './serviceState.js'
import { sleep } from './waiting.js'

const ROUND_PAUSE_MILLISECONDS = 100

export interface ClaimedChangeParts {
  readonly context: HostContext
  readonly service: ServiceState
  readonly directory: ServerDirectory
  readonly orders: GroupOrderSender
  readonly peers: GroupPeers
  readonly promotion: PromotionPort
  readonly claim: Claim
  readonly hasUnfinishedOrder: boolean
  readonly keepsPrimary: boolean
  /** The unresponsive primary that is being replaced; null if the change has another reason. */
  readonly suspect: BackendServerId | null
}

export class ClaimedChange implements ChangePorts {
  readonly #parts: ClaimedChangeParts

  constructor(parts: ClaimedChangeParts) {
    this.#parts = parts
  }

  plan(): ChangePlan {
    const { context, service, directory, hasUnfinishedOrder, keepsPrimary, suspect } = this.#parts
    const now = context.clock.now()
    const listed = directory
      .ofService(service.name)
      .map(({ entry, leavingSince, goneSince, hasJoined }) => ({
        ...this.#describe(entry, now),
        hasJoined,
        isLeaving: leavingSince !== null || goneSince !== null,
        isListed: true,
        mayHoldWrites: true,
        isAwaited:
          entry.server !== suspect && service.server(entry.server)?.isOutOfReach(now) !== true,
        distance: service.server(entry.server)?.distance ?? 0,
      }))
    const dropped = directory.recentlyDropped(service.name).map(({ entry, mayHoldWrites }) => ({
      ...this.#describe(entry, now),
      hasJoined: false,
      isLeaving: true,
      isListed: false,
      mayHoldWrites,
      isAwaited: false,
      distance: 0,
    }))
    return {
      members: [...listed, ...dropped],
      isComplete: directory.isComplete(now),
      hasUnfinishedOrder,
      keepsPrimary,
    }
  }

  /** What is known alike of a server that is listed and of one that was dropped. */
  #describe({ server, startedAtUnixMilliseconds }: BackendServerEntry, now: Milliseconds) {
    const { directory } = this.#parts
    return {
      server,
      startedAtUnixMilliseconds,
      holdsUpTo: directory.heldUpTo(server),
      mayReturn: !directory.isGone(server, now),
      mayBringLog: directory.mayBringLog(server, now),
      hasRestarted: directory.hasRestarted(server),
    }
  }

  report(server: BackendServerId): Promise<ServerReport | null> {
    return this.#parts.orders.report(server)
  }

  pause(server: BackendServerId, term: Term): Promise<ServerReport | null> {
    return this.#parts.orders.pause(server, term)
  }

  stepDown(server: BackendServerId, term: Term): Promise<ServerReport | null> {
    return this.#parts.orders.stepDown(server, term)
  }

  resume(server: BackendServerId): Promise<ServerReport | null> {
    return this.#parts.orders.resume(server)
  }

  waitBeforeRetry(): Promise<void> {
    return this.#parts.orders.waitBeforeRetry()
  }

  waitBeforeRound(): Promise<void> {
    return sleep(ROUND_PAUSE_MILLISECONDS)
  }

  isClaimHeld(): boolean {
    return this.#parts.claim.isHeld
  }

  renewClaim(): Promise<boolean> {
    return this.#parts.claim.renew()
  }

  async renewToken(): Promise<boolean> {
    const { claim, orders } = this.#parts
    if (!(await claim.renewToken())) return false
    orders.changeLog.tokenRenewed(claim.token)
    return true
  }

  get received(): ReceivedBound {
    return this.#parts.service.received
  }

  othersAsked(): Promise<void> {
    return this.#parts.peers.askReceived()
  }

  hasLedSince(server: BackendServerId, since: Milliseconds): boolean {
    return this.#parts.service.hasLedSince(server, since)
  }

  async promote(server: BackendServerId, attempt: number): Promise<PromotionOutcome['kind']> {
    const { context, service, orders, promotion, claim } = this.#parts
    const order = {
      service: service.name,
      server,
      holder: context.settings.entryHost,
      fencingToken: claim.token,
    }
    const sentAt = context.clock.now()
    const outcome = await promotion.promote(order, CALL_LIMIT_MILLISECONDS)
    orders.changeLog.promotionOrdered(order, outcome.kind, attempt, sentAt)
    return outcome.kind
  }

  record(event: ChangeEvent): void {
    const { context, service, orders, claim } = this.#parts
    const change = { service: service.name, token: claim.token }
    switch (event.kind) {
      case 'round':
        orders.changeLog.round(event.round)
        return
      case 'waiting':
        context.log.write('change_waits', { ...change, ...event.failure })
        void claim.recordReceived(service.received.furthest)
        return
      case 'chosen':
        void claim.recordReceived(service.received.furthest)
        context.log.write('primary_chosen', { ...change, ...event.chosen })
        return
      case 'joined':
        context.log.write('member_joined', {
          ...change,
          server: event.server,
          position: event.position,
        })
        return
      case 'promoted':
        service.recordPromotion(event.chosen.server, context.clock.now())
        return
      case 'resumed': {
        const { server, pausedFor, isAnswered: answered } = event
        context.log.write('replica_resumed', { ...change, server, pausedFor, answered })
      }
    }
  }
}
