export type {AnswerSource} from './answer_source.js';
export type {OpenAnswer} from './open_answer.js';
