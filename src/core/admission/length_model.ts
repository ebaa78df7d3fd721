import type {RequestInfo} from '../requests/types.js';
import {DecayedQuantile} from './decayed_quantile.js';

const EXPECTED_QUANTILE = 0.75;
const TYPICAL_QUANTILE = 0.5;
const FIRST_GUESS_TOKENS = 128;
/** Requests of this many times a service's typical output are long. */
const LONG_FACTOR = 8;
const MIN_LONG_TOKENS = 256;
const MAX_KEYS = 4096;

/** Learns output lengths by organisation, service and the size of the stated bound. */
export class LengthModel {
  private readonly byKey = new Map<string, DecayedQuantile>();
  private readonly typical = new Map<string, DecayedQuantile>();

  /** Output tokens that a request is expected to make; a guess until some are known. */
  expectedTokens(info: RequestInfo): number {
    const expected = this.learnedTokens(info) ?? FIRST_GUESS_TOKENS;
    return Math.min(info.maxOutputTokens ?? Infinity, expected);
  }

  /** The same by answers alone; undefined when there was none. */
  learnedTokens(info: RequestInfo): number | undefined {
    const learned = this.byKey.get(keyOf(info))?.value;
    if (learned === undefined) return undefined;
    return Math.min(info.maxOutputTokens ?? Infinity, learned);
  }

  /** Output from which a request of the service counts as long. */
  longTokens(service: string): number {
    const typical = this.typical.get(service)?.value ?? FIRST_GUESS_TOKENS;
    return Math.max(MIN_LONG_TOKENS, LONG_FACTOR * typical);
  }

  /** Learns from an answer that ran to its end. */
  learn(info: RequestInfo, tokens: number): void {
    const key = keyOf(info);
    const learned =
      this.byKey.get(key) ?? new DecayedQuantile(EXPECTED_QUANTILE, tokens);
    learned.add(tokens);
    this.byKey.delete(key);
    this.byKey.set(key, learned);
    if (this.byKey.size > MAX_KEYS) this.forgetOldest();
    const typical =
      this.typical.get(info.service) ??
      new DecayedQuantile(TYPICAL_QUANTILE, tokens);
    typical.add(tokens);
    this.typical.set(info.service, typical);
  }

  private forgetOldest(): void {
    const [oldest] = this.byKey.keys();
    this.byKey.delete(oldest!);
  }
}

/** Callers that state a bound of one size are alike; those that state none are their own kind. */
function keyOf(info: RequestInfo): string {
  const {organisation, service, maxOutputTokens} = info;
  const size =
    maxOutputTokens === undefined
      ? 'none'
      : Math.ceil(Math.log2(Math.max(1, maxOutputTokens)));
  return `${organisation}\n${service}\n${size}`;
}
