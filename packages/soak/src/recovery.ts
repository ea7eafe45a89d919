/** What a soak test waits for once its last fault has ended. */
import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@nutmegcourse/shared'
import type { MemoryGroup } from '@nutmegcourse/stand-ins'
import type { AnswerChecker } from './answerChecker.js'
import type { ConsistencyChecker } from './consistencyChecker.js'
import { USUAL_HABITS, steadyHabits } from './hardLoad.js'
import { SoakCaller } from './soakCaller.js'
import type { SoakFleet } from './soakFleet.js'

/** The time within which every host must serve every service again after the last fault. */
const RECOVERY_TIMEOUT_MILLISECONDS = 12_000

const PRIMARY_POLL_MILLISECONDS = 10

/** Resolves to null on a timeout. */
export async function awaitRecovery(
  fleet: SoakFleet,
  checker: ConsistencyChecker,
  answers: AnswerChecker | null,
): Promise<number | null> {
  const faultsEndedAt = performance.now()
  const prober = new SoakCaller({
    name: 'check',
    fleet,
    checker,
    random: new SeededRandom(0),
    answers,
    habits: fleet.plan.isHardLoad ? steadyHabits(0) : USUAL_HABITS,
  })
  for (const { plan } of fleet.hosts) {
    for (const { service } of fleet.groups) {
      while (!(await prober.writeAt(plan.name, service))) {
        if (performance.now() - faultsEndedAt > RECOVERY_TIMEOUT_MILLISECONDS) {
          checker.addFinding(
            `${plan.name} completed no write to ${service} within the recovery timeout after the last fault`,
          )
          return null
        }
        await delay(50)
      }
    }
  }
  return Math.round(performance.now() - faultsEndedAt)
}

/**
 * A change of primary that began during the last fault may still be under way when the callers have stopped. Without a
 * primary there is no log to compare the acknowledged writes with. False on a timeout.
 */
export async function awaitPrimaries(
  groups: readonly MemoryGroup[],
  timeoutMilliseconds = RECOVERY_TIMEOUT_MILLISECONDS,
): Promise<boolean> {
  const until = performance.now() + timeoutMilliseconds
  const isComplete = (): boolean => groups.every(group => group.currentPrimary !== null)
  while (!isComplete() && performance.now() < until) await delay(PRIMARY_POLL_MILLISECONDS)
  return isComplete()
}
