export { EntryHost, type EntryHostPorts } from './entryHost.js'
