/** The soak test: runs entry host processes under random faults and checks their consistency. Not published. */
export * from './changeFaults.js'
export * from './failoverGaps.js'
export * from './faultPlan.js'
export { ConsistencyChecker, type ReadRule } from './consistencyChecker.js'
export * from './runSoak.js'
export type { OnUnsuccessfulStatement, UnsuccessfulStatement } from './soakCallerOptions.js'
export { LOAD_KINDS, planCalmLoads, planLoads } from './loadPlan.js'
