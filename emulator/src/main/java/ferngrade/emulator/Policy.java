package ferngrade.emulator;

import ferngrade.Dispatcher;
import ferngrade.Dispatcher.Actions;
import ferngrade.Dispatcher.Settings;

/** A way to decide, which an emulated node is started with. */
@FunctionalInterface
public interface Policy {
  /** Starts one node's decisions; the seed is their only source of chance. */
  Dispatcher start(Settings settings, long seed, double now, Actions actions, Truth truth);
}
