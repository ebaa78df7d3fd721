import type {ServingContext, ServingPart} from './types.js';
import type {StoreWatch} from './store_watch.js';

/** Half the pause between digests: a new version is read about as soon as it is heard of. */
const LOOK_MS = 50;
/** Longer than an answer of the store takes in trouble that is worth waiting for. */
const AGAIN_MS = 1000;

/** Reads the configuration anew when peers have a later one than this node. */
export class ConfigCatchUp implements ServingPart {
  private timer?: NodeJS.Timeout;
  private askedAtMs = -Infinity;
  private askedFor = 0;

  constructor(
    private readonly context: ServingContext,
    private readonly watch: StoreWatch,
  ) {}

  start(): void {
    this.timer = setInterval(() => this.look(), LOOK_MS);
  }

  close(): Promise<void> {
    clearInterval(this.timer);
    return Promise.resolve();
  }

  private look(): void {
    const {state, clock, logger} = this.context;
    const nowMs = clock.nowMs();
    const version = state.config?.version ?? 0;
    let latest = version;
    for (const {digest} of state.peers.values()) {
      latest = Math.max(latest, digest.configVersion);
    }
    if (latest === version || latest === this.asked(nowMs)) return;
    this.askedFor = latest;
    this.askedAtMs = nowMs;
    logger.write('info', 'config', 'behind peers', {version, latest});
    void this.watch.refresh();
  }

  /** The version that was asked for a moment ago. */
  private asked(nowMs: number): number | undefined {
    return nowMs - this.askedAtMs < AGAIN_MS ? this.askedFor : undefined;
  }
}
