export * from './boundedOutput.js'
export * from './log.js'
export * from './metrics.js'
export * from './describeCounters.js'
