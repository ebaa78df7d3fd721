import type {AttemptId} from '../../core/ids/index.js';

/** One stream to run on an engine, with its callbacks. */
export interface EngineStream {
  readonly attemptId: AttemptId;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Streams with a larger number go first in the engine's queue. */
  readonly priority: number;
  /** Identifies the cacheable prefix of the prompt. */
  readonly prefix?: string;
  /** Prompt tokens that the prefix covers. */
  readonly prefixTokens: number;
  readonly onStart: () => void;
  readonly onFirstToken: () => void;
  readonly onProgress: (tokens: number) => void;
  readonly onEnd: () => void;
}
