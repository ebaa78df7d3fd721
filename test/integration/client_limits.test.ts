import {afterEach, describe, it} from 'node:test';
import {createSocket} from 'node:dgram';
import {deflateRawSync} from 'node:zlib';
import {ClientCrowd} from '../support/client_crowd.js';
import {
  LISTENERS,
  addressOf,
  fill,
  requestTo,
  writePipeline,
} from '../support/crowd_writes.js';
import type {Listener, Write} from '../support/crowd_writes.js';
import {LimitsWorld} from '../support/limits_world.js';
import {splitAddress} from '../../src/http/index.js';
import {writeEndlessly} from '../support/write_endlessly.js';

/** How long a crowd goes on before an ordinary client comes. */
const CROWD_MS = 5000;
/** A lower bound where the smallest machine would need a larger crowd to exceed its memory. */
const MACHINES: Partial<Record<Listener, {readonly 'memory-mb': number}>> = {
  ready: {'memory-mb': 140},
  directory: {'memory-mb': 140},
  documents: {'memory-mb': 140},
};

const pause = () => new Promise(resolve => setTimeout(resolve, CROWD_MS));

const ENDLESS_HEADS: Readonly<Record<string, string>> = {
  'a header without end': 'x',
  'header lines without end': 'X-More: more\r\n',
  'empty lines without end': '\r\n',
};

// Clients that nobody controls ended a process: out of memory, or without a descriptor left for others.
describe(
  'connections of clients that exceed the limits',
  {concurrency: false},
  () => {
    let world: LimitsWorld;
    const crowds: ClientCrowd[] = [];

    afterEach(async test => {
      for (const crowd of crowds.splice(0)) crowd.close();
      if ('diagnostic' in test) test.diagnostic(world.figures);
      await world.close();
    });

    async function send(
      listener: Listener,
      count: number,
      write?: Write,
    ): Promise<void> {
      const address = addressOf(world, listener);
      crowds.push(await ClientCrowd.open({address, count, write}));
    }

    for (const listener of LISTENERS) {
      it(`requests sent ahead at ${listener} whose answers stay unread`, async () => {
        world = await LimitsWorld.start({machine: MACHINES[listener]});
        await send(listener, 60, writePipeline(world, listener));
        await pause();
        await world.assertAnswers();
      });
    }

    for (const [name, text] of Object.entries(ENDLESS_HEADS)) {
      it(`${name} at every listener`, async () => {
        world = await LimitsWorld.start();
        const more = fill(text);
        for (const listener of LISTENERS) {
          const start =
            text === '\r\n' ? '' : requestTo(world, listener).slice(0, -2);
          await send(listener, 40, socket => {
            socket.write(text === 'x' ? `${start}X-More: ` : start);
            writeEndlessly(socket, more);
          });
        }
        await pause();
        await world.assertAnswers();
      });
    }

    for (const listener of ['callers', 'ready', 'directory'] as const) {
      it(`2,500 connections at ${listener} that send nothing`, async () => {
        world = await LimitsWorld.start();
        await send(listener, 2500);
        await pause();
        await world.assertAnswers();
      });
    }

    it('2,520 connections that send nothing, over all listeners', async () => {
      world = await LimitsWorld.start();
      for (const listener of LISTENERS) await send(listener, 420);
      await pause();
      await world.assertAnswers();
    });

    it('datagrams that are no digests, without end', async () => {
      world = await LimitsWorld.start();
      const bomb = deflateRawSync(Buffer.alloc(2_000_000, ' '));
      const datagrams = [
        Buffer.alloc(60_000, 'x'),
        Buffer.alloc(1),
        Buffer.concat([Buffer.from([1]), Buffer.alloc(8), bomb]),
        Buffer.concat([
          Buffer.from([2]),
          Buffer.alloc(8),
          Buffer.from('{"v":6}'),
        ]),
      ];
      const {host, port} = splitAddress(world.node.peers);
      const sender = createSocket('udp4');
      const timer = setInterval(() => {
        for (let at = 0; at < 400; at++) {
          sender.send(datagrams[at % datagrams.length]!, port, host);
        }
      }, 10);
      await pause();
      await world.assertAnswers();
      clearInterval(timer);
      sender.close();
    });
  },
);
