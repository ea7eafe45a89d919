export { describeEvents } from './decisionEvents.js'
export { describeSlotMetrics } from './slotMetrics.js'
export { EntryHost, type EntryHostPorts } from './entryHost.js'
