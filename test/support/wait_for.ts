const POLL_MS = 20;

/** Polls until a check returns a value; after the time limit rejects with a description of the condition. */
export async function waitFor<T>(
  what: string,
  check: () => T | undefined | false | Promise<T | undefined | false>,
  limitMs = 20_000,
): Promise<T> {
  const endAtMs = Date.now() + limitMs;
  let lastError: unknown;
  for (;;) {
    try {
      const value = await check();
      if (value !== undefined && value !== false) return value;
    } catch (error) {
      lastError = error;
    }
    if (Date.now() > endAtMs) {
      throw new Error(`waited ${limitMs} ms for ${what}`, {cause: lastError});
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}
