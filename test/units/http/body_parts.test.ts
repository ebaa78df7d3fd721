import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {BodyParts} from '../../../src/http/index.js';
import {HeldMemory} from '../../support/held_memory.js';

const BODY_BYTES = 1024 * 1024;
/** Room for the young generation of the heap too; each part kept by itself takes 300 bytes. */
const MAX_HELD_BYTES = 16 * BODY_BYTES;

describe('the parts of a body', () => {
  it('are joined in order, whatever their sizes', () => {
    const sizes = fc.array(
      fc.oneof(fc.nat(3), fc.integer({min: 500, max: 520}), fc.constant(4097)),
      {maxLength: 200},
    );
    fc.assert(
      fc.property(sizes, all => {
        const parts = new BodyParts();
        const chunks = all.map((size, at) => Buffer.alloc(size, at));
        for (const chunk of chunks) parts.add(chunk);
        assert.deepEqual(parts.join(), Buffer.concat(chunks));
        parts.clear();
        assert.equal(parts.join().length, 0);
      }),
    );
  });

  it('take no memory of their own, however small', () => {
    const memory = new HeldMemory();
    const parts = new BodyParts();
    for (let count = 0; count < BODY_BYTES; count++) {
      parts.add(Buffer.from(new ArrayBuffer(1)));
    }
    const heldBytes = memory.stop();
    assert.equal(parts.join().length, BODY_BYTES);
    assert.ok(heldBytes < MAX_HELD_BYTES, `${heldBytes} bytes are held`);
  });
});
