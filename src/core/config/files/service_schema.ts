import {z} from 'zod';
import type {OrganisationId, ServiceName} from '../../ids/index.js';
import {
  booleanField,
  choiceField,
  durationField,
  integerField,
  labelField,
  listField,
  nameField,
} from './fields/index.js';

const DAY_MS = 86_400_000;
const DEFAULT_MAX_QUEUE = 1000;
const MAX_REPLICAS = 10_000;

/** Schemas for the sections of a service file. */
export const SERVICE_SCHEMA = {
  service: z.strictObject({
    name: nameField<ServiceName>(),
    kind: choiceField(['model', 'application']),
    organisations: listField(nameField<OrganisationId>(), {
      items: 'names of organisations',
      least: 1,
    }),
    timeout: durationField('100ms', '24h'),
    unrepeatable: booleanField().default(false),
    onceRetention: durationField('1m', '30d').default(DAY_MS),
    maxQueue: integerField(1, 100_000).default(DEFAULT_MAX_QUEUE),
    priority: integerField(0, 100).default(0),
  }),
  model: z.strictObject({
    model: labelField(),
    version: labelField(),
    adapters: listField(labelField(), {
      items: 'adapter labels',
      least: 0,
    }).default([]),
    replicas: integerField(0, MAX_REPLICAS),
    vmsPerReplica: integerField(1, 64),
    slotsPerReplica: integerField(1, 1024),
    minServing: integerField(0, MAX_REPLICAS).optional(),
  }),
  application: z.strictObject({
    slotsPerEngine: integerField(1, 4096),
  }),
} as const;
