/**
 * What the parts of one entry host share.
 *
 * @internal
 */
import type { Clock, RandomSource } from '@nutmegcourse/shared'
import type { BackendDialer, HostSettings } from '@nutmegcourse/protocol'
import type { DecisionLog } from './decisionLog.js'
import type { HostMetrics } from './hostMetrics.js'
import type { OwnStall } from './ownStall.js'
import type { StoreKnowledge } from './storeKnowledge.js'

export interface HostContext {
  readonly settings: HostSettings
  readonly clock: Clock
  readonly random: RandomSource
  readonly dialer: BackendDialer
  readonly log: DecisionLog
  readonly metrics: HostMetrics
  readonly ownStall: OwnStall
  readonly knowledge: StoreKnowledge
}
