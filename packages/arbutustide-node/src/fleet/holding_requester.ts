import type {FleetDirectory, ModelName} from '@arbutustide/routing';

import type {PlannerLink} from './planner_link.js';

import {adapterEntry, modelEntry} from '@arbutustide/routing';

/** Time between two questions about the same holding, in milliseconds. */
const ASK_AGAIN_MILLISECONDS = 250;
/** A refusal of the planner is believed this long, in milliseconds. */
const DENIED_MILLISECONDS = 500;

interface Inquiry {
  isOpen: boolean;
  askedAtMilliseconds: number;
  /** When it is expected to be held; infinite when it will not be. */
  readyAtMilliseconds: number;
}

/** Asks the planner for models and adapters that no upstream holds. */
export class HoldingRequester {
  private readonly inquiries = new Map<string, Inquiry>();

  constructor(
    private readonly link: PlannerLink,
    private readonly directory: FleetDirectory,
  ) {}

  /**
   * Time until the model or adapter is expected to be held, in milliseconds;
   * zero while that is not known, undefined when it will not be.
   */
  expectedWait(service: string, name: ModelName): number | undefined {
    const inquiry = this.inquiries.get(keyOf(service, name));
    if (!inquiry) return 0;
    const now = performance.now();
    if (inquiry.readyAtMilliseconds < Infinity) {
      return Math.max(0, inquiry.readyAtMilliseconds - now);
    }
    const isDenied =
      !inquiry.isOpen &&
      now - inquiry.askedAtMilliseconds < DENIED_MILLISECONDS;
    return isDenied ? undefined : 0;
  }

  /** Asks for a holding, unless that was just done. */
  ask(service: string, name: ModelName): void {
    const key = keyOf(service, name);
    const known = this.inquiries.get(key);
    const now = performance.now();
    if (known?.isOpen) return;
    if (known && now - known.askedAtMilliseconds < ASK_AGAIN_MILLISECONDS) {
      return;
    }
    const inquiry: Inquiry = {
      isOpen: true,
      askedAtMilliseconds: now,
      readyAtMilliseconds: now,
    };
    this.inquiries.set(key, inquiry);
    void this.inquire(service, name, inquiry);
  }

  private async inquire(
    service: string,
    name: ModelName,
    inquiry: Inquiry,
  ): Promise<void> {
    const answer = await this.link.requestHolding(service, name);
    inquiry.isOpen = false;
    inquiry.askedAtMilliseconds = performance.now();
    // Without a planner in reach nothing is known; the request goes on waiting.
    if (!answer.ok) return;
    const holding = answer.val;
    inquiry.readyAtMilliseconds = holding
      ? performance.now() + holding.readyInMilliseconds
      : Infinity;
    if (!holding) {
      this.directory.changed();
      return;
    }
    const {upstreamId, readyInMilliseconds} = holding;
    const isSoon = readyInMilliseconds <= ASK_AGAIN_MILLISECONDS;
    if (upstreamId === '' || !isSoon) return;
    setTimeout(() => {
      this.directory.get(upstreamId)?.learnHolding(name, true);
      this.directory.changed();
    }, readyInMilliseconds);
  }
}

function keyOf(service: string, {model, adapter}: ModelName): string {
  return adapter === undefined
    ? modelEntry(service, model)
    : adapterEntry(service, model, adapter);
}
