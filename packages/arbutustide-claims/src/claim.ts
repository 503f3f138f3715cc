import {z} from 'zod';

/** State of a claim in the store. */
export enum ClaimState {
  /** The claimant may be running the request. */
  RUNNING = 'running',
  /** The request ran; the answer is kept if it was small. */
  DONE = 'done',
  /** Nobody knows whether the request ran. */
  UNKNOWN = 'unknown',
}

const storedAnswerSchema = z.strictObject({
  status: z.number().int(),
  contentType: z.string(),
  /** Base64 of the whole body. */
  bodyBase64: z.string(),
});

/** A claim as it is stored. */
export const claimSchema = z.strictObject({
  /** Drawn for this one attempt to claim; no other writer uses it. */
  claimId: z.string(),
  /** Identity of the node that runs the request. */
  claimant: z.string(),
  caller: z.string(),
  entry: z.string(),
  /** SHA-256 of method, path, content type and body. */
  requestDigest: z.string(),
  requestId: z.string(),
  state: z.enum(ClaimState),
  answer: storedAnswerSchema.optional(),
  /** Who settled it by hand, if anyone. */
  settledBy: z.string().optional(),
  /** Wall clock of the claimant in milliseconds; only for deletion. */
  createdAtMilliseconds: z.number(),
});

export type KeptAnswer = z.infer<typeof storedAnswerSchema>;
export type Claim = z.infer<typeof claimSchema>;

/** Prefix of all claims in the store. */
export const CLAIM_PREFIX = 'claims/';
