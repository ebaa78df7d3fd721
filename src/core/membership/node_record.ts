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

/** Key and format of the record that each node keeps in the store. */
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

  /** Parses a record; undefined when the value is not a node record. */
  read(value: string): Standing | undefined {
    if (value === '') return undefined;
    const parsed = RECORD.safeParse(parseJson(value));
    if (!parsed.success) return undefined;
    const unreported = {
      sequence: 0,
      phase: 'starting',
      configRevision: 0,
      queued: 0,
      running: 0,
    };
    const {leaseTtlMs: _, ...standing} = parsed.data;
    return {...standing, ...unreported} as unknown as Standing;
  },

  /** Duration of the lease to which the record is attached; the longest one when unreadable. */
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
