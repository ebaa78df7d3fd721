import {test} from 'node:test';
import fc from 'fast-check';
import {propertyOptions} from '../../support/property_options.js';
import {OnceWorld} from '../../support/once_world.js';

const NODES = 3;
const SCHEDULES = 10_000;
const SEED = 20_261;

const actionArb = fc.record({
  afterMs: fc.constantFrom(0, 1, 2, 5, 20, 60, 300, 1200),
  at: fc.nat(NODES - 1),
  kind: fc.constantFrom(
    'send',
    'send',
    'send',
    'send',
    'leave',
    'restart',
    'freeze',
    'thaw',
    'storeDown',
    'storeUp',
  ),
  key: fc.constantFrom('k1', 'k1', 'k2'),
});

const faultsArb = fc.record({
  store: fc.constantFrom(0, 0.1, 0.4),
  target: fc.constantFrom(0, 0.2, 0.5),
  network: fc.constantFrom(0, 0.2),
});

test('in random schedules an idempotency key never runs twice, and a not-run verdict is never wrong', () => {
  fc.assert(
    fc.property(
      fc.nat(),
      faultsArb,
      fc.array(actionArb, {minLength: 2, maxLength: 12}),
      (seed, faults, actions) => {
        const once = new OnceWorld(seed, NODES, faults);
        const sent: {at: number; requestId: ReturnType<OnceWorld['send']>}[] =
          [];
        for (const {afterMs, at, kind, key} of actions) {
          once.runFor(afterMs);
          if (kind === 'send') sent.push({at, requestId: once.send(at, key)});
          if (kind === 'restart') once.restart(at);
          if (kind === 'freeze') once.node(at).freeze();
          if (kind === 'thaw') once.node(at).thaw();
          if (kind === 'storeDown') once.setStoreDown(true);
          if (kind === 'storeUp') once.setStoreDown(false);
          const last = sent.at(-1);
          if (kind === 'leave' && last) {
            once.callerGone(last.at, last.requestId);
          }
        }
        once.setStoreDown(false);
        for (let at = 0; at < NODES; at++) once.node(at).thaw();
        once.runFor(4000);
        once.send(0, 'k1');
        once.runFor(4000);
        const violations = once.violations();
        if (violations.length > 0) throw new Error(violations.join('; '));
      },
    ),
    propertyOptions(SCHEDULES, SEED),
  );
});
