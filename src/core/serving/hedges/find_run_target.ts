import type {NodeId, VmId} from '../../ids/index.js';
import type {Run} from './types.js';

/** Returns the target or the peer of a run; undefined if there is none. */
export function findRunTarget(run: Run | undefined): VmId | NodeId | undefined {
  return run?.attempt?.vmId ?? run?.forward?.nodeId;
}
