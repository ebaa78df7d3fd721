import './enable_roarr.js'; // before roarr
import {ROARR, Roarr} from 'roarr';
import type {Logger} from './logger.js';
import {BoundedWriter} from './bounded_writer.js';
import {LogRateLimiter} from './log_rate_limiter.js';

const STDOUT = 1;

interface ServingLogger extends Logger {
  /** Settles when all buffered lines are written. */
  flush(): Promise<void>;
}

type Context = Parameters<typeof Roarr.child>[0];

/**
 * Creates a logger that writes JSON lines to standard output without blocking.
 * Lines of each message are rate-limited; the next line that is written
 * carries the counts of those suppressed and dropped. Debug lines are ignored.
 */
export function createServingLogger(nodeId: string): ServingLogger {
  const writer = new BoundedWriter(STDOUT);
  const rateLimiter = new LogRateLimiter();
  ROARR.write = line => writer.writeLine(line);
  const log = (
    level: 'debug' | 'info' | 'warn' | 'error',
    area: string,
    message: string,
    fields: Readonly<Record<string, unknown>>,
  ) => {
    const context = {...fields, level, area, node: nodeId} as Context;
    // Roarr interprets "%" as the start of a placeholder.
    Roarr.child(context as never)[level](message.replaceAll('%', '%%'));
  };
  return {
    write(level, area, message, fields = {}) {
      if (level === 'debug') return;
      const permit = rateLimiter.take(`${area}/${message}`, Date.now());
      if (!permit.allowed) return;
      const dropped = writer.takeDropped();
      log(level, area, message, {
        ...fields,
        ...(permit.suppressed > 0 ? {suppressed: permit.suppressed} : {}),
        ...(dropped > 0 ? {dropped} : {}),
      });
    },
    flush: () => writer.flush(),
  };
}
