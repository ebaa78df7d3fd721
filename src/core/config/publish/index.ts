export {beginPublication} from './begin_publication.js';
export {noteJobResult} from './note_job_result.js';
export {tickJobs} from './tick_jobs.js';
