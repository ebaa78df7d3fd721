import type {ConfigDocument} from './config_document.js';

/** The configuration in force at this node. */
export interface ConfigState {
  /** Only ever replaced by a document of a higher revision. */
  document: ConfigDocument;
}
