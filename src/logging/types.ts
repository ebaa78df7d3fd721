export type {Logger} from './logger.js';
