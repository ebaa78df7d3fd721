import assert from 'node:assert/strict';
import fc from 'fast-check';
import {describe, it} from 'node:test';
import type {VmId} from '../../../src/core/ids/index.js';
import {callerWire} from '../../../platform/callers/caller_wire.js';
import {digestCodec} from '../../../src/serving/digest_codec.js';
import {engineWire} from '../../../platform/engines/engine_wire.js';
import {findLastEventId} from '../../../src/serving/find_last_event_id.js';
import {makeId} from '../../../src/core/ids/index.js';
import {propertyOptions} from '../../support/property_options.js';
import {readConfig} from '../../../platform/config/read_config.js';
import {readEngine} from '../../../platform/engines/read_engine.js';

const VM = makeId<VmId>('i-1');
const ENTRY = {
  service: 'pool',
  address: '10.0.0.1:80',
  zone: 'a',
  version: 'v1',
  slots: 18,
  state: 'ready',
  'cold-left-ms': 0,
  born: 5,
  models: [{name: 'm', version: 1, adapters: []}],
  staged: ['m'],
  domain: 'd0',
  group: {name: 'g', epoch: 3, rank: 0, state: 'open'},
  sequence: 4,
};
const CONFIG = {
  version: 7,
  routes: [
    {
      name: 'r',
      host: 'Host.example',
      'path-prefix': '/a/',
      type: 'streaming',
      'timeout-ms': 8000,
      'latency-goal-ms': 400,
      priority: 1,
      split: [
        {service: 'x', weight: 90},
        {service: 'y', weight: 10},
      ],
      'max-attempts': 2,
      resumable: true,
      'gap-goal-ms': 250,
    },
    {
      name: 'r2',
      host: 'host.example',
      'path-prefix': '/a/b/',
      type: 'safe',
      'timeout-ms': 100,
      service: 'x',
    },
  ],
  services: [{name: 'x', 'health-path': '/h', 'max-conns': 9}],
  limits: {
    'max-header-bytes': 1,
    'max-body-bytes': 1,
    'header-timeout-ms': 1,
    'idle-timeout-ms': 1,
  },
  tenants: [{name: 't', 'api-keys': ['k1', 'k2'], priority: 1}],
};

describe('decoders of platform formats', () => {
  it('decode an engine entry into the internal record', () => {
    const engine = readEngine(VM, JSON.stringify(ENTRY), 9);
    assert.ok(typeof engine !== 'string');
    assert.equal(engine.domain, 'd0');
    assert.equal(engine.revision, 9);
    assert.deepEqual(engine.membership, {
      replicaId: 'g',
      epoch: 3,
      rank: 0,
      stage: 'open',
    });
  });

  it('decode a configuration with routes by longest prefix, traffic splits and API keys', () => {
    const config = readConfig(JSON.stringify(CONFIG));
    assert.ok(typeof config !== 'string');
    const routes = config.routesByHost.get('host.example')!;
    assert.deepEqual(
      routes.map(({name}) => name),
      ['r2', 'r'],
    );
    assert.equal(routes[1]!.shares.length, 2);
    assert.equal(config.organisationsByKey?.get('k2')?.organisationId, 't');
  });

  it('return an error message for an invalid entry or configuration, and never throw', () => {
    fc.assert(
      fc.property(
        fc.constantFrom<object>(ENTRY, CONFIG),
        fc.jsonValue(),
        fc.nat(),
        fc.nat(),
        (good, junk, at, lengthAt) => {
          const keys = Object.keys(good);
          const key = keys[at % keys.length]!;
          const text = JSON.stringify({...good, [key]: junk});
          const truncated = text.slice(0, lengthAt % (text.length + 1));
          for (const one of [text, truncated, JSON.stringify(junk)]) {
            const engine = readEngine(VM, one, 1);
            const config = readConfig(one);
            assert.ok(typeof engine === 'string' ? engine !== '' : engine.vmId);
            assert.ok(typeof config === 'string' ? config !== '' : true);
          }
        },
      ),
      propertyOptions(500, 20261208),
    );
  });

  it('accept any headers', () => {
    const value = fc.oneof(fc.string(), fc.constant(undefined));
    fc.assert(
      fc.property(
        fc.record({
          'x-token-count': value,
          'x-deadline-ms': value,
          'x-prefix-hash': value,
          authorization: value,
          'x-instance-load': value,
          'retry-after': value,
          connection: value,
        }),
        headers => {
          const head = callerWire.readCaller(headers);
          assert.ok(Number.isFinite(head.promptTokens));
          assert.ok(
            head.callerTimeoutMs === undefined ||
              Number.isFinite(head.callerTimeoutMs),
          );
          callerWire.readTarget(200, headers);
          callerWire.selectResponseHeaders(headers);
          const sent = callerWire.writeAttempt(headers, {
            vmId: VM,
            targetTimeoutMs: 12.7,
            urgency: 3,
          });
          assert.equal(sent['x-deadline-ms'], 12);
          assert.equal(sent['authorization'], undefined);
        },
      ),
      propertyOptions(500, 20261209),
    );
  });

  it('read the shared parts of a prompt and leave out the last one', () => {
    const sharedPartsOf = (text: string) =>
      callerWire.readCaller({'x-prefix-hash': text}).sharedPartIds;
    assert.deepEqual(sharedPartsOf('5c1e07a2:800,91bd3f06:410,e4402b7d:250'), [
      '5c1e07a2',
      '91bd3f06',
    ]);
    assert.deepEqual(sharedPartsOf('5c1e07a2:800'), []);
    assert.deepEqual(sharedPartsOf(''), []);
    assert.deepEqual(sharedPartsOf(',:7, a ,b:1'), ['a']);
    assert.deepEqual(sharedPartsOf(`${'x'.repeat(65)}:1,a:1,b:1`), ['a']);
    assert.equal(sharedPartsOf('a:1,'.repeat(100)).length, 32);
    assert.deepEqual(callerWire.readCaller({}).sharedPartIds, []);
  });

  it('reject datagrams that are not digests', () => {
    fc.assert(
      fc.property(fc.oneof(fc.uint8Array(), fc.json()), bytes => {
        const digest = digestCodec.decode(Buffer.from(bytes as Uint8Array));
        assert.equal(digest, undefined);
      }),
      propertyOptions(500, 20261210),
    );
  });

  it('accept any engine report, and find the last event ID of any stream', () => {
    fc.assert(
      fc.property(fc.string(), fc.nat({max: 99}), (text, id) => {
        engineWire.readProbe(text);
        const events = Buffer.from(`id: ${id}\ndata: id: 7\n\n`);
        assert.equal(findLastEventId(events), String(id));
        findLastEventId(Buffer.from(text));
      }),
      propertyOptions(500, 20261211),
    );
  });
});
