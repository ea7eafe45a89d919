export * from './admission.js'
export { ConcurrencyLimit } from './concurrencyLimit.js'
export * from './connectionRetention.js'
export * from './idleTransactions.js'
export * from './ownConnectionWait.js'
export * from './slotRequest.js'
export { SlidingTotals } from './slidingTotals.js'
export {
  ServerSlots,
  type RefusalCause,
  type ServerSlotsOptions,
  type StatementLimit,
  type Submission,
} from './serverSlots.js'
export { SlotScheduler } from './slotScheduler.js'
