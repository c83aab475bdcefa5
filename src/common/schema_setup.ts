/**
 * Has zod check values without generated code. To be imported before any module that
 * builds a schema. An instance checks a few hundred messages in its life, so that
 * generating and compiling a function for each schema costs more than it saves.
 */
import * as z from 'zod';

z.config({jitless: true});
