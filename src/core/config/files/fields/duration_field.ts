import type {z} from 'zod';
import {textField} from './text_field.js';

const DURATION = /^(\d{1,9})(ms|s|m|h|d)$/;
const UNIT_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

/** A duration with its unit, in milliseconds; the bounds are included and given as written. */
export function durationField(least: string, most: string): z.ZodType<number> {
  const leastMs = parseDuration(least)!;
  const mostMs = parseDuration(most)!;
  const expected = `a duration with its unit (ms, s, m, h, d) from ${least} to ${most}`;
  return textField(expected, text => {
    const valueMs = parseDuration(text);
    if (valueMs === undefined) return undefined;
    return valueMs >= leastMs && valueMs <= mostMs ? valueMs : undefined;
  });
}

function parseDuration(text: string): number | undefined {
  const match = DURATION.exec(text);
  return match ? Number(match[1]) * UNIT_MS[match[2]!]! : undefined;
}
