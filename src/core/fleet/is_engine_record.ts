import type {EngineRecord, Membership, MembershipStage} from './types.js';
import {isAddress} from './is_address.js';

const STAGES: readonly MembershipStage[] = [
  'joining',
  'ready',
  'open',
  'closing',
  'broken',
];

/** Whether a value that another node sends is an engine's record. */
export function isEngineRecord(value: unknown): value is EngineRecord {
  const record = value as Partial<EngineRecord> | null | undefined;
  return (
    typeof record === 'object' &&
    record !== null &&
    isText(record.vmId) &&
    isText(record.service) &&
    isAddress(record.address) &&
    isText(record.zone) &&
    (record.domain === undefined || isText(record.domain)) &&
    isCount(record.slotCount) &&
    typeof record.isLeaving === 'boolean' &&
    Number.isSafeInteger(record.bornAtMs) &&
    isCount(record.sequence) &&
    isCount(record.revision) &&
    isTexts(record.models) &&
    isTexts(record.stagedModels) &&
    (record.membership === undefined || isMembership(record.membership))
  );
}

function isMembership(value: unknown): value is Membership {
  const membership = value as Partial<Membership> | null;
  return (
    typeof membership === 'object' &&
    membership !== null &&
    isText(membership.replicaId) &&
    isCount(membership.epoch) &&
    isCount(membership.rank) &&
    STAGES.includes(membership.stage as MembershipStage)
  );
}

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

function isTexts(value: unknown): boolean {
  return Array.isArray(value) && value.every(isText);
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
