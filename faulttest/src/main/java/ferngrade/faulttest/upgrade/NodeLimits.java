package ferngrade.faulttest.upgrade;

/** The limits of a node's configuration, which apply to all its processes together. */
public record NodeLimits(int memoryMb, int descriptors) {}
