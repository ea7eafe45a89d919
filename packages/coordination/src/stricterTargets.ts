/**
 * Combines two targets documents into the stricter of both, class by class: a host that applies it
 * violates neither, whichever of the two is in force.
 */
import type { ClassTargets, Targets } from '@nutmegcourse/protocol'

/** Classes and defaults are those of `newest`; a class that only `other` has is left out. */
export function stricterTargets(newest: Targets, other: Targets): Targets {
  const others = new Map(other.classes.map(entry => [entry.name, entry]))
  const classes = newest.classes.map(entry => stricterClass(entry, others.get(entry.name)))
  return { ...newest, classes }
}

function stricterClass(newest: ClassTargets, other: ClassTargets | undefined): ClassTargets {
  if (other === undefined) return newest
  // The targets of a read class and a write class are not comparable, so the newest apply.
  if (other.access !== newest.access) return newest
  return {
    name: newest.name,
    access: newest.access,
    // Retrying a request that is not idempotent does harm; refusing a retry does not.
    idempotent: newest.idempotent && other.idempotent,
    freshnessMilliseconds: Math.min(newest.freshnessMilliseconds, other.freshnessMilliseconds),
    latencyMilliseconds: Math.min(newest.latencyMilliseconds, other.latencyMilliseconds),
    replicaReadShare: Math.min(newest.replicaReadShare, other.replicaReadShare),
  }
}
