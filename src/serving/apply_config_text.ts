import type {HeldConfig, ServingContext} from './types.js';

interface ConfigText {
  readonly text: string;
  readonly provenAtMs: number;
}

/** Puts a configuration in force, as the operator wrote it, and keeps it for nodes that ask for it. */
export function applyConfigText(
  {wire, events, logger}: ServingContext,
  held: HeldConfig,
  {text, provenAtMs}: ConfigText,
): void {
  const config = wire.sources.readConfig(text);
  if (typeof config === 'string') {
    logger.write('error', 'config', 'configuration not understood', {
      fault: config,
    });
    return;
  }
  if (held.text === undefined || config.version > held.version) {
    held.text = text;
    held.version = config.version;
  }
  events.dispatch({type: 'configRead', config, provenAtMs});
}
