import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import type {RawResponder} from '../support/raw_engine.js';
import {ClientCrowd} from '../support/client_crowd.js';
import {
  FORWARDED,
  addressOf,
  fill,
  writePipeline,
  writeShortBody,
  writeShortChunks,
  writeTinyChunks,
} from '../support/crowd_writes.js';
import type {Listener, Write} from '../support/crowd_writes.js';
import {RawCaller} from '../support/raw_caller.js';
import {LimitsWorld} from '../support/limits_world.js';
import {waitFor} from '../support/wait_for.js';
import {writeEndlessly} from '../support/write_endlessly.js';

/** How long a crowd goes on before an ordinary client comes. */
const CROWD_MS = 5000;
const MAX_BODY_BYTES = 4_194_304;
const MAX_HEADER_BYTES = 16_384;
const SMALL_BODY_BYTES = 65_000;
/** Interval at which a caller of large answers sends a further request, so that the answers don't all arrive at once. */
const AHEAD_MS = 200;

const pause = () => new Promise(resolve => setTimeout(resolve, CROWD_MS));

const signedHead = (request: string) =>
  `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${/x-attempt-id: (.*)\r\n/i.exec(request)?.[1]}\r\nX-Response-Signature: s\r\n`;
const LARGE_ANSWER = Buffer.alloc(500_000, 'x');
const answerLarge: RawResponder = (socket, request) => {
  socket.write(
    `${signedHead(request)}Content-Length: ${LARGE_ANSWER.length}\r\n\r\n`,
  );
  socket.write(LARGE_ANSWER);
};
const EVENTS = fill(`data: ${'x'.repeat(990)}\n\n`);
const streamEndlessly: RawResponder = (socket, request) => {
  socket.write(
    `${signedHead(request)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
  );
  const length = Buffer.from(`${EVENTS.length.toString(16)}\r\n`);
  writeEndlessly(socket, Buffer.concat([length, EVENTS, Buffer.from('\r\n')]));
};

// Clients that nobody controls ended a process: out of memory, or without a descriptor left for others.
describe(
  'bodies and answers of clients that exceed the limits',
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

    it('large bodies that stop just short', async () => {
      world = await LimitsWorld.start();
      const write = writeShortBody(world.headOf('sound'), MAX_BODY_BYTES);
      await send('callers', 60, write);
      await pause();
      await world.assertAnswers();
    });

    it('large bodies in chunks that stop just short, also of peers', async () => {
      world = await LimitsWorld.start();
      const head = world.headOf('sound');
      await send('callers', 30, writeShortChunks(head, MAX_BODY_BYTES));
      const forwarded = `${head}${FORWARDED}`;
      await send('forwards', 30, writeShortBody(forwarded, MAX_BODY_BYTES));
      await pause();
      await world.assertAnswers();
    });

    it('2,500 small bodies that stop just short', async () => {
      world = await LimitsWorld.start({machine: {'memory-mb': 160}});
      const write = writeShortBody(world.headOf('sound'), SMALL_BODY_BYTES);
      await send('callers', 2500, write);
      await pause();
      await world.assertAnswers();
    });

    it('400 bodies in chunks of one byte', async () => {
      world = await LimitsWorld.start();
      await send('callers', 400, writeTinyChunks(world.headOf('sound')));
      await pause();
      await world.assertAnswers();
    });

    it('large answers of engines that 60 callers leave unread', async () => {
      world = await LimitsWorld.start({odd: answerLarge});
      const head = world.headOf('odd', 'safe', 'GET');
      await send('callers', 60, socket => {
        const timer = setInterval(
          () => void socket.write(`${head}\r\n`),
          AHEAD_MS,
        );
        socket.on('close', () => clearInterval(timer));
      });
      await pause();
      await world.assertAnswers();
    });

    it('streams without end that 200 callers leave unread', async () => {
      world = await LimitsWorld.start({odd: streamEndlessly});
      const head = world.headOf('odd', 'streaming', 'GET');
      await send('callers', 200, socket => void socket.write(`${head}\r\n`));
      await pause();
      await world.assertAnswers();
    });

    it('all of it while the store is away', async () => {
      world = await LimitsWorld.start();
      world.store.failureStatus = 503;
      await openMixedCrowd();
      await pause();
      await world.assertAnswers();
    });

    it('all of it while the node drains', async () => {
      world = await LimitsWorld.start();
      await openMixedCrowd();
      await pause();
      world.assertWithinMachine();
      world.node.signal('SIGTERM');
      const answer = await world.call();
      assert.ok([200, 503].includes(answer.status), `${answer.status}`);
      const watch = setInterval(() => {
        try {
          if (!world.node.hasExited) world.assertWithinMachine();
        } catch (error) {
          if (error instanceof assert.AssertionError) throw error;
          // The process is ending, so that its memory can't be read; its exit code is checked below.
        }
      }, 100);
      await waitFor('the end of the node', () => world.node.hasExited);
      clearInterval(watch);
      assert.equal(world.node.exitCode, 0, world.node.output.slice(-2000));
    });

    // The limits must not reach a client that keeps those of the platform.
    it('the largest request inside the limits is served while it is calm', async () => {
      world = await LimitsWorld.start();
      const more = 'x'.repeat(MAX_HEADER_BYTES - 500);
      for (let count = 0; count < 3; count++) {
        const answer = await world.call('x'.repeat(MAX_BODY_BYTES), {
          'x-more': more,
        });
        assert.equal(answer.status, 200);
      }
      world.assertWithinMachine();
    });

    it('requests sent ahead within reason are answered in order', async () => {
      world = await LimitsWorld.start();
      const caller = new RawCaller(world.node.front);
      await caller.open();
      const ids = Array.from({length: 12}, (_, at) => `ahead-${at}`);
      caller.send('sound/safe', ids, 'chunked');
      const answered = await waitFor('all answers', () => {
        const found = caller.received.matchAll(/x-attempt-id: (.*)\r\n/gi);
        const all = [...found].map(([, id]) => id);
        return all.length === ids.length ? all : undefined;
      });
      caller.close();
      assert.deepEqual(answered, ids);
      assert.equal(caller.received.match(/HTTP\/1.1 200/g)?.length, ids.length);
      world.assertWithinMachine();
    });

    async function openMixedCrowd(): Promise<void> {
      const head = world.headOf('sound');
      await send('ready', 20, writePipeline(world, 'ready'));
      await send('callers', 20, writePipeline(world, 'callers'));
      await send('directory', 20, writePipeline(world, 'directory'));
      await send('callers', 30, writeShortBody(head, MAX_BODY_BYTES));
      await send('callers', 400, writeShortBody(head, SMALL_BODY_BYTES));
      await send('callers', 1500);
    }
  },
);
