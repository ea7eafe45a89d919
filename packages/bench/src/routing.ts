/**
 * Measures the proxy's decision core alone, in one process and one core of the machine:
 * routing decisions per second, the share of reads that replicas serve against their lag, and the
 * ways to know what a session wrote. Prints a table of each and ends with one JSON object.
 *
 * Run by `node packages/bench/dist/src/routing.js [--seconds N]`.
 */
import { parseArgs } from 'node:util'
import { measureDecisions } from './routing/decisions.js'
import { measureSessionTracking } from './routing/sessionTracking.js'
import { measureShareAgainstLag } from './routing/shareAgainstLag.js'

const { values } = parseArgs({ options: { seconds: { type: 'string', default: '2' } } })
const decisions = measureDecisions(Number(values.seconds))
console.table(decisions)
const replicaShare = measureShareAgainstLag()
console.table(replicaShare)
const sessionWays = measureSessionTracking()
console.table(sessionWays)
console.log(JSON.stringify({ decisionsPerSecond: decisions, replicaShare, sessionWays }))
