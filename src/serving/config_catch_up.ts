import type {ServingContext, ServingPart} from './types.js';
import type {StoreWatch} from './store_watch.js';

const LOOK_MS = 150;
/** A node may be this much later than its peers before it asks beside its watch, which may hang on a silent connection. */
const BEHIND_MS = 250;
const AGAIN_MS = 1000;

/** Reads the configuration anew when peers have a later one than this node. */
export class ConfigCatchUp implements ServingPart {
  private timer?: NodeJS.Timeout;
  private behindSinceMs?: number;
  private askedAtMs = -Infinity;

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
    if (latest === version) {
      this.behindSinceMs = undefined;
      return;
    }
    this.behindSinceMs ??= nowMs;
    const isDue = nowMs - this.askedAtMs >= AGAIN_MS;
    if (nowMs - this.behindSinceMs < BEHIND_MS || !isDue) return;
    this.askedAtMs = nowMs;
    logger.write('info', 'config', 'behind peers', {version, latest});
    void this.watch.refresh();
  }
}
