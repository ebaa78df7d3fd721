/** Passing of time; the runtime sends one every `TICK_MS`. */
interface Tick {
  readonly type: 'tick';
}

/** First event of a node. `seed` feeds all random choices of the core. */
interface Started {
  readonly type: 'started';
  readonly seed: number;
}

/** Drain of this node, by SIGTERM or an operator. */
interface DrainRequested {
  readonly type: 'drainRequested';
  readonly reason: string;
}

/** What the process reports about itself. */
export type ProcessEvent = Tick | Started | DrainRequested;
