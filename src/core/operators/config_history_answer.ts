import type {PublishAnswer} from './publish_answer.js';

interface Publication {
  readonly revision: number;
  readonly atMs: number;
  readonly operator: string;
  readonly publicationId: string;
  readonly changes: PublishAnswer['changes'];
}

/** Answer to `configHistory`: accepted publications, newest first. */
export interface ConfigHistoryAnswer {
  readonly publications: readonly Publication[];
}
