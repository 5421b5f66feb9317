package ferngrade.node;

import ferngrade.Dispatcher.Worker;
import java.net.InetSocketAddress;

/** An entry of the worker list: its name, its address as seen from here, and what the module is told. */
public record Member(String name, InetSocketAddress address, Worker worker) { }
