import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EventLoop} from '../../../src/runtime/event_loop.js';

interface TestEvent {
  readonly type: string;
}

interface TestEffect {
  readonly type: 'note' | 'fail';
  readonly event: string;
}

/** A loop whose events have a failing effect before another one; the reducer throws on `spoiled`. */
function startLoop(onError?: (error: unknown, event: TestEvent) => void) {
  const applied: string[] = [];
  const handled: string[] = [];
  const loop = new EventLoop<string[], TestEvent, TestEffect>({
    state: applied,
    clock: {nowMs: () => 0},
    reduce: (state, {type}) => {
      state.push(type);
      if (type === 'spoiled') throw new Error('spoiled');
      return [
        {type: 'fail', event: type},
        {type: 'note', event: type},
      ];
    },
    ...(onError && {onError}),
  });
  const noop = {close: async () => {}, destroy: () => {}};
  loop.addHandler({
    ...noop,
    types: ['fail'],
    handle: ({event}) => {
      if (event === 'first') loop.dispatch({type: 'nested'});
      if (event === 'first') throw new Error('handler');
    },
  });
  loop.addHandler({
    ...noop,
    types: ['note'],
    handle: ({event}) => void handled.push(event),
  });
  return {loop, applied, handled};
}

// Rule CONFIG: an exception in a tick left its event in the queue, to be applied again.
describe('an exception in an event loop', () => {
  it('is reported, and the other effects and events are carried out once', () => {
    const errors: string[] = [];
    const {loop, applied, handled} = startLoop((error, {type}) =>
      errors.push(`${type}: ${(error as Error).message}`),
    );
    loop.dispatch({type: 'first'});
    loop.dispatch({type: 'spoiled'});
    loop.dispatch({type: 'last'});
    assert.deepEqual(applied, ['first', 'nested', 'spoiled', 'last']);
    assert.deepEqual(handled, ['first', 'nested', 'last']);
    assert.deepEqual(errors, ['first: handler', 'spoiled: spoiled']);
  });

  it('is thrown after the queued events where nothing reports it', () => {
    const {loop, applied, handled} = startLoop();
    assert.throws(() => loop.dispatch({type: 'first'}), /handler/);
    loop.dispatch({type: 'last'});
    assert.deepEqual(applied, ['first', 'nested', 'last']);
    assert.deepEqual(handled, ['first', 'nested', 'last']);
  });
});
