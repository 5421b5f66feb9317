package ferngrade.faulttest.upgrade;

/** The limits of a node's configuration, which hold for all its processes together. */
public record NodeLimits(int memoryMb, int descriptors) {}
