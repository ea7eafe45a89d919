/** The dependencies shared by the components of one failover state machine. */
import type { AttemptId, DatabaseId, RandomSource } from '@nutmegcourse/shared'

import type { FailoverAgreement } from './failoverAgreement.js'
import type { FailoverGroup } from './failoverGroup.js'
import type { FailoverEventLog } from './failoverEventLog.js'
import type { Watcher } from './failoverMessages.js'
import type { FailoverOptions } from './failoverOptions.js'
import type { FailoverEffectQueue } from './failoverEffectQueue.js'
import type { FailoverRecordTracker } from './failoverRecordTracker.js'

export interface FailoverContext {
  readonly database: DatabaseId
  readonly self: Watcher
  readonly options: FailoverOptions
  readonly random: RandomSource
  readonly makeAttemptId: () => AttemptId
  readonly effects: FailoverEffectQueue
  readonly group: FailoverGroup
  readonly records: FailoverRecordTracker
  readonly agreement: FailoverAgreement
  readonly eventLog: FailoverEventLog
}
