export { CustomerDirectory } from './customerDirectory.js'
export { IdleConnections, type IdleConnection } from './idleConnections.js'
export { LimitPart } from './limitPart.js'
export { ReplicaProgress } from './replicaProgress.js'
export { DirectoryHistory, type DatedChanges } from './directoryHistory.js'
export * from './freshnessBounds.js'
export { LatencyEstimate } from './latencyEstimate.js'
export * from './leadership.js'
export * from './poolPolicy.js'
export * from './serverChoice.js'
export * from './serverDirectory.js'
export * from './sessionValues.js'
export * from './statementFate.js'
export * from './waitingLine.js'
export {
  STANDSTILL_MILLISECONDS,
  WriteConfirmation,
  type OpenWrite,
  type WriteEnd,
} from './writeConfirmation.js'
