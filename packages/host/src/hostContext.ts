/**
 * What the parts of one entry host share.
 *
 * @internal
 */
import type { Clock, RandomSource } from '@nutmegcourse/shared'
import type { BackendDialer, HostSettings } from '@nutmegcourse/protocol'
import type { DecisionLog } from './decisionLog.js'

export interface HostContext {
  readonly settings: HostSettings
  readonly clock: Clock
  readonly random: RandomSource
  readonly dialer: BackendDialer
  readonly log: DecisionLog
}
