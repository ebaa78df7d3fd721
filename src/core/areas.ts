import type {NodeEvent} from './events/types.js';
import type {Step} from './state/types.js';
import {reduceAdmission} from './admission/index.js';
import {reduceAudit} from './audit/index.js';
import {reduceConfig} from './config/index.js';
import {reduceCredits} from './credits/index.js';
import {reduceDrain} from './drain/index.js';
import {reduceMembership} from './membership/index.js';
import {reduceOnce} from './once/index.js';
import {reduceOperators} from './operators/index.js';
import {reduceQuarantine} from './quarantine/index.js';
import {reduceReplicas} from './replicas/index.js';
import {reduceRequests} from './requests/index.js';
import {reduceRouting} from './routing/index.js';
import {reduceTargets} from './targets/index.js';

interface Area {
  readonly reduce: (step: Step, event: NodeEvent) => void;
  /** Event types that the area handles; undefined: all. */
  readonly types?: readonly NodeEvent['type'][];
}

/** Areas in the order in which they reduce each event. */
export const AREAS: readonly Area[] = [
  // Membership comes first: a node whose process was paused gives up its authority before it acts.
  {reduce: reduceMembership},
  {
    reduce: reduceConfig,
    types: [
      'tick',
      'storeResult',
      'peerExchanged',
      'peerAsked',
      'peerAnswered',
      'operatorAsked',
    ],
  },
  {reduce: reduceReplicas},
  {reduce: reduceTargets},
  {
    reduce: reduceRouting,
    types: ['tick', 'targetReported', 'targetCacheChanged'],
  },
  {reduce: reduceCredits, types: ['tick', 'peerExchanged']},
  {
    reduce: reduceQuarantine,
    types: [
      'attemptFailed',
      'targetReported',
      'peerExchanged',
      'peerAsked',
      'peerAnswered',
      'tick',
    ],
  },
  {
    reduce: reduceOnce,
    types: ['storeResult', 'peerAnswered', 'peerAsked', 'tick'],
  },
  {
    reduce: reduceAdmission,
    types: ['attemptProgress', 'attemptEnded', 'tick'],
  },
  {
    reduce: reduceRequests,
    types: [
      'requestArrived',
      'callerGone',
      'attemptFirstToken',
      'attemptProgress',
      'attemptEnded',
      'attemptFailed',
      'tick',
    ],
  },
  {reduce: reduceDrain},
  {reduce: reduceOperators, types: ['operatorAsked']},
  {reduce: reduceAudit, types: ['operatorAsked', 'storeResult', 'tick']},
];
