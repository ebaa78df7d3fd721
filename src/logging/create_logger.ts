import './enable_roarr.js'; // before roarr
import {ROARR, Roarr, logLevels} from 'roarr';
import type {Logger} from './logger.js';
import type {Settings} from '../settings/types.js';
import {redact} from './redact.js';

type Context = Parameters<typeof Roarr.child>[0];

/** Creates a node's logger: JSON lines on standard error, without secrets, filtered by the configured level. */
export function createLogger(settings: Settings): Logger {
  // The writer is global: all nodes of a process share it.
  ROARR.write = line => void process.stderr.write(line + '\n');
  const minLevel = logLevels[settings.log.level];
  const {operatorTokenSha256, peerSecret} = settings.secrets;
  const secrets = [peerSecret, operatorTokenSha256];
  const node = settings.node.nodeId;
  return {
    write(level, area, message, fields = {}) {
      if (logLevels[level] < minLevel) return;
      const clean = redact({...fields, message}, secrets);
      const {message: text, ...rest} = clean;
      const context = {...rest, level, area, node} as Context;
      Roarr.child(context as never)[level](escapeFormat(String(text)));
    },
  };
}

/** Roarr interprets "%" as the start of a placeholder. */
function escapeFormat(message: string): string {
  return message.replaceAll('%', '%%');
}
