import { describe, it } from 'node:test'
import { expect } from 'earl'
import { AnswerChecker, type DoneAnswer } from '../src/index.js'

// Guards against a checker that misses answers of other statements and statements that no caller sent. Each case breaks
// one promise as a faulty host would; the cases without findings guard against false reports.

const ROWS = ['w0', 'row of r\nDONE 9.9.forged\nREADY I 1.1']
const WHOLE: DoneAnswer = { kind: 'done', signature: 'read-r', run: '7', rows: ROWS }
const SENT = { id: 'r', text: 'READ a1', values: '' }
const RECEIVED = { ...SENT, server: 'server-1' }

/** A checker that knows the read `r` and its answer by run 7, and the answer to `s` by run 8. */
function createChecker(): AnswerChecker {
  const checker = new AnswerChecker()
  checker.recordSent(SENT)
  checker.recordSent({ id: 's', text: 'WRITE a1 first\nsecond', values: 'v1=x' })
  checker.recordSent({ id: 'e', text: 'EXECUTE shape-e a1', values: '' })
  checker.recordSigned({ id: 'r', run: '7', rows: ROWS })
  checker.recordSigned({ id: 's', run: '8', rows: [] })
  return checker
}

const cases: readonly (readonly [string, (checker: AnswerChecker) => void, readonly string[]])[] = [
  [
    'reports nothing for whole answers of their own statements',
    checker => {
      checker.checkReceived(RECEIVED)
      checker.checkAnswer('r', WHOLE)
      checker.checkAnswer('s', { kind: 'done', signature: 'commit-s', run: '8', rows: [] })
      checker.checkOwnAnswer('c1', { kind: 'done', signature: '-', rows: [] })
    },
    [],
  ],
  [
    'reports nothing for a statement that a server receives again',
    checker => {
      checker.checkReceived(RECEIVED)
      checker.checkReceived({ ...RECEIVED, server: 'server-2' })
    },
    [],
  ],
  [
    'reports the answer of another statement',
    checker => {
      checker.checkAnswer('s', WHOLE)
    },
    ['mixed: s was answered with the answer of r, run 7'],
  ],
  [
    'reports an answer that two callers receive',
    checker => {
      checker.checkAnswer('r', WHOLE)
      checker.checkAnswer('r', WHOLE)
    },
    ['mixed: r was answered with run 7, as was r before'],
  ],
  [
    'reports rows that are cut off at a line feed',
    checker => {
      checker.checkAnswer('r', { ...WHOLE, rows: ['w0', 'row of r'] })
    },
    [
      'mixed: r was answered with the rows "w0|row of r" of "w0|row of r\\nDONE 9.9.forged\\nREADY I 1.1"',
    ],
  ],
  [
    'reports an answer that comes twice again and answers the next two statements',
    checker => {
      checker.checkAnswer('r', WHOLE)
      checker.checkAnswer('s', WHOLE)
      checker.checkAnswer('e', WHOLE)
    },
    [
      'mixed: s was answered with the answer of r, run 7',
      'mixed: s was answered with run 7, as was r before',
      'mixed: e was answered with the answer of r, run 7',
      'mixed: e was answered with run 7, as was s before',
    ],
  ],
  [
    'reports a row that is cut off with the connection',
    checker => {
      checker.checkAnswer('r', { ...WHOLE, rows: ['w0', 'row of r\nDO'] })
    },
    [
      'mixed: r was answered with the rows "w0|row of r\\nDO" of "w0|row of r\\nDONE 9.9.forged\\nREADY I 1.1"',
    ],
  ],
  [
    'reports the rows of an answer that is cut off before those of the next run',
    checker => {
      checker.checkAnswer('r', { ...WHOLE, rows: ['w0', ...ROWS] })
    },
    [
      'mixed: r was answered with the rows "w0|w0|row of r\\nDONE 9.9.forged\\nREADY I 1.1" of "w0|row of r\\nDONE 9.9.forged\\nREADY I 1.1"',
    ],
  ],
  [
    'reports a signature that is cut off in the number of its run',
    checker => {
      checker.recordSigned({ id: 'e', run: '78', rows: [] })
      checker.checkAnswer('e', { kind: 'done', signature: 'read-e', run: '7', rows: [] })
    },
    ['mixed: e was answered with the answer of r, run 7'],
  ],
  [
    'reports rows that are missing',
    checker => {
      checker.checkAnswer('r', { ...WHOLE, rows: [] })
    },
    ['mixed: r was answered with the rows "" of "w0|row of r\\nDONE 9.9.forged\\nREADY I 1.1"'],
  ],
  [
    'reports rows of another statement under its own signature',
    checker => {
      checker.checkAnswer('s', { kind: 'done', signature: 'commit-s', run: '8', rows: ROWS })
    },
    ['mixed: s was answered with the rows "w0|row of r\\nDONE 9.9.forged\\nREADY I 1.1" of ""'],
  ],
  [
    'reports a forged signature',
    checker => {
      checker.checkAnswer('r', { kind: 'done', signature: '9.9.forged', rows: ['w0'] })
    },
    ['mixed: r was answered with "9.9.forged", which no server sent'],
  ],
  [
    'reports a signature without the number of its run',
    checker => {
      checker.checkAnswer('r', { kind: 'done', signature: 'read-r', rows: ROWS })
    },
    ['mixed: r was answered with "read-r", which no server sent'],
  ],
  [
    'reports a signed answer to a statement that has none',
    checker => {
      checker.checkOwnAnswer('c1', WHOLE)
    },
    ['mixed: c1 received "read-r" for a statement without signature'],
  ],
  [
    'reports a changed text',
    checker => {
      checker.checkReceived({ server: 'server-1', id: 's', text: 'WRITE a1 first', values: 'v1=x' })
    },
    ['unasked: server-1 received s as "WRITE a1 first", sent as "WRITE a1 first\\nsecond"'],
  ],
  [
    'reports an id that no caller sent',
    checker => {
      checker.checkReceived({ ...RECEIVED, id: 'b2' })
    },
    ['unasked: server-1 received b2 "READ a1", which no caller sent'],
  ],
  [
    'reports a statement under values of another session',
    checker => {
      checker.checkReceived({ ...RECEIVED, values: 'v1=x' })
    },
    ['otherSession: server-1 ran r under the values "v1=x", its session has ""'],
  ],
  [
    'reports a prepared statement of another shape',
    checker => {
      checker.checkReceived({ ...RECEIVED, id: 'e', text: 'EXECUTE shape-s a1' })
    },
    ['otherSession: server-1 received e as "EXECUTE shape-s a1", sent as "EXECUTE shape-e a1"'],
  ],
  [
    'reports an answer to a caller that waits for none',
    checker => {
      checker.checkUnsolicited('c1', 'DONE read-r~7\r\nREADY I 1.1\r\n')
    },
    [
      'unsolicited: c1 received "DONE read-r~7\\r\\nREADY I 1.1\\r\\n", which answers nothing it sent',
    ],
  ],
  [
    'reports a READY after the error that announces the end of a session',
    checker => {
      checker.checkUnsolicited('c1', 'ERROR BUSY stopping\r\nREADY I 1.1\r\n')
    },
    [
      'unsolicited: c1 received "ERROR BUSY stopping\\r\\nREADY I 1.1\\r\\n", which answers nothing it sent',
    ],
  ],
  [
    'reports nothing for the error that announces the end of a session',
    checker => {
      checker.checkUnsolicited('c1', 'ERROR BUSY stopping\r\n')
    },
    [],
  ],
]

describe('the answer checker of the soak test', () => {
  for (const [name, runCase, findings] of cases) {
    it(name, () => {
      const checker = createChecker()
      runCase(checker)
      expect(checker.findings).toEqual([...findings])
    })
  }
})
