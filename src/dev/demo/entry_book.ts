import {Agent} from 'node:http';
import type {EntriesAnswer, Entry} from '../../core/entries/types.js';
import {httpExchange} from './http_exchange.js';

const ASK_TIMEOUT_MS = 1000;
const AVOID_MS = 5000;

/** What a caller knows of the addresses to use: asks for entries, and keeps the answer for `keepMs`. */
export class EntryBook {
  private entries: readonly Entry[] = [];
  private validUntilMs = 0;
  private readonly avoidUntilMs = new Map<string, number>();
  private asking?: Promise<void> | undefined;

  constructor(
    /** Addresses known from the start, as a caller's own settings have them. */
    private readonly known: readonly string[],
    private readonly agent: Agent,
    private readonly query: string,
  ) {}

  /** The address to use now; undefined when none answers. */
  async pick(): Promise<string | undefined> {
    if (Date.now() >= this.validUntilMs) await this.refresh();
    const usable = this.entries.filter(one => !this.isAvoided(one.address));
    return usable[0]?.address;
  }

  /** Notes that an address did not answer: it is left alone for a while, and entries are asked for anew. */
  avoid(address: string): void {
    this.avoidUntilMs.set(address, Date.now() + AVOID_MS);
    this.validUntilMs = 0;
  }

  /** Takes the entries of a refusal: they say where to go instead. */
  take(entries: readonly Entry[]): void {
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
