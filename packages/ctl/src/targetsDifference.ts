/** Describes the differences between two targets documents for operators, one per line. */
import type { ClassTargets, Targets } from '@nutmegcourse/protocol'

type Field = keyof Omit<ClassTargets, 'name'>

const FIELDS: readonly Field[] = [
  'access',
  'idempotent',
  'freshnessMilliseconds',
  'latencyMilliseconds',
  'replicaReadShare',
]

/** Lines such as `~ class gallery: replicaReadShare 0.9 -> 0.8`; empty when nothing differs. */
export function describeDifference(before: Targets | null, after: Targets): readonly string[] {
  if (before === null) return after.classes.map(entry => `+ class ${entry.name}`)
  const service =
    before.service === after.service ? [] : [`~ service ${before.service} -> ${after.service}`]
  return [...service, ...describeClasses(before, after), ...describeDefaults(before, after)]
}

function describeClasses(before: Targets, after: Targets): readonly string[] {
  const oldClasses = new Map(before.classes.map(entry => [entry.name, entry]))
  const newClasses = new Map(after.classes.map(entry => [entry.name, entry]))
  const removed = before.classes.filter(entry => !newClasses.has(entry.name))
  const kept = after.classes.flatMap(entry => {
    const previous = oldClasses.get(entry.name)
    return previous === undefined ? [`+ class ${entry.name}`] : describeFields(previous, entry)
  })
  return [...removed.map(entry => `- class ${entry.name}`), ...kept]
}

function describeFields(before: ClassTargets, after: ClassTargets): readonly string[] {
  return FIELDS.filter(field => before[field] !== after[field]).map(
    field => `~ class ${after.name}: ${field} ${String(before[field])} -> ${String(after[field])}`,
  )
}

function describeDefaults(before: Targets, after: Targets): readonly string[] {
  if (JSON.stringify(before.defaults) === JSON.stringify(after.defaults)) return []
  return [`~ defaults: ${before.defaults.length} entries -> ${after.defaults.length} entries`]
}
