import { readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { describeErrors } from '../src/index.js'

describe('docs/ERRORS.md', () => {
  it('equals the page generated from the table of reasons', () => {
    const page = new URL('../../../../docs/ERRORS.md', import.meta.url)
    expect(readFileSync(page, 'utf8')).toEqual(describeErrors())
  })
})
