export { CustomerDirectory } from './customerDirectory.js'
export { IdleConnections, type IdleConnection } from './idleConnections.js'
export { GrantReserve } from './grantReserve.js'
export * from './grantSearch.js'
export { HolderSilence } from './holderSilence.js'
export { IdleMap } from './idleMap.js'
export { isValidLimit, limitInForce } from './limitInForce.js'
export { LimitPart } from './limitPart.js'
export { AHEAD_MILLISECONDS, TokensAhead } from './tokensAhead.js'
export { ReplicaProgress } from './replicaProgress.js'
export { DirectoryHistory, type DatedChanges } from './directoryHistory.js'
export * from './freshnessBounds.js'
export { LatencyEstimate } from './latencyEstimate.js'
export * from './leadership.js'
export * from './outlierDetection.js'
export * from './poolPolicy.js'
export * from './serverChoice.js'
export * from './serverDirectory.js'
export * from './sessionValues.js'
export * from './statementRecovery.js'
export * from './waitQueue.js'
export {
  STALL_MILLISECONDS,
  WriteConfirmation,
  type OpenWrite,
  type WriteOutcome,
} from './writeConfirmation.js'
