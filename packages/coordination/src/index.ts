export * from './failoverMessages.js'
export * from './failoverCore.js'
export { DEFAULT_FAILOVER_OPTIONS, type FailoverOptions } from './failoverOptions.js'
export { isNewerRecord, type KnownRecord } from './failoverRecord.js'
