import {z} from 'zod';

/** State of a stored claim. */
export enum ClaimState {
  /** The claimant may be running the request now. */
  RUNNING = 'running',
  /** The request ran; its answer is stored if it was small enough. */
  DONE = 'done',
  /** It is not known whether the request ran. */
  UNKNOWN = 'unknown',
}

const storedAnswerSchema = z.strictObject({
  status: z.number().int(),
  contentType: z.string(),
  /** The complete body in Base64. */
  bodyBase64: z.string(),
});

/** The stored form of a claim. */
export const claimSchema = z.strictObject({
  /** Random id of one attempt to claim; no other writer uses it. */
  claimId: z.string(),
  /** Identity of the node that may run the request. */
  claimant: z.string(),
  caller: z.string(),
  entry: z.string(),
  /** SHA-256 of method, path, content type and body. */
  requestDigest: z.string(),
  requestId: z.string(),
  state: z.enum(ClaimState),
  answer: storedAnswerSchema.optional(),
  /** Operator who set the outcome by hand, if any. */
  settledBy: z.string().optional(),
  /** Unix time by the claimant's clock; used only to delete old claims. */
  createdAtMilliseconds: z.number(),
});

export type StoredAnswer = z.infer<typeof storedAnswerSchema>;
export type Claim = z.infer<typeof claimSchema>;

/** Prefix of the store keys of all claims. */
export const CLAIM_KEY_PREFIX = 'claims/';
