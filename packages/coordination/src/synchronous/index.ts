export * from './changeRecord.js'
export * from './primaryChange.js'
export * from './primarySuspicion.js'
export * from './serviceOwners.js'
