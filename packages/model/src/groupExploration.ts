/** Explores the group specification within the given bounds. */
import { explore, type Exploration } from './explore.js'
import { findViolation } from './groupInvariants.js'
import { successors, type GroupStep } from './groupSpecification.js'
import { initialState, canonicalKey, type GroupBounds, type Mutation } from './groupState.js'

export function exploreGroup(bounds: GroupBounds, mutation: Mutation): Exploration<GroupStep> {
  return explore({
    initial: initialState(bounds, mutation),
    successors: state => successors(state, bounds, mutation),
    key: canonicalKey,
    violation: state => findViolation(state, mutation),
  })
}
