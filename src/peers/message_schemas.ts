import type {PeerMessage} from '../core/peers/types.js';
import {z} from 'zod';

const MAX_LIST = 4096;
const text = z.string();
const count = z.number();
const phase = z.enum(['starting', 'serving', 'draining']);
const list = <T extends z.ZodType>(item: T) => z.array(item).max(MAX_LIST);

const standing = z.looseObject({
  incarnation: text,
  startedAtMs: count,
  sequence: count,
  zone: text,
  callerAddress: text,
  controlAddress: text,
  phase,
  configRevision: count,
  queued: count,
  running: count,
});

const gossip = z.looseObject({
  nodeId: text,
  standing,
  silentMs: count,
  suspected: z.boolean(),
});

const suspect = z.looseObject({
  fingerprint: text,
  losses: list(
    z.looseObject({targetId: text, bootId: text, isConfirmed: z.boolean()}),
  ),
  remainingMs: count,
});

const report = z.looseObject({
  vmId: text,
  bootId: text,
  sequence: count,
  state: text,
  slots: count,
  running: count,
  queued: count,
  tokensPerSecond: count,
});

const slots = z.tuple([text, count]);

const change = z.looseObject({
  key: text,
  text: text.nullable(),
  revision: count,
});

const publication = z.looseObject({
  revision: count,
  publicationId: text,
  operator: text,
  atMs: count,
  changed: list(text),
});

/** Schema of each message between nodes; unknown fields, as added by later versions, are accepted. */
export const MESSAGE_SCHEMAS: {
  readonly [T in PeerMessage['type']]: z.ZodType;
} = {
  'membership.heartbeat': z.looseObject({standing, heardSequence: count}),
  'membership.join': z.looseObject({nodeId: text}),
  'membership.gossip': z.looseObject({nodes: list(gossip)}),
  'config.pull': z.looseObject({sinceRevision: count}),
  'config.delta': z.looseObject({
    fromRevision: count,
    toRevision: count,
    floorRevision: count,
    changes: list(change),
    publications: list(publication),
  }),
  'config.noHistory': z.looseObject({revision: count}),
  'once.ask': z.looseObject({onceKey: text, incarnation: text, claim: text}),
  'once.answer': z.looseObject({onceKey: text, state: text}),
  'quarantine.suspects': z.looseObject({
    suspects: list(suspect),
    cleared: list(text),
  }),
  'quarantine.ask': z.looseObject({fingerprint: text, targetId: text}),
  'quarantine.answer': z.looseObject({isGranted: z.boolean()}),
  'routing.reports': z.looseObject({
    reports: list(z.looseObject({report, ageMs: count})),
  }),
  'routing.demand': z.looseObject({
    group: text,
    queued: count,
    started: count,
    own: list(slots),
  }),
  'routing.credits': z.looseObject({
    group: text,
    limits: list(slots).optional(),
  }),
};
