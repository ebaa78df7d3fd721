import type {Logger} from './logger.js';
import type {Settings} from '../settings/types.js';

const LEVELS = {debug: 20, info: 30, warn: 40, error: 50} as const;

/** Creates the node's logger. */
export function createLogger(settings: Settings): Logger {
  const least = LEVELS[settings.log.level];
  return {
    write(level, area, message, fields) {
      if (LEVELS[level] < least) return;
      const line = {
        level,
        area,
        message,
        node: settings.node.nodeId,
        ...fields,
      };
      process.stderr.write(JSON.stringify(line) + '\n');
    },
  };
}
