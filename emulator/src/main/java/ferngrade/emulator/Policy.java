package ferngrade.emulator;

import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Dispatcher.Actions;
import ferngrade.dispatch.DispatcherSettings;

/** Creates the dispatcher with which an emulated node is started. */
@FunctionalInterface
public interface Policy {
  /** Creates the dispatcher of one node; {@code seed} is its only source of randomness. */
  Dispatcher createDispatcher(
      DispatcherSettings settings, long seed, double now, Actions actions, FleetState fleetState);
}
