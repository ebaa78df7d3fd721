import {createHash, timingSafeEqual} from 'node:crypto';

const BEARER = /^Bearer (\S+)$/;

/** Compares the SHA-256 of a bearer token with the expected one in constant time; false without a token. */
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
