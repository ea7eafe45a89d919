/**
 * Measures the proxy's decision core in isolation, in one process on one processor core: routing
 * decisions per second, the share of reads served by replicas depending on their lag, and the
 * methods of tracking a session's writes. Prints a table of each; the last line is one JSON object.
 *
 * Run with `node packages/bench/dist/src/routing.js [--seconds N]`.
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
