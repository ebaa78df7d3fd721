import type {NodeId, VmId} from '../../ids/index.js';
import {hashText} from '../../membership/hash_text.js';

interface Candidate {
  readonly nodeId: NodeId;
  readonly coreCount: number;
}

/** Sorts nodes by weighted rendezvous hash for an engine: a node's share of the engines follows its cores, and the order of others does not depend on it. */
export function rankOwners(
  vmId: VmId,
  candidates: Iterable<Candidate>,
): NodeId[] {
  return [...candidates]
    .map(({nodeId, coreCount}) => ({
      nodeId,
      score: -coreCount / Math.log(hashText(`cold ${vmId} ${nodeId}`)),
    }))
    .sort((a, b) => b.score - a.score || (a.nodeId < b.nodeId ? -1 : 1))
    .map(({nodeId}) => nodeId);
}
