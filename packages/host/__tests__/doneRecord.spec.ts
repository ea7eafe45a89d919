import { err, type Result } from 'neverthrow'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { ChangeOutcome, ConditionalChange, StoreFailure } from '@nutmegcourse/protocol'
import { StoreConnection } from '@nutmegcourse/stand-ins'
import { A, P, withHostFixture } from './support/hostFixture.js'

/** Longer than the lease of a claim, and than the next host takes to continue an abandoned change. */
const CONTINUATION_MILLISECONDS = 5500

describe('the record that a change of primary is done', () => {
  // The store's answer to this record was lost. The claim ended without it, so the next host took the change for
  // abandoned and replaced the new primary, which interrupted writes a second time.
  const losses: readonly (readonly [string, LossOfAnswer, number])[] = [
    ['is not written and not answered', 'withoutEffect', 1],
    ['is refused for a while', 'refused', 5],
    ['is written and not answered', 'afterEffect', 1],
  ]
  for (const [name, loss, count] of losses) {
    it(`is repeated when it ${name}`, async () => {
      await withHostFixture(0, async scene => {
        for (const host of ['host-1', 'host-2', 'host-3']) {
          scene.add(host, 1000, new DoneLosingStore(scene.store, loss, count))
        }
        await scene.ready()
        scene.crash(P)
        await scene.until(() => scene.group.promotions > 0, 'another server leads')
        await new Promise(resolve => setTimeout(resolve, CONTINUATION_MILLISECONDS))
        expect(scene.group.promotions).toEqual(1)
        expect(scene.group.primary.id).toEqual(A)
        const recorded = scene.hosts.flatMap(({ lines }) =>
          lines.flatMap(({ event, fields }) => (event === 'change_done' ? [fields.recorded] : [])),
        )
        expect(recorded).toEqual(['made'])
      })
    })
  }
})

type LossOfAnswer = 'withoutEffect' | 'afterEffect' | 'refused'

/** A connection to the store that loses its first answers to records of a change that is done. */
class DoneLosingStore extends StoreConnection {
  readonly #loss: LossOfAnswer
  #left: number

  constructor(
    store: ConstructorParameters<typeof StoreConnection>[0],
    loss: LossOfAnswer,
    count: number,
  ) {
    super(store)
    this.#loss = loss
    this.#left = count
  }

  override async change(
    change: ConditionalChange,
    limit: number,
  ): Promise<Result<ChangeOutcome, StoreFailure>> {
    const isDone = change.puts.some(({ value }) => value.includes('"phase":"done"'))
    if (!isDone || this.#left === 0) return super.change(change, limit)
    this.#left -= 1
    if (this.#loss === 'refused') return err({ kind: 'unavailable', detail: 'of the test' })
    if (this.#loss === 'afterEffect') await super.change(change, limit)
    await new Promise(resolve => setTimeout(resolve, limit))
    return err({ kind: 'noAnswer', detail: 'of the test' })
  }
}
