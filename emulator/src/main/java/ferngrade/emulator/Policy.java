package ferngrade.emulator;

import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Dispatcher.Actions;
import ferngrade.dispatch.DispatcherSettings;

/** A way to decide, which an emulated node is started with. */
@FunctionalInterface
public interface Policy {
  /** Starts one node's decisions; the seed is their only source of chance. */
  Dispatcher start(
      DispatcherSettings settings, long seed, double now, Actions actions, FleetState truth);
}
