import {z} from 'zod';
import type {OperatorRequest} from '../core/operators/types.js';

const MAX_FILES = 10_000;
const MAX_RECORDS = 10_000;
const DEFAULT_HISTORY = 20;
const DEFAULT_AUDIT = 100;

const FILE = z.strictObject({path: z.string().min(1), text: z.string()});
const limit = (defaultLimit: number) =>
  z.int().min(1).max(MAX_RECORDS).default(defaultLimit);

/** Schema of operators' requests, by `kind`. */
export const OPERATOR_REQUEST_SCHEMA: z.ZodType<OperatorRequest> =
  z.discriminatedUnion('kind', [
    z.strictObject({
      kind: z.literal('publish'),
      publicationId: z.string().min(8).max(128),
      baseRevision: z.int().min(0).optional(),
      files: z.array(FILE).max(MAX_FILES),
      prune: z.boolean().default(false),
    }),
    z.strictObject({kind: z.literal('configShow')}),
    z.strictObject({
      kind: z.literal('configHistory'),
      limit: limit(DEFAULT_HISTORY),
    }),
    z.strictObject({kind: z.literal('status')}),
    z.strictObject({kind: z.literal('services')}),
    z.strictObject({kind: z.literal('replicas')}),
    z.strictObject({kind: z.literal('audit'), limit: limit(DEFAULT_AUDIT)}),
    z.strictObject({kind: z.literal('drain'), node: z.string().min(1)}),
  ]);
