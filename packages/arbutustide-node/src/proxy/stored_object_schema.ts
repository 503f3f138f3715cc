import {limitNesting} from '@arbutustide/object-store';
import {z} from 'zod';

/** A stored object that a peer passes on. */
export const storedObjectSchema = z.object({
  key: z.string(),
  version: z.number().int(),
  value: z.unknown().transform(limitNesting),
});
