export * from './admission.js'
export { ConcurrencyLimit } from './concurrencyLimit.js'
export * from './slotRequest.js'
