import type {Standing} from './standing.js';
import type {NodeState} from '../state/types.js';
import {makeId, type NodeId} from '../ids/index.js';
import {z} from 'zod';

const PREFIX = 'nodes/';
const RECORD = z.object({
  incarnation: z.string(),
  startedAtMs: z.number(),
  zone: z.string(),
  callerAddress: z.string(),
  controlAddress: z.string(),
});

/** Reads and writes nodes' records in the store. */
export const nodeRecord = {
  prefix: PREFIX,

  key: (nodeId: NodeId) => PREFIX + nodeId,

  nodeId: (key: string) => makeId<NodeId>(key.slice(PREFIX.length)),

  write(state: NodeState): string {
    const {incarnation, zone, callerAddress, controlAddress} = state.self;
    const {startedAtMs} = state.membership;
    return JSON.stringify({
      incarnation,
      startedAtMs,
      zone,
      callerAddress,
      controlAddress,
    });
  },

  /** Undefined when the value is no node record. */
  read(value: string): Standing | undefined {
    if (value === '') return undefined;
    const parsed = RECORD.safeParse(parseJson(value));
    if (!parsed.success) return undefined;
    const unheard = {
      sequence: 0,
      phase: 'starting',
      configRevision: 0,
      queued: 0,
      running: 0,
    };
    return {...parsed.data, ...unheard} as unknown as Standing;
  },
};

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
