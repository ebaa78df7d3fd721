import type {ConfigDocument} from './config_document.js';

/** The configuration in force at this node. */
export interface ConfigState {
  /** Only ever replaced by a document of a higher revision. */
  document: ConfigDocument;
  /** Set from the start, or from a pause, until the newest revision is known. */
  isCatchingUp: boolean;
}
