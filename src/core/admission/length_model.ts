import type {RequestInfo} from '../requests/types.js';
import {DecayedQuantile} from './decayed_quantile.js';

const EXPECTED_QUANTILE = 0.75;
const TYPICAL_QUANTILE = 0.5;
const DEFAULT_OUTPUT_TOKENS = 128;
/** Requests with this multiple of a service's typical output are long. */
const LONG_FACTOR = 8;
const MIN_LONG_TOKENS = 256;
/** Bounds the memory of the model; the least recently updated key is evicted. */
const MAX_KEYS = 4096;

/** Learns output lengths by organisation, service and order of magnitude of the requested bound. */
export class LengthModel {
  private readonly byKey = new Map<string, DecayedQuantile>();
  private readonly typical = new Map<string, DecayedQuantile>();

  /** Expected output tokens of a request; a default until responses of its kind were seen. */
  expectedTokens(info: RequestInfo): number {
    const expected = this.learnedTokens(info) ?? DEFAULT_OUTPUT_TOKENS;
    return Math.min(info.maxOutputTokens ?? Infinity, expected);
  }

  /** Expected output tokens by completed responses alone; undefined when there were none. */
  learnedTokens(info: RequestInfo): number | undefined {
    const learned = this.byKey.get(keyOf(info))?.value;
    if (learned === undefined) return undefined;
    return Math.min(info.maxOutputTokens ?? Infinity, learned);
  }

  /** Output tokens from which a request of the service is classified as long. */
  longTokens(service: string): number {
    const typical = this.typical.get(service)?.value ?? DEFAULT_OUTPUT_TOKENS;
    return Math.max(MIN_LONG_TOKENS, LONG_FACTOR * typical);
  }

  /** Updates the model with the output tokens of a completed response. */
  learn(info: RequestInfo, tokens: number): void {
    const key = keyOf(info);
    const learned =
      this.byKey.get(key) ?? new DecayedQuantile(EXPECTED_QUANTILE, tokens);
    learned.add(tokens);
    this.byKey.delete(key);
    this.byKey.set(key, learned);
    if (this.byKey.size > MAX_KEYS) this.evictOldest();
    const typical =
      this.typical.get(info.service) ??
      new DecayedQuantile(TYPICAL_QUANTILE, tokens);
    typical.add(tokens);
    this.typical.set(info.service, typical);
  }

  private evictOldest(): void {
    const [oldest] = this.byKey.keys();
    this.byKey.delete(oldest!);
  }
}

/**
 * Requests whose bounds round up to the same power of two share a key; those
 * without a bound have their own.
 */
function keyOf(info: RequestInfo): string {
  const {organisation, service, maxOutputTokens} = info;
  const size =
    maxOutputTokens === undefined
      ? 'none'
      : Math.ceil(Math.log2(Math.max(1, maxOutputTokens)));
  return `${organisation}\n${service}\n${size}`;
}
