import {setTimeout as sleep} from 'node:timers/promises';

const POLL_MS = 50;

/** Waits until a condition holds; rejects with its name after the limit. */
export async function waitUntil(
  what: string,
  limitMs: number,
  holds: () => boolean,
): Promise<void> {
  const endsAtMs = Date.now() + limitMs;
  while (!holds()) {
    if (Date.now() > endsAtMs) {
      throw new Error(`${what} did not come about within ${limitMs} ms`);
    }
    await sleep(POLL_MS);
  }
}
