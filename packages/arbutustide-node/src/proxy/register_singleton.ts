import type {DependencyContainer, InjectionToken} from 'tsyringe';

/** Registers a component that is created when it is first resolved. */
export type RegisterSingleton = <T>(
  token: InjectionToken<T>,
  create: (container: DependencyContainer) => T,
) => void;
