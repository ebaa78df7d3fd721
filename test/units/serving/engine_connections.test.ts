import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {describe, it} from 'node:test';
import type {Socket} from 'node:net';
import {EngineConnections} from '../../../src/serving/engine_connections.js';

function createSocket(connecting: boolean): Socket {
  const socket = new EventEmitter();
  return Object.assign(socket, {connecting, destroyed: false}) as Socket;
}

describe('open connections to an engine', () => {
  it('count until they end, from their establishment on', () => {
    let nowMs = 100;
    const connections = new EngineConnections({nowMs: () => nowMs});
    const own = createSocket(false);
    const other = createSocket(true);
    connections.track(own);
    connections.track(other);
    assert.equal(connections.countOpenSince(Infinity, own), 0);
    nowMs = 200;
    other.emit('connect');
    assert.equal(connections.countOpenSince(199, own), 0);
    assert.equal(connections.countOpenSince(200, own), 1);
    other.emit('end');
    assert.equal(connections.countOpenSince(200, own), 0);
  });

  it('are in doubt after the target ended another one', () => {
    let nowMs = 100;
    const connections = new EngineConnections({nowMs: () => nowMs});
    const [own, first, second] = [0, 1, 2].map(() => createSocket(false));
    for (const socket of [own!, first!, second!]) connections.track(socket);
    own!.emit('end');
    assert.equal(connections.hasEndedSince(0, own!), false);
    first!.emit('close', false);
    assert.equal(connections.hasEndedSince(0, own!), false);
    nowMs = 110;
    second!.emit('close', true);
    assert.equal(connections.hasEndedSince(110, own!), true);
    assert.equal(connections.hasEndedSince(111, own!), false);
  });

  it('do not count while they are not read, since their end would go unnoticed', () => {
    const connections = new EngineConnections({nowMs: () => 0});
    const own = createSocket(false);
    const other = createSocket(false);
    connections.track(other);
    connections.setPaused(other, true);
    assert.equal(connections.countOpenSince(0, own), 0);
    connections.setPaused(other, false);
    assert.equal(connections.countOpenSince(0, own), 1);
  });
});
