import type {ConfigCache, ServingContext} from './types.js';

interface ConfigText {
  readonly text: string;
  /** Node time at which the store is known to have held this text as the newest; -Infinity when unknown. */
  readonly provenAtMs: number;
}

/** Parses and activates a configuration, and caches its original text for peers that fetch it. Invalid text is logged and ignored. */
export function applyConfigText(
  {wire, events, logger}: ServingContext,
  configCache: ConfigCache,
  {text, provenAtMs}: ConfigText,
): void {
  const config = wire.sources.readConfig(text);
  if (typeof config === 'string') {
    logger.write('error', 'config', 'configuration not understood', {
      fault: config,
    });
    return;
  }
  for (const fault of config.warnings ?? []) {
    logger.write('warn', 'config', 'configuration field not understood', {
      version: config.version,
      fault,
    });
  }
  if (configCache.text === undefined || config.version > configCache.version) {
    configCache.text = text;
    configCache.version = config.version;
  }
  events.dispatch({type: 'configRead', config, provenAtMs});
}
