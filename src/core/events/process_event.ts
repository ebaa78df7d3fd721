/** Time passes. The runtime sends one every `TICK_MS`. */
interface Tick {
  readonly type: 'tick';
}

/** First event of a node. `seed` feeds all random choices of the core. */
interface Started {
  readonly type: 'started';
  readonly seed: number;
}

/** SIGTERM, or an operator's drain. */
interface DrainRequested {
  readonly type: 'drainRequested';
  readonly reason: string;
}

/** What the process itself reports. */
export type ProcessEvent = Tick | Started | DrainRequested;
