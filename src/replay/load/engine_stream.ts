import type {AttemptId} from '../../core/ids/index.js';

/** One stream as an engine is asked to run it. */
export interface EngineStream {
  readonly attemptId: AttemptId;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Larger goes first in the engine's queue. */
  readonly priority: number;
  /** Names the cached prefix of the prompt. */
  readonly prefix?: string;
  /** Tokens of the prompt that the prefix covers. */
  readonly prefixTokens: number;
  readonly onStart: () => void;
  readonly onFirstToken: () => void;
  readonly onProgress: (tokens: number) => void;
  readonly onEnd: () => void;
}
