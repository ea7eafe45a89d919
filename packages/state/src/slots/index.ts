export * from './admission.js'
export { ConcurrencyLimit } from './concurrencyLimit.js'
export * from './slotRequest.js'
export { ServerSlots, type Submission } from './serverSlots.js'
