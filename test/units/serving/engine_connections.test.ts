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
