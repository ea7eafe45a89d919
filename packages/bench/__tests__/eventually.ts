/** Repeats a check until it succeeds. Throws its last error after the timeout. */
export async function eventually(
  check: () => Promise<void>,
  timeoutMilliseconds = 10_000,
): Promise<void> {
  const start = performance.now()
  for (;;) {
    try {
      await check()
      return
    } catch (error) {
      if (performance.now() - start > timeoutMilliseconds) throw error
      await new Promise(resolve => setTimeout(resolve, 20))
    }
  }
}
