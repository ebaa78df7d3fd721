import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {readAnnouncement} from '../../../platform/engines/read_announcement.js';

const HTTP_OK = 200;

describe("an engine's limit on requests", () => {
  it('is read as a decimal number', () => {
    const limits = ['0', '3', '3.4', ' 0.05 ', '12000'];
    assert.deepEqual(
      limits.map(
        limit => readAnnouncement(HTTP_OK, {'server-limit': limit}).limitPerS,
      ),
      [0, 3, 3.4, 0.05, 12_000],
    );
  });

  it('is neither a limit nor its end in any other format', () => {
    const texts = ['', '-1', '1e400', '1e2', 'NaN', 'Infinity', '3,4', 'some'];
    for (const text of texts) {
      assert.deepEqual(readAnnouncement(HTTP_OK, {'server-limit': text}), {
        isLeaving: false,
        hasUnreadableLimit: true,
      });
    }
  });

  it('stays a finite number with any number of digits', () => {
    const text = '9'.repeat(400);
    const {limitPerS} = readAnnouncement(HTTP_OK, {'server-limit': text});
    assert.ok(Number.isFinite(limitPerS));
  });

  it('is not named by most responses', () => {
    assert.deepEqual(readAnnouncement(HTTP_OK, {}), {isLeaving: false});
  });
});
