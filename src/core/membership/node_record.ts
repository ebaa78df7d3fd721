import type {Standing} from './standing.js';
import type {NodeState} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {makeId, type NodeId} from '../ids/index.js';
import {z} from 'zod';

const PREFIX = 'nodes/';
const RECORD = z.object({
  incarnation: z.string(),
  startedAtMs: z.number(),
  zone: z.string(),
  callerAddress: z.string(),
  controlAddress: z.string(),
  leaseTtlMs: z.number(),
});

/** Reads and writes nodes' records in the store. */
export const nodeRecord = {
  prefix: PREFIX,

  key: (nodeId: NodeId) => PREFIX + nodeId,

  nodeId: (key: string) => makeId<NodeId>(key.slice(PREFIX.length)),

  write(state: NodeState): string {
    const {incarnation, zone, callerAddress, controlAddress} = state.self;
    const {startedAtMs, leaseTtlMs} = state.membership;
    return JSON.stringify({
      incarnation,
      startedAtMs,
      zone,
      callerAddress,
      controlAddress,
      leaseTtlMs,
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
    const {leaseTtlMs: _, ...standing} = parsed.data;
    return {...standing, ...unheard} as unknown as Standing;
  },

  /** Length of the lease under which the record stands. */
  leaseTtlMs(value: string): number {
    const parsed = RECORD.safeParse(parseJson(value));
    return parsed.success
      ? parsed.data.leaseTtlMs
      : MEMBERSHIP_TIMING.maxLeaseTtlMs;
  },
};

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
