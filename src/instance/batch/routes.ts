/** The HTTP interface of batch bundles. */
import type {Route} from '../callers/routes.js';
import {FILE_ROUTES} from './file_routes.js';
import {JOB_ROUTES} from './job_routes.js';

/** Routes of files and jobs. */
export const BATCH_ROUTES: readonly Route[] = [...FILE_ROUTES, ...JOB_ROUTES];
