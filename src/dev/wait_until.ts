import {setTimeout as sleep} from 'node:timers/promises';

const POLL_MS = 50;

/** Polls until a condition holds; rejects with `what` in the message after `limitMs`. */
export async function waitUntil(
  what: string,
  limitMs: number,
  holds: () => boolean,
): Promise<void> {
  const endsAtMs = Date.now() + limitMs;
  while (!holds()) {
    if (Date.now() > endsAtMs) {
      throw new Error(`${what}: timed out after ${limitMs} ms`);
    }
    await sleep(POLL_MS);
  }
}
