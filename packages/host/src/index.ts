export { describeEvents } from './decisionEvents.js'
export { EntryHost, type EntryHostPorts } from './entryHost.js'
