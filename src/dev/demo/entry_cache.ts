import {Agent} from 'node:http';
import type {EntriesAnswer, Entry} from '../../core/entries/types.js';
import {httpExchange} from './http_exchange.js';

const ASK_TIMEOUT_MS = 1000;
const AVOID_MS = 5000;

/** Entry addresses of a caller: requests the list of entries and caches it for `keepMs`. */
export class EntryCache {
  private entries: readonly Entry[] = [];
  private validUntilMs = 0;
  private readonly avoidUntilMs = new Map<string, number>();
  private asking?: Promise<void> | undefined;

  constructor(
    /** Configured addresses from which the list of entries is requested. */
    private readonly known: readonly string[],
    private readonly agent: Agent,
    private readonly query: string,
  ) {}

  /** Returns the address to use now; undefined when no entry is usable. */
  async pick(): Promise<string | undefined> {
    if (Date.now() >= this.validUntilMs) await this.refresh();
    const usable = this.entries.filter(one => !this.isAvoided(one.address));
    return usable[0]?.address;
  }

  /**
   * Records that an address did not answer: it is not used for `AVOID_MS`, and
   * the list of entries is requested again.
   */
  avoid(address: string): void {
    this.avoidUntilMs.set(address, Date.now() + AVOID_MS);
    this.validUntilMs = 0;
  }

  /** Replaces the entries by those of a refusal, which lists the entries to use instead. */
  replaceEntries(entries: readonly Entry[]): void {
    this.entries = entries;
  }

  private isAvoided(address: string): boolean {
    return (this.avoidUntilMs.get(address) ?? 0) > Date.now();
  }

  private refresh(): Promise<void> {
    this.asking ??= this.ask().finally(() => {
      this.asking = undefined;
    });
    return this.asking;
  }

  private async ask(): Promise<void> {
    for (const address of this.known) {
      if (this.isAvoided(address)) continue;
      const exchange = await httpExchange({
        address,
        method: 'GET',
        path: `/v1/entries?${this.query}`,
        headers: {},
        agent: this.agent,
        timeoutMs: ASK_TIMEOUT_MS,
      });
      if (exchange?.status !== 200) {
        this.avoid(address);
        continue;
      }
      const answer = JSON.parse(exchange.body) as EntriesAnswer;
      this.entries = answer.entries;
      this.validUntilMs = Date.now() + answer.keepMs;
      return;
    }
  }
}
