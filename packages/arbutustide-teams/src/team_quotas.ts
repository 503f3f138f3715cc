import type {RefusalError} from '@arbutustide/errors';
import type {GateAdmission, RoutedRequest} from '@arbutustide/routing';
import type {Result} from 'ts-results';

/** Takes what requests use of the quotas of their teams. */
export interface TeamQuotas {
  /**
   * Takes what a request costs of its team's quota.
   *
   * @return a refusal with the time after which there is room, or what gives
   *     the cost back if the request has certainly not run.
   */
  take(request: RoutedRequest): Promise<Result<GateAdmission, RefusalError>>;
}
