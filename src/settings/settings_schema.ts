import {z} from 'zod';
import type {NodeId, ZoneId} from '../core/ids/index.js';
import {
  choiceField,
  durationField,
  integerField,
  listField,
  nameField,
  sha256Field,
  sizeField,
  textField,
} from '../core/config/files/fields/index.js';
import {addressField} from './address_field.js';

const ROLES = ['entry', 'relay', 'observer', 'broker', 'steward'] as const;
const LEVELS = ['debug', 'info', 'warn', 'error'] as const;
const DEFAULT_CALLS_PER_SECOND = 100;
const DEFAULT_FLEET_CALLS_PER_SECOND = 1500;
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;
const DEFAULT_IDLE_TIMEOUT_MS = 60_000;
const DEFAULT_TARGET_SILENCE_MS = 20_000;
const MIN_SECRET_LENGTH = 16;

const secretField = () =>
  textField(`a secret of at least ${MIN_SECRET_LENGTH} characters`, text =>
    text.length >= MIN_SECRET_LENGTH ? text : undefined,
  );
const pathField = () =>
  textField('the path of a file', text => (text === '' ? undefined : text));

/** Schemas for the sections of a node's settings file. */
export const SETTINGS_SCHEMA = {
  node: z.strictObject({
    name: nameField<NodeId>(),
    zone: nameField<ZoneId>(),
    region: nameField(),
    callerAddress: addressField(),
    controlAddress: addressField(),
    seedPeers: listField(addressField(), {
      items: 'control addresses (host:port)',
      least: 0,
    }).default([]),
    roles: listField(choiceField(ROLES), {
      items: `roles (${ROLES.join(', ')})`,
      least: 1,
    }).default([...ROLES]),
  }),
  platform: z.strictObject({
    address: addressField(),
    maxCallsPerSecond: integerField(10, 10_000).default(
      DEFAULT_CALLS_PER_SECOND,
    ),
    fleetCallsPerSecond: integerField(10, 1_000_000).default(
      DEFAULT_FLEET_CALLS_PER_SECOND,
    ),
  }),
  limits: z.strictObject({
    maxBody: sizeField('1KB', '256MB').default(DEFAULT_MAX_BODY_BYTES),
    maxHeader: sizeField('1KB', '1MB').default(DEFAULT_MAX_HEADER_BYTES),
    requestTimeout: durationField('100ms', '10m').default(
      DEFAULT_REQUEST_TIMEOUT_MS,
    ),
    idleTimeout: durationField('100ms', '1h').default(DEFAULT_IDLE_TIMEOUT_MS),
    targetSilence: durationField('100ms', '10m').default(
      DEFAULT_TARGET_SILENCE_MS,
    ),
  }),
  secrets: z.strictObject({
    operatorTokenSha256: sha256Field(),
    peerSecret: secretField(),
  }),
  log: z.strictObject({level: choiceField(LEVELS).default('info')}),
  record: z.strictObject({path: pathField().optional()}),
} as const;
