import type {Effect} from '../core/effects/types.js';
import type {VirtualNode} from './virtual_node.js';

/** Performs effects of the given types in virtual time instead of real I/O. */
export interface VirtualFake {
  readonly types: readonly Effect['type'][];
  handle(node: VirtualNode, effect: Effect): void;
}
