import {z} from 'zod';
import type {EngineReport} from '../core/targets/types.js';

const ASSIGNMENT = z.object({
  replicaId: z.string(),
  generation: z.number().int(),
  fencingToken: z.number().int(),
  service: z.string(),
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.enum(['unified', 'prefill', 'decode']),
  vms: z.array(z.string()),
  leader: z.string(),
  slots: z.number().int(),
});

const REPORT = z.object({
  vmId: z.string(),
  bootId: z.string(),
  sequence: z.number(),
  state: z.enum(['idle', 'loading', 'ready', 'leaving']),
  assignment: ASSIGNMENT.optional(),
  slots: z.number(),
  running: z.number(),
  queued: z.number(),
  tokensPerSecond: z.number(),
});

/** Parses an engine report; undefined when the text is malformed. */
export function parseReport(text: string): EngineReport | undefined {
  try {
    return REPORT.parse(JSON.parse(text)) as EngineReport;
  } catch {
    return undefined;
  }
}
