import './enable_roarr.js'; // before roarr
import {ROARR, Roarr, logLevels} from 'roarr';
import type {Logger} from './logger.js';
import type {Settings} from '../settings/types.js';
import {redact} from './redact.js';

type Context = Parameters<typeof Roarr.child>[0];

/** Creates the node's logger: JSON lines on standard error, from the level of the settings up. */
export function createLogger(settings: Settings): Logger {
  // One writer for all nodes of a process.
  ROARR.write = line => void process.stderr.write(line + '\n');
  const least = logLevels[settings.log.level];
  const {operatorTokenSha256, peerSecret} = settings.secrets;
  const secrets = [peerSecret, operatorTokenSha256];
  const node = settings.node.nodeId;
  return {
    write(level, area, message, fields = {}) {
      if (logLevels[level] < least) return;
      const clean = redact({...fields, message}, secrets);
      const {message: text, ...rest} = clean;
      const context = {...rest, level, area, node} as Context;
      Roarr.child(context as never)[level](escapeFormat(String(text)));
    },
  };
}

/** Roarr reads "%" as the start of a placeholder. */
function escapeFormat(message: string): string {
  return message.replaceAll('%', '%%');
}
