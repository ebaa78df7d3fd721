import {createHash, timingSafeEqual} from 'node:crypto';

const BEARER = /^Bearer (\S+)$/;

/** Compares a bearer token with its SHA-256 in constant time. */
export function checkOperatorToken(
  authorization: string | undefined,
  expectedSha256: string,
): boolean {
  const token = BEARER.exec(authorization ?? '')?.[1] ?? '';
  const given = createHash('sha256').update(token).digest();
  const expected = Buffer.from(expectedSha256, 'hex');
  if (expected.length !== given.length) return false;
  return timingSafeEqual(given, expected) && token !== '';
}
